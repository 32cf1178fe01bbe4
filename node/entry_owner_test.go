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

// newSiteEntry returns an entry of a site with others, of which the first by
// rank owns the service.
func newSiteEntry(others ...catalog.VMID) *listedEntry {
	w := newListedEntry()
	w.answer.Entries, w.answer.SiteCount = sortedVMs(append(others, "e1")), 8
	w.pass(time.Second)
	return w
}

func (w *listedEntry) forwarded(id catalog.RequestID) (catalog.VMID, bool) {
	for n := len(w.effects) - 1; n >= 0; n-- {
		if v, ok := w.effects[n].(ForwardRequest); ok && v.Request == id {
			return v.To, true
		}
	}
	return "", false
}

// ownerNames are names of which none but the first and second rank before e1.
func ownerNames() (first, second catalog.VMID) {
	var before []catalog.VMID
	for n := 2; len(before) < 2; n++ {
		vm := catalog.VMID(fmt.Sprintf("e%d", n))
		if rendezvous(vm, "orders") > rendezvous("e1", "orders") {
			before = append(before, vm)
		}
	}
	if rendezvous(before[0], "orders") < rendezvous(before[1], "orders") {
		return before[1], before[0]
	}
	return before[0], before[1]
}

func TestForwardDecisions(t *testing.T) {
	first, second := ownerNames()
	Convey("an entry that does not own a service passes its requests on", t, func() {
		w := newSiteEntry(first, second)
		_, ok := w.run(RequestArrived{Request: 1, Kind: KindWrite})
		So(ok, ShouldBeFalse)
		to, ok := w.forwarded(1)
		So(ok, ShouldBeTrue)
		So(to, ShouldEqual, first)
		So(w.entry.services["orders"].isSubscribed, ShouldBeFalse)

		Convey("to the next one if the first declines, and after that runs them itself", func() {
			w.step(ForwardDone{Request: 1, Outcome: ForwardDeclined})
			to, _ = w.forwarded(1)
			So(to, ShouldEqual, second)
			w.effects = nil
			w.step(ForwardDone{Request: 1, Outcome: ForwardDeclined})
			w.pass(100 * time.Millisecond)
			_, ok = w.forwarded(1)
			So(ok, ShouldBeFalse)
			_, ok = w.running(1)
			So(ok, ShouldBeTrue)
		})
		Convey("a write is in doubt if that one falls silent, and the next goes elsewhere", func() {
			w.step(ForwardDone{Request: 1, Outcome: ForwardLost})
			a, ok := w.answered(1)
			So(ok, ShouldBeTrue)
			So(a.Verdict, ShouldEqual, VerdictUnknown)
			w.run(RequestArrived{Request: 2, Kind: KindWrite})
			to, _ = w.forwarded(2)
			So(to, ShouldEqual, second)
			w.pass(avoidSilent)
			w.run(RequestArrived{Request: 3, Kind: KindWrite})
			to, _ = w.forwarded(3)
			So(to, ShouldEqual, first)
		})
		Convey("a stop waits for a transaction that is held there", func() {
			w.step(ForwardDone{Request: 1, Outcome: ForwardAnswered, HoldsTransaction: true})
			w.effects = nil
			w.step(DrainRequested{})
			w.pass(time.Second)
			So(w.effects, ShouldNotContain, Stopped{})
			w.step(ForwardedTransactionEnded{Request: 1})
			w.pass(100 * time.Millisecond)
			So(w.effects, ShouldContain, Stopped{})
		})
		Convey("nothing more is said of one that was answered there", func() {
			w.effects = nil
			w.step(ForwardDone{Request: 1, Outcome: ForwardAnswered})
			_, ok := w.answered(1)
			So(ok, ShouldBeFalse)
			So(w.entry.requests, ShouldBeEmpty)
		})
	})
}

func TestForwardRepeats(t *testing.T) {
	first, second := ownerNames()
	Convey("a read runs again elsewhere if the entry that ran it fell silent", t, func() {
		w := newSiteEntry(first, second)
		w.run(RequestArrived{Request: 1, Kind: KindRead})
		w.step(ForwardDone{Request: 1, Outcome: ForwardLost})
		to, _ := w.forwarded(1)
		So(to, ShouldEqual, second)
	})
	Convey("an owner runs what comes to it, its callers' requests and others'", t, func() {
		w := newSiteEntry("e0")
		w.answer.Entries, w.answer.SiteCount = []catalog.VMID{"e1"}, 8
		w.pass(time.Second)
		for id, isForwarded := range map[catalog.RequestID]bool{1: false, 2: true} {
			w.run(RequestArrived{Request: id, Kind: KindRead, Forwarded: isForwarded})
			w.pass(100 * time.Millisecond)
			_, ok := w.forwarded(id)
			So(ok, ShouldBeFalse)
			_, ok = w.running(id)
			So(ok, ShouldBeTrue)
		}
	})
	Convey("a request that was passed on is never passed on again", t, func() {
		w := newSiteEntry(first, second)
		w.run(RequestArrived{Request: 1, Kind: KindWrite, Forwarded: true})
		_, ok := w.forwarded(1)
		So(ok, ShouldBeFalse)
	})
	Convey("an entry that is stopping has the others run what still comes", t, func() {
		w := newSiteEntry(second)
		w.answer.Entries = []catalog.VMID{"e1"}
		w.pass(time.Second)
		So(w.entry.isOwner(w.entry.services["orders"]), ShouldBeTrue)
		w.answer.Entries = sortedVMs([]catalog.VMID{"e1", second})
		w.pass(time.Second)
		w.step(DrainRequested{})
		w.run(RequestArrived{Request: 1, Kind: KindWrite, Forwarded: true})
		a, _ := w.answered(1)
		So(a.RetryElsewhere, ShouldBeTrue)
		w.run(RequestArrived{Request: 2, Kind: KindWrite})
		to, _ := w.forwarded(2)
		So(to, ShouldEqual, second)
		Convey("and refuses it where there is no other", func() {
			w.step(ForwardDone{Request: 2, Outcome: ForwardDeclined})
			a, ok := w.answered(2)
			So(ok, ShouldBeTrue)
			So(a.Verdict, ShouldEqual, VerdictNotRun)
		})
	})
}

func TestOwnersOfManyEntries(t *testing.T) {
	Convey("few entries of a site hold connections, and every service has some", t, func() {
		const entries, sites, services, slots = 13, 5, 8, 2
		var names []catalog.VMID
		for n := range entries {
			names = append(names, catalog.VMID(fmt.Sprintf("10.1.0.%d", n)))
		}
		owned := map[catalog.VMID]int{}
		owners := map[catalog.ServiceID]int{}
		for _, vm := range names {
			e := NewEntry(EntryOptions{VM: vm, UpstreamsFromControl: true})
			e.takeEntries(wire.Answer{Entries: names, SiteCount: sites})
			for n := range services {
				e.service(catalog.ServiceID(fmt.Sprintf("orders%d", n))).addInstance("a").announcement.Slots = slots
			}
			for _, id := range e.order {
				if e.isOwner(e.services[id]) {
					owners[id]++
					owned[vm]++
				}
			}
		}
		So(len(owners), ShouldEqual, services)
		for _, n := range owners {
			So(n, ShouldEqual, connectionsPerSlot*slots/sites)
		}
		// No entry has two services while another has none.
		So(len(owned), ShouldEqual, services)
	})
}

func TestEntriesAreToldOfEachOther(t *testing.T) {
	report := func(w *listedControl, vm catalog.VMID, site catalog.SiteID, sequence uint64, mark uint64) *wire.Answer {
		w.step(MessageReceived{From: vm, Message: wire.Message{Report: &wire.Report{VM: vm, Site: site, Sequence: sequence, EntriesMark: mark}}})
		return w.lastAnswer(vm)
	}
	Convey("control tells an entry of those of its site that are at work, until it knows them", t, func() {
		w := newListedControl(quorum.PersistentState{})
		w.pass(trustSitesAfter)
		report(w, "e1", "s1", 1, 0)
		report(w, "e2", "s1", 1, 0)
		report(w, "e3", "s2", 1, 0)
		w.pass(2 * sitesEvery)
		a := report(w, "e1", "s1", 2, 0)
		So(a.Entries, ShouldResemble, []catalog.VMID{"e1", "e2"})
		So(a.SiteCount, ShouldEqual, 2)
		mark := wire.MarkEntries(a.Entries, a.SiteCount)
		So(report(w, "e1", "s1", 3, mark).Entries, ShouldBeEmpty)
		Convey("and again once one of them is silent", func() {
			for n := range 6 {
				w.pass(200 * time.Millisecond)
				a = report(w, "e1", "s1", uint64(4+n), mark)
				report(w, "e3", "s2", uint64(4+n), 0)
			}
			So(a.Entries, ShouldResemble, []catalog.VMID{"e1"})
		})
	})
	Convey("a new leader does not take a list away before it has heard the entries", t, func() {
		w := startListedControl(quorum.PersistentState{})
		for !w.control.leading {
			w.pass(10 * time.Millisecond)
		}
		So(report(w, "e1", "s1", 1, 77).Entries, ShouldBeEmpty)
		w.pass(gatherTime)
		So(report(w, "e1", "s1", 2, 77).Entries, ShouldBeEmpty)
		So(report(w, "e1", "s1", 3, 0).Entries, ShouldResemble, []catalog.VMID{"e1"})
		for n := range 5 {
			w.pass(200 * time.Millisecond)
			report(w, "e1", "s1", uint64(4+n), 77)
		}
		So(w.lastAnswer("e1").Entries, ShouldResemble, []catalog.VMID{"e1"})
	})
}
