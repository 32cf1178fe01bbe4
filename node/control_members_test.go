package node

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/quorum"
	"github.com/kingcupknot/kingcupknot/wire"
)

// council is several control VMs that talk over a network of the test's own.
type council struct {
	now      catalog.Instant
	vms      map[catalog.VMID]*Control
	down     map[catalog.VMID]bool
	inFlight []SendMessage
	senders  []catalog.VMID
}

func newCouncil(voters int, first []catalog.VMID, joining []catalog.VMID) *council {
	w := &council{now: catalog.Instant(time.Second), vms: map[catalog.VMID]*Control{}, down: map[catalog.VMID]bool{}}
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

func (w *council) start(vm catalog.VMID, saved quorum.PersistentState, voters int, seeds []catalog.VMID) {
	c, err := NewControl(ControlOptions{
		VM: vm, Timings: catalog.DefaultTimings(), Members: seeds, ListsUpstreams: true, Voters: voters, Saved: saved, Seed: uint64(len(w.vms)),
	}, w.now)
	if err != nil {
		panic(err)
	}
	w.vms[vm] = c
}

func (w *council) step(vm catalog.VMID, in Input) {
	for _, e := range w.vms[vm].Step(Event{Now: w.now, Input: in}) {
		switch v := e.(type) {
		case Persist:
			w.step(vm, Persisted{Token: v.Token})
		case SendMessage:
			w.inFlight, w.senders = append(w.inFlight, v), append(w.senders, vm)
		}
	}
}

func (w *council) advance(d time.Duration) {
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

func (w *council) names() []catalog.VMID {
	var out []catalog.VMID
	for vm := range w.vms {
		out = append(out, vm)
	}
	return out
}

func (w *council) leader() *Control {
	for _, vm := range sortedVMs(w.names()) {
		if c := w.vms[vm]; c.isLeader && !w.down[vm] {
			return c
		}
	}
	return nil
}

// voters lists who has a vote, as the leader sees it.
func (w *council) voters() []catalog.VMID {
	var out []catalog.VMID
	for _, m := range w.leader().quorum.Members() {
		if m.Voter {
			out = append(out, m.VM)
		}
	}
	return sortedVMs(out)
}

func TestMembersKeepThemselves(t *testing.T) {
	first := []catalog.VMID{"c1", "c2", "c3"}
	Convey("VMs that join get votes up to the number wanted", t, func() {
		w := newCouncil(5, first, []catalog.VMID{"c4", "c5", "c6"})
		w.advance(3 * time.Second)
		So(w.voters(), ShouldHaveLength, 5)
		So(w.leader().quorum.Members(), ShouldHaveLength, 6)
	})
	Convey("a VM that lost its disk has its vote again before the next loss must be borne", t, func() {
		w := newCouncil(3, first, nil)
		w.advance(2 * time.Second)
		lost := catalog.VMID("c1")
		if w.leader().options.VM == lost {
			lost = "c2"
		}
		w.start(lost, quorum.PersistentState{Self: quorum.Member{VM: lost, Incarnation: 9}}, 3, first)
		w.advance(4 * time.Second)
		So(w.voters(), ShouldResemble, first)
		m, _ := w.leader().membersWith(quorum.Member{VM: lost, Incarnation: 9, Voter: true})
		So(w.leader().quorum.Members(), ShouldResemble, m)
	})
	Convey("a learner takes the place of a voter that is gone", t, func() {
		w := newCouncil(3, first, []catalog.VMID{"c4"})
		w.advance(2 * time.Second)
		gone := catalog.VMID("c1")
		if w.leader().options.VM == gone {
			gone = "c2"
		}
		w.down[gone] = true
		w.advance(4 * time.Second)
		So(w.voters(), ShouldHaveLength, 3)
		So(w.voters(), ShouldContain, catalog.VMID("c4"))
		So(w.voters(), ShouldNotContain, gone)
	})
	Convey("an old request to join does not undo a newer life", t, func() {
		w := newCouncil(3, first, nil)
		w.advance(2 * time.Second)
		follower := catalog.VMID("c1")
		if w.leader().options.VM == follower {
			follower = "c2"
		}
		w.step(follower, MessageReceived{From: "c3", Message: wire.Message{Join: &wire.Join{VM: "c3", Incarnation: 77}}})
		So(w.vms[follower].joins, ShouldBeEmpty)
	})
}
