package node

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/wire"
)

// reportsOf returns the receivers of the reports among the effects, and the
// last report.
func reportsOf(xs []Effect) (to []catalog.VMID, last *wire.Report) {
	for _, x := range xs {
		if p, ok := x.(SendMessage); ok && p.Message.Report != nil {
			to, last = append(to, p.To), p.Message.Report
		}
	}
	return to, last
}

func answerFrom(vm catalog.VMID, a wire.Answer) Input {
	return MessageReceived{From: vm, Message: wire.Message{Answer: &a}}
}

func leaseOf(epoch catalog.Epoch) []wire.Lease {
	return []wire.Lease{{
		Primary: catalog.Primary{Service: "orders", Epoch: epoch, Instance: "a", Ready: true},
		Length:  600 * time.Millisecond,
	}}
}

// TestEntryReports guards against leases that count from their arrival instead
// of from the report, and against late answers or lower epochs that replace
// newer ones.
func TestEntryReports(t *testing.T) {
	o := testOptions()
	o.Control = []catalog.VMID{"c2", "c1", "c3"}
	at := func(ms int) catalog.Instant { return catalog.Instant(time.Duration(ms) * time.Millisecond) }
	Convey("an entry reports to all control VMs until one names the leader", t, func() {
		e := NewEntry(o)
		to, first := reportsOf(e.Step(Event{Now: at(1), Input: TimerFired{}}))
		So(to, ShouldResemble, []catalog.VMID{"c1", "c2", "c3"})
		refusal := wire.Answer{Refused: true, Leader: "c2", Sequence: first.Sequence}
		to, _ = reportsOf(e.Step(Event{Now: at(3), Input: answerFrom("c1", refusal)}))
		So(to, ShouldBeEmpty)
		to, second := reportsOf(e.Step(Event{Now: at(6), Input: TimerFired{}}))
		So(to, ShouldResemble, []catalog.VMID{"c2"})

		Convey("a lease counts from the report it answers, and late answers are ignored", func() {
			s := e.services["orders"]
			e.Step(Event{Now: at(50), Input: answerFrom("c2", wire.Answer{Sequence: second.Sequence + 1, Leases: leaseOf(3)})})
			So(s.primary.Epoch, ShouldEqual, 0)
			e.Step(Event{Now: at(60), Input: answerFrom("c2", wire.Answer{Sequence: second.Sequence, Leases: leaseOf(3)})})
			So(s.leaseUntil, ShouldEqual, at(6+580))
			e.Step(Event{Now: at(61), Input: answerFrom("c2", wire.Answer{Sequence: first.Sequence, Leases: leaseOf(4)})})
			So(s.primary.Epoch, ShouldEqual, 3)
		})
		Convey("a lease of a lower epoch than one known or revoked is ignored", func() {
			s := e.services["orders"]
			e.Step(Event{Now: at(7), Input: MessageReceived{From: "c2", Message: wire.Message{
				Revoke: &wire.Revoke{Service: "orders", Epoch: 5},
			}}})
			e.Step(Event{Now: at(8), Input: answerFrom("c2", wire.Answer{Sequence: second.Sequence, Leases: leaseOf(5)})})
			So(leaseValid(s, 5, at(9)), ShouldBeFalse)
			_, third := reportsOf(e.Step(Event{Now: at(106), Input: TimerFired{}}))
			e.Step(Event{Now: at(108), Input: answerFrom("c2", wire.Answer{Sequence: third.Sequence, Leases: leaseOf(6)})})
			So(leaseValid(s, 6, at(109)), ShouldBeTrue)
			_, fourth := reportsOf(e.Step(Event{Now: at(206), Input: TimerFired{}}))
			e.Step(Event{Now: at(208), Input: answerFrom("c2", wire.Answer{Sequence: fourth.Sequence, Leases: leaseOf(5)})})
			So(s.primary.Epoch, ShouldEqual, 6)
		})
	})
}

// TestReportAfterALongSearch guards against an entry that learns who leads after
// it has searched for some time, as after a loss of all power, and yet waits for
// its next periodic report. Its callers wait with it.
func TestReportAfterALongSearch(t *testing.T) {
	o := testOptions()
	o.Control, o.UpstreamsFromControl = []catalog.VMID{"c1", "c2", "c3"}, true
	Convey("an entry reports to a leader that is named after a long search no later than the search would", t, func() {
		e := NewEntry(o)
		now := catalog.Instant(time.Millisecond)
		var last *wire.Report
		var sentAt catalog.Instant
		for range 40 {
			if to, report := reportsOf(e.Step(Event{Now: now, Input: TimerFired{}})); len(to) > 0 {
				last, sentAt = report, now
				e.Step(Event{Now: now, Input: answerFrom("c1", wire.Answer{Refused: true, Sequence: last.Sequence})})
			}
			now = now.Add(25 * time.Millisecond)
		}
		now = sentAt.Add(time.Millisecond)
		e.Step(Event{Now: now, Input: answerFrom("c1", wire.Answer{Refused: true, Leader: "c2", Sequence: last.Sequence})})
		to, _ := reportsOf(e.Step(Event{Now: sentAt.Add(e.leaderSearchInterval()), Input: TimerFired{}}))
		So(to, ShouldContain, catalog.VMID("c2"))
	})
}

// TestFormerLeaderNamesTheNext guards against an entry that searches for the next
// leader although the former one has named it.
func TestFormerLeaderNamesTheNext(t *testing.T) {
	o := testOptions()
	o.Control = []catalog.VMID{"c1", "c2", "c3"}
	at := func(ms int) catalog.Instant { return catalog.Instant(time.Duration(ms) * time.Millisecond) }
	Convey("an entry whose last report was answered reports at once to the leader that its former leader names", t, func() {
		e := NewEntry(o)
		_, first := reportsOf(e.Step(Event{Now: at(1), Input: TimerFired{}}))
		e.Step(Event{Now: at(10), Input: answerFrom("c2", wire.Answer{Leader: "c2", Version: 1, Sequence: first.Sequence})})
		So(e.report.leader, ShouldEqual, catalog.VMID("c2"))
		next := wire.Answer{Leader: "c3", Refused: true, Sequence: first.Sequence}
		to, _ := reportsOf(e.Step(Event{Now: at(20), Input: answerFrom("c1", next)}))
		So(to, ShouldBeEmpty)
		So(e.report.leader, ShouldEqual, catalog.VMID("c2"))
		to, _ = reportsOf(e.Step(Event{Now: at(21), Input: answerFrom("c2", next)}))
		So(to, ShouldResemble, []catalog.VMID{"c3"})
	})
}

// TestEntryAnnouncements guards against announcements that entries relay to
// each other in a loop, and against a wrong number of observers.
func TestEntryAnnouncements(t *testing.T) {
	relayed := func(xs []Effect) (n int) {
		for _, x := range xs {
			if p, ok := x.(SendMessage); ok && p.Message.Announcement != nil {
				n++
			}
		}
		return n
	}
	Convey("an announcement from the upstream itself is relayed once, a relayed one never", t, func() {
		e := NewEntry(testOptions())
		a := catalog.Announcement{Service: "orders", Instance: "a", Site: "x", Incarnation: 1, Sequence: 1}
		So(relayed(e.Step(Event{Now: 1, Input: AnnouncementReceived{Announcement: a}})), ShouldEqual, 1)
		So(relayed(e.Step(Event{Now: 2, Input: AnnouncementReceived{Announcement: a}})), ShouldEqual, 0)
		a.Sequence++
		So(relayed(e.Step(Event{Now: 3, Input: AnnouncementReceived{Announcement: a}})), ShouldEqual, 0)
		a.Sequence++
		a.Leaving = true
		So(relayed(e.Step(Event{Now: 4, Input: AnnouncementReceived{Announcement: a}})), ShouldEqual, 1)
		b := a
		b.Instance = "b"
		peer := MessageReceived{From: "entry-2", Message: wire.Message{Announcement: &b}}
		So(relayed(e.Step(Event{Now: 5, Input: peer})), ShouldEqual, 0)
	})
	Convey("the number of observers per site is fixed", t, func() {
		n := 0
		for _, vm := range []catalog.VMID{"e1", "e2", "e3", "e4"} {
			o := EntryOptions{VM: vm, SitePeers: []catalog.VMID{"e1", "e2", "e3", "e4"}, Observers: 2}
			if NewEntry(o).isObserverOf("orders") {
				n++
			}
		}
		So(n, ShouldEqual, 2)
	})
}
