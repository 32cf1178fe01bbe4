package node

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/quorum"
	"github.com/kingcupknot/kingcupknot/wire"
)

// controlCluster is a set of control VMs connected by a simulated network.
type controlCluster struct {
	now      catalog.Instant
	vms      map[catalog.VMID]*Control
	down     map[catalog.VMID]bool
	inFlight []SendMessage
	senders  []catalog.VMID
	// onSend is called for each message, if not nil.
	onSend func(SendMessage)
	// onReply is called for each answer to a command, if not nil.
	onReply func(AnswerCommand)
}

func newControlCluster(voters int, first []catalog.VMID, joining []catalog.VMID) *controlCluster {
	w := &controlCluster{now: catalog.Instant(time.Second), vms: map[catalog.VMID]*Control{}, down: map[catalog.VMID]bool{}}
	var members []quorum.Member
	for _, vm := range first {
		members = append(members, quorum.Member{VM: vm, Incarnation: 1, Voter: true})
	}
	for _, vm := range first {
		w.start(vm, quorum.PersistentState{Self: quorum.Member{VM: vm, Incarnation: 1, Voter: true}, Snapshot: quorum.Snapshot{Members: members}}, voters, first)
	}
	for _, vm := range joining {
		w.start(vm, quorum.PersistentState{Self: quorum.Member{VM: vm, Incarnation: 2}}, voters, first)
	}
	return w
}

func (w *controlCluster) start(vm catalog.VMID, saved quorum.PersistentState, voters int, seeds []catalog.VMID) {
	c, err := NewControl(ControlOptions{
		VM: vm, Timings: catalog.DefaultTimings(), Members: seeds, DistributesUpstreams: true, Voters: voters, Saved: saved, Seed: uint64(len(w.vms)),
	}, w.now)
	if err != nil {
		panic(err)
	}
	w.vms[vm] = c
}

func (w *controlCluster) step(vm catalog.VMID, in Input) {
	for _, e := range w.vms[vm].Step(Event{Now: w.now, Input: in}) {
		switch v := e.(type) {
		case Persist:
			w.step(vm, Persisted{Token: v.Token})
		case AnswerCommand:
			if w.onReply != nil {
				w.onReply(v)
			}
		case SendMessage:
			if w.onSend != nil {
				w.onSend(v)
			}
			w.inFlight, w.senders = append(w.inFlight, v), append(w.senders, vm)
		}
	}
}

func (w *controlCluster) advance(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(5 * time.Millisecond)
		sent, from := w.inFlight, w.senders
		w.inFlight, w.senders = nil, nil
		for n, m := range sent {
			if w.vms[m.To] != nil && !w.down[m.To] && !w.down[from[n]] {
				w.step(m.To, MessageReceived{From: from[n], Message: m.Message})
			}
		}
		for _, vm := range sortedVMs(w.names()) {
			if !w.down[vm] {
				w.step(vm, TimerFired{})
			}
		}
	}
}

func (w *controlCluster) names() []catalog.VMID {
	var out []catalog.VMID
	for vm := range w.vms {
		out = append(out, vm)
	}
	return out
}

func (w *controlCluster) leader() *Control {
	for _, vm := range sortedVMs(w.names()) {
		if c := w.vms[vm]; c.isLeader && !w.down[vm] {
			return c
		}
	}
	return nil
}

// voters returns the voting members from the leader's view.
func (w *controlCluster) voters() []catalog.VMID {
	var out []catalog.VMID
	for _, m := range w.leader().quorum.Members() {
		if m.Voter {
			out = append(out, m.VM)
		}
	}
	return sortedVMs(out)
}

func TestMembershipMaintenance(t *testing.T) {
	first := []catalog.VMID{"c1", "c2", "c3"}
	Convey("VMs that join become voters up to the target number", t, func() {
		w := newControlCluster(5, first, []catalog.VMID{"c4", "c5", "c6"})
		w.advance(3 * time.Second)
		So(w.voters(), ShouldHaveLength, 5)
		So(w.leader().quorum.Members(), ShouldHaveLength, 6)
	})
	Convey("a VM that lost its disk becomes a voter again before another VM is lost", t, func() {
		w := newControlCluster(3, first, nil)
		w.advance(2 * time.Second)
		lost := catalog.VMID("c1")
		if w.leader().options.VM == lost {
			lost = "c2"
		}
		w.start(lost, quorum.PersistentState{Self: quorum.Member{VM: lost, Incarnation: 9}}, 3, first)
		w.advance(4 * time.Second)
		So(w.voters(), ShouldResemble, first)
		m, _ := w.leader().membersReplacing(quorum.Member{VM: lost, Incarnation: 9, Voter: true})
		So(w.leader().quorum.Members(), ShouldResemble, m)
	})
	Convey("a learner replaces a voter that is unreachable", t, func() {
		w := newControlCluster(3, first, []catalog.VMID{"c4"})
		w.advance(2 * time.Second)
		stopped := catalog.VMID("c1")
		if w.leader().options.VM == stopped {
			stopped = "c2"
		}
		w.down[stopped] = true
		w.advance(4 * time.Second)
		So(w.voters(), ShouldHaveLength, 3)
		So(w.voters(), ShouldContain, catalog.VMID("c4"))
		So(w.voters(), ShouldNotContain, stopped)
	})
	Convey("a delayed request to join does not replace a newer incarnation", t, func() {
		w := newControlCluster(3, first, nil)
		w.advance(2 * time.Second)
		follower := catalog.VMID("c1")
		if w.leader().options.VM == follower {
			follower = "c2"
		}
		w.step(follower, MessageReceived{From: "c3", Message: wire.Message{Join: &wire.Join{VM: "c3", Incarnation: 77}}})
		So(w.vms[follower].joinRequests, ShouldBeEmpty)
	})
}

// TestNextLeaderIsAnnounced guards against entries whose leases end during a
// planned stop of the leader, because they have to search for the next one.
func TestNextLeaderIsAnnounced(t *testing.T) {
	Convey("a leader that stops tells its entries who leads next, before it ends", t, func() {
		w := newControlCluster(3, []catalog.VMID{"c1", "c2", "c3"}, nil)
		w.advance(2 * time.Second)
		old := w.leader()
		w.step(old.options.VM, MessageReceived{From: "e1", Message: wire.Message{Report: &wire.Report{VM: "e1", Site: "s1", Incarnation: 1, Sequence: 7}}})
		var named catalog.VMID
		w.onSend = func(m SendMessage) {
			if m.To == "e1" && m.Message.Answer != nil && m.Message.Answer.Refused && m.Message.Answer.Sequence == 7 {
				So(old.stopped, ShouldBeFalse)
				named = m.Message.Answer.Leader
			}
		}
		w.step(old.options.VM, DrainRequested{})
		w.advance(100 * time.Millisecond)
		So(w.leader(), ShouldNotEqual, old)
		So(named, ShouldEqual, w.leader().options.VM)
		So(old.stopped, ShouldBeTrue)
	})
}

// TestFollowersRelayAnnouncements guards against a leader that answers a call of
// each upstream in each heartbeat: with thousands of upstreams, these calls use all
// of its processor time.
func TestFollowersRelayAnnouncements(t *testing.T) {
	Convey("a follower acknowledges announcements and relays them, but not those of leaving upstreams", t, func() {
		w := newControlCluster(3, []catalog.VMID{"c1", "c2", "c3"}, nil)
		replies := map[uint64]Reply{}
		w.onReply = func(a AnswerCommand) { replies[a.Number] = a.Reply }
		announce := func(vm catalog.VMID, number uint64, a catalog.Announcement) {
			w.step(vm, CommandReceived{Number: number, Command: Command{Announce: &Announce{Announcement: a}}})
		}
		announce("c1", 1, testAnnouncement("i1", catalog.RoleReplica, 1))
		So(replies[1].Code, ShouldEqual, ReplyNotLeader)
		w.advance(2 * time.Second)
		follower := catalog.VMID("c1")
		if w.leader().options.VM == follower {
			follower = "c2"
		}
		announce(follower, 2, testAnnouncement("i1", catalog.RolePrimary, 2))
		So(replies[2].Code, ShouldEqual, ReplyOK)
		w.advance(20 * time.Millisecond)
		So(w.leader().upstreams["i1"].announcement.Role, ShouldEqual, catalog.RolePrimary)
		leaving := testAnnouncement("i1", catalog.RolePrimary, 3)
		leaving.Leaving = true
		announce(follower, 3, leaving)
		So(replies[3].Code, ShouldEqual, ReplyNotLeader)
		So(replies[3].Leader, ShouldEqual, w.leader().options.VM)
	})
}
