package node

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/quorum"
	"github.com/kingcupknot/kingcupknot/wire"
)

// TestNewLeaderOfALargeFleet guards against a new leader that loses its lead
// since it spends its processor time on messages to entries: it learns the roles
// of 60 upstreams within a heartbeat of theirs, and sending each of these changes
// to each of 300 entries takes longer than an election timeout.
func TestNewLeaderOfALargeFleet(t *testing.T) {
	const (
		entries   = 300
		upstreams = 60
		heartbeat = 1200 * time.Millisecond
		tick      = 10 * time.Millisecond
		// interval is the time between two reports of an entry.
		interval = 200 * time.Millisecond
	)
	Convey("the leader of a large fleet sends no more messages than it gets reports while all upstreams announce themselves", t, func() {
		w := newSoloControl(quorum.PersistentState{})
		So(w.runCommand(adoptCommand(1, time.Second)).Code, ShouldEqual, ReplyOK)
		marks := map[catalog.VMID]wire.UpstreamsMark{}
		reports, announced, sequence := 0, 0, uint64(0)
		for at := tick; at <= heartbeat; at += tick {
			w.now = w.now.Add(tick)
			w.step(TimerFired{})
			for ; announced < int(at)*upstreams/int(heartbeat); announced++ {
				a := testAnnouncement(catalog.InstanceID(fmt.Sprint("i", announced)), catalog.RoleReplica, 1)
				a.Address = fmt.Sprintf("10.0.0.%d:1", announced+1)
				w.step(AnnouncementReceived{Announcement: a})
			}
			for n := range entries {
				if time.Duration(n)*interval/entries/tick != at%interval/tick {
					continue
				}
				vm := catalog.VMID(fmt.Sprint("e", n))
				sequence++
				reports++
				w.step(MessageReceived{From: vm, Message: wire.Message{Report: &wire.Report{
					VM: vm, Site: "s1", Incarnation: 1, Sequence: sequence, SettingsVersion: 1, UpstreamsMark: marks[vm], EntriesMark: 1,
				}}})
				marks[vm] = w.lastAnswer(vm).UpstreamsMark
			}
		}
		pushed := 0
		for _, m := range w.sentMessages {
			if m.Message.Answer != nil {
				pushed++
			}
		}
		pushed -= reports
		So(reports, ShouldEqual, entries*int(heartbeat/interval))
		So(pushed, ShouldBeLessThanOrEqualTo, reports)
		Convey("and all entries learn of all upstreams within a report interval", func() {
			for n := range entries {
				vm := catalog.VMID(fmt.Sprint("e", n))
				sequence++
				w.step(MessageReceived{From: vm, Message: wire.Message{Report: &wire.Report{
					VM: vm, Site: "s1", Incarnation: 1, Sequence: sequence, SettingsVersion: 1, UpstreamsMark: marks[vm], EntriesMark: 1,
				}}})
				So(w.lastAnswer(vm).UpstreamsMark.Revision, ShouldEqual, w.control.revision)
			}
		})
	})
}

// TestRolesAreNotDistributed guards against a new leader that sends every entry
// the role of every upstream, which entries don't use.
func TestRolesAreNotDistributed(t *testing.T) {
	Convey("a change of role alone is not sent to the entries", t, func() {
		w := newSoloControl(quorum.PersistentState{})
		So(w.runCommand(adoptCommand(1, time.Second)).Code, ShouldEqual, ReplyOK)
		w.step(AnnouncementReceived{Announcement: testAnnouncement("i1", catalog.RoleReplica, 1)})
		before := w.control.revision
		w.step(AnnouncementReceived{Announcement: testAnnouncement("i1", catalog.RolePrimary, 2)})
		So(w.control.upstreams["i1"].announcement.Role, ShouldEqual, catalog.RolePrimary)
		So(w.control.revision, ShouldEqual, before)
	})
}

// TestUpstreamsOnASlowLink guards against a link that is full of repeated lists
// of upstreams: the entry's reports, sent before the first list has arrived, make
// control send the list again and again.
func TestUpstreamsOnASlowLink(t *testing.T) {
	const (
		upstreams = 300
		// The list takes 250 ms over a link of 2 Mbit/s that carries as much
		// again, and the entry reports every 50 ms.
		transfer = 250 * time.Millisecond
		interval = 50 * time.Millisecond
	)
	report := func(w *soloControl, incarnation, sequence uint64, mark wire.UpstreamsMark) int {
		before := len(w.sentMessages)
		w.step(MessageReceived{From: "e1", Message: wire.Message{Report: &wire.Report{
			VM: "e1", Site: "s1", Incarnation: incarnation, Sequence: sequence, SettingsVersion: 1, UpstreamsMark: mark, EntriesMark: 1,
		}}})
		sent := 0
		for _, m := range w.sentMessages[before:] {
			sent += len(m.Message.Answer.Upstreams)
		}
		return sent
	}
	Convey("an entry gets the list once, and a restarted one gets it at once", t, func() {
		w := newSoloControl(quorum.PersistentState{})
		So(w.runCommand(adoptCommand(1, time.Second)).Code, ShouldEqual, ReplyOK)
		for n := range upstreams {
			a := testAnnouncement(catalog.InstanceID(fmt.Sprint("i", n)), catalog.RoleReplica, 1)
			w.step(AnnouncementReceived{Announcement: a})
		}
		sent, sequence := 0, uint64(0)
		for at := time.Duration(0); at < transfer; at += interval {
			sequence++
			sent += report(w, 1, sequence, wire.UpstreamsMark{})
			w.advance(interval)
		}
		So(sent, ShouldEqual, upstreams)
		confirmed := wire.UpstreamsMark{Leader: w.control.listLeader(), Revision: w.control.revision}
		So(report(w, 1, sequence+1, confirmed), ShouldEqual, 0)
		So(report(w, 2, 1, wire.UpstreamsMark{}), ShouldEqual, upstreams)
		So(report(w, 3, 1, wire.UpstreamsMark{}), ShouldEqual, upstreams)
		Convey("and a list that was lost is sent again", func() {
			w.advance(time.Second)
			So(report(w, 3, 2, wire.UpstreamsMark{}), ShouldEqual, upstreams)
		})
	})
}

// TestLeaderIsAnnouncedToThoseWhoAsked guards against entries that keep asking
// all control VMs during an election, which delays the election.
func TestLeaderIsAnnouncedToThoseWhoAsked(t *testing.T) {
	Convey("a VM that knew no leader tells the entries that asked, as soon as there is one", t, func() {
		w := newControlCluster(3, []catalog.VMID{"c1", "c2", "c3"}, nil)
		named := map[catalog.VMID]int{}
		w.onSend = func(m SendMessage) {
			if m.To == "e1" && m.Message.Answer != nil && m.Message.Answer.Refused {
				named[m.Message.Answer.Leader]++
			}
		}
		for _, vm := range []catalog.VMID{"c1", "c2", "c3"} {
			w.step(vm, MessageReceived{From: "e1", Message: wire.Message{Report: &wire.Report{VM: "e1", Site: "s1", Incarnation: 1, Sequence: 7}}})
		}
		So(named, ShouldResemble, map[catalog.VMID]int{"": 3})
		w.advance(2 * time.Second)
		So(named, ShouldResemble, map[catalog.VMID]int{"": 3, w.leader().options.VM: 3})
	})
}
