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

// newEntryOfSite returns the entry e1 in a site together with the given
// entries.
func newEntryOfSite(others ...catalog.VMID) *listedEntry {
	w := newListedEntry()
	w.answer.Entries, w.answer.SiteCount = sortedVMs(append(others, "e1")), 8
	w.advance(time.Second)
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

// ownerNames returns the names of two entries that rank before e1 for the
// service, the first of them before the second.
func ownerNames() (first, second catalog.VMID) {
	var before []catalog.VMID
	for n := 2; len(before) < 2; n++ {
		vm := catalog.VMID(fmt.Sprintf("e%d", n))
		if rendezvousWeight(vm, "orders") > rendezvousWeight("e1", "orders") {
			before = append(before, vm)
		}
	}
	if rendezvousWeight(before[0], "orders") < rendezvousWeight(before[1], "orders") {
		return before[1], before[0]
	}
	return before[0], before[1]
}

// TestForwardDecisions guards against requests that are lost, run twice or keep
// going to an unavailable entry when their owner declines, stops answering or
// holds a transaction.
func TestForwardDecisions(t *testing.T) {
	first, second := ownerNames()
	Convey("an entry that does not own a service forwards its requests", t, func() {
		w := newEntryOfSite(first, second)
		_, ok := w.run(RequestArrived{Request: 1, Kind: KindWrite})
		So(ok, ShouldBeFalse)
		to, ok := w.forwarded(1)
		So(ok, ShouldBeTrue)
		So(to, ShouldEqual, first)
		So(w.entry.services["orders"].isSubscribed, ShouldBeFalse)

		Convey("to the next owner if the first declines, and then runs them itself", func() {
			w.step(ForwardDone{Request: 1, Outcome: ForwardDeclined})
			to, _ = w.forwarded(1)
			So(to, ShouldEqual, second)
			w.effects = nil
			w.step(ForwardDone{Request: 1, Outcome: ForwardDeclined})
			w.advance(100 * time.Millisecond)
			_, ok = w.forwarded(1)
			So(ok, ShouldBeFalse)
			_, ok = w.running(1)
			So(ok, ShouldBeTrue)
		})
		Convey("a write has an unknown outcome if the owner does not answer, and the next write goes to another owner", func() {
			w.step(ForwardDone{Request: 1, Outcome: ForwardLost})
			a, ok := w.answered(1)
			So(ok, ShouldBeTrue)
			So(a.Verdict, ShouldEqual, VerdictUnknown)
			w.run(RequestArrived{Request: 2, Kind: KindWrite})
			to, _ = w.forwarded(2)
			So(to, ShouldEqual, second)
			w.advance(avoidAfterSilence)
			w.run(RequestArrived{Request: 3, Kind: KindWrite})
			to, _ = w.forwarded(3)
			So(to, ShouldEqual, first)
		})
		Convey("a planned stop waits for a transaction at the owner", func() {
			w.step(ForwardDone{Request: 1, Outcome: ForwardAnswered, HoldsTransaction: true})
			w.effects = nil
			w.step(DrainRequested{})
			w.advance(time.Second)
			So(w.effects, ShouldNotContain, Stopped{})
			w.step(ForwardedTransactionEnded{Request: 1})
			w.advance(100 * time.Millisecond)
			So(w.effects, ShouldContain, Stopped{})
		})
		Convey("a request that the owner answered is not answered again", func() {
			w.effects = nil
			w.step(ForwardDone{Request: 1, Outcome: ForwardAnswered})
			_, ok := w.answered(1)
			So(ok, ShouldBeFalse)
			So(w.entry.requests, ShouldBeEmpty)
		})
	})
}

// TestForwardRetries guards against reads that fail with their owner although
// they could run again, and against requests that are forwarded in a loop.
func TestForwardRetries(t *testing.T) {
	first, second := ownerNames()
	Convey("a read runs again elsewhere if the entry that ran it does not answer", t, func() {
		w := newEntryOfSite(first, second)
		w.run(RequestArrived{Request: 1, Kind: KindRead})
		w.step(ForwardDone{Request: 1, Outcome: ForwardLost})
		to, _ := w.forwarded(1)
		So(to, ShouldEqual, second)
	})
	Convey("an owner runs the requests of its callers and those forwarded to it", t, func() {
		w := newEntryOfSite("e0")
		w.answer.Entries, w.answer.SiteCount = []catalog.VMID{"e1"}, 8
		w.advance(time.Second)
		for id, isForwarded := range map[catalog.RequestID]bool{1: false, 2: true} {
			w.run(RequestArrived{Request: id, Kind: KindRead, Forwarded: isForwarded})
			w.advance(100 * time.Millisecond)
			_, ok := w.forwarded(id)
			So(ok, ShouldBeFalse)
			_, ok = w.running(id)
			So(ok, ShouldBeTrue)
		}
	})
	Convey("a forwarded request is not forwarded again", t, func() {
		w := newEntryOfSite(first, second)
		w.run(RequestArrived{Request: 1, Kind: KindWrite, Forwarded: true})
		_, ok := w.forwarded(1)
		So(ok, ShouldBeFalse)
	})
	Convey("an entry that is stopping forwards new requests to the others", t, func() {
		w := newEntryOfSite(second)
		w.answer.Entries = []catalog.VMID{"e1"}
		w.advance(time.Second)
		So(w.entry.isOwner(w.entry.services["orders"]), ShouldBeTrue)
		w.answer.Entries = sortedVMs([]catalog.VMID{"e1", second})
		w.advance(time.Second)
		w.step(DrainRequested{})
		w.run(RequestArrived{Request: 1, Kind: KindWrite, Forwarded: true})
		a, _ := w.answered(1)
		So(a.RetryElsewhere, ShouldBeTrue)
		w.run(RequestArrived{Request: 2, Kind: KindWrite})
		to, _ := w.forwarded(2)
		So(to, ShouldEqual, second)
		Convey("and refuses them if there is no other", func() {
			w.step(ForwardDone{Request: 2, Outcome: ForwardDeclined})
			a, ok := w.answered(2)
			So(ok, ShouldBeTrue)
			So(a.Verdict, ShouldEqual, VerdictNotRun)
		})
	})
}

// TestOwnersOfManyEntries guards against services without an owner and against
// an uneven distribution, which hashing alone would give.
func TestOwnersOfManyEntries(t *testing.T) {
	Convey("few entries of a site hold connections, and every service has an owner", t, func() {
		const entries, sites, services, slots = 13, 5, 8, 2
		var names []catalog.VMID
		for n := range entries {
			names = append(names, catalog.VMID(fmt.Sprintf("10.1.0.%d", n)))
		}
		owned := map[catalog.VMID]int{}
		owners := map[catalog.ServiceID]int{}
		for _, vm := range names {
			e := NewEntry(EntryOptions{VM: vm, UpstreamsFromControl: true})
			e.setSiteEntries(wire.Answer{Entries: names, SiteCount: sites})
			for n := range services {
				e.service(catalog.ServiceID(fmt.Sprintf("orders%d", n))).addInstance("a").announcement.Slots = slots
			}
			for _, id := range e.serviceIDs {
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

// TestControlListsSiteEntries guards against entries that forward to an entry
// which no longer reports, and against a new leader that sends a list before it
// knows the entries.
func TestControlListsSiteEntries(t *testing.T) {
	report := func(w *soloControl, vm catalog.VMID, site catalog.SiteID, sequence uint64, mark uint64) *wire.Answer {
		w.step(MessageReceived{From: vm, Message: wire.Message{Report: &wire.Report{VM: vm, Site: site, Sequence: sequence, EntriesMark: mark}}})
		return w.lastAnswer(vm)
	}
	Convey("control sends an entry the working entries of its site until the entry knows them", t, func() {
		w := newSoloControl(quorum.PersistentState{})
		w.advance(trustSitesAfter)
		report(w, "e1", "s1", 1, 0)
		report(w, "e2", "s1", 1, 0)
		report(w, "e3", "s2", 1, 0)
		w.advance(2 * sitesInterval)
		a := report(w, "e1", "s1", 2, 0)
		So(a.Entries, ShouldResemble, []catalog.VMID{"e1", "e2"})
		So(a.SiteCount, ShouldEqual, 2)
		mark := wire.EntriesMark(a.Entries, a.SiteCount)
		So(report(w, "e1", "s1", 3, mark).Entries, ShouldBeEmpty)
		Convey("and sends the list again when one of them stops reporting", func() {
			for n := range 6 {
				w.advance(200 * time.Millisecond)
				a = report(w, "e1", "s1", uint64(4+n), mark)
				report(w, "e3", "s2", uint64(4+n), 0)
			}
			So(a.Entries, ShouldResemble, []catalog.VMID{"e1"})
		})
	})
	Convey("a new leader does not replace a list before the entries have reported to it", t, func() {
		w := startSoloControl(quorum.PersistentState{})
		for !w.control.isLeader {
			w.advance(10 * time.Millisecond)
		}
		So(report(w, "e1", "s1", 1, 77).Entries, ShouldBeEmpty)
		w.advance(gatherTime)
		So(report(w, "e1", "s1", 2, 77).Entries, ShouldBeEmpty)
		So(report(w, "e1", "s1", 3, 0).Entries, ShouldResemble, []catalog.VMID{"e1"})
		for n := range 5 {
			w.advance(200 * time.Millisecond)
			report(w, "e1", "s1", uint64(4+n), 77)
		}
		So(w.lastAnswer("e1").Entries, ShouldResemble, []catalog.VMID{"e1"})
	})
}

// TestSiteEntriesAfterARestart guards against callers that wait longer than needed
// after a loss of all power: an entry takes no request before it knows the other
// entries of its site.
func TestSiteEntriesAfterARestart(t *testing.T) {
	report := func(w *soloControl, vm catalog.VMID, sequence uint64) {
		w.step(MessageReceived{From: vm, Message: wire.Message{Report: &wire.Report{VM: vm, Site: "s1", Sequence: sequence}}})
	}
	// elect starts a control VM that the entries ask for a leader until it leads.
	elect := func(entries ...catalog.VMID) *soloControl {
		w := startSoloControl(quorum.PersistentState{})
		for n := uint64(1); !w.control.isLeader; n++ {
			for _, vm := range entries {
				report(w, vm, n)
			}
			w.advance(10 * time.Millisecond)
		}
		return w
	}
	Convey("a new leader that heard all entries search sends the list as soon as they have reported", t, func() {
		w := elect("e1", "e2")
		report(w, "e1", 1000)
		w.advance(2 * sweepInterval)
		So(w.lastAnswer("e1").Entries, ShouldBeEmpty)
		report(w, "e2", 1000)
		w.advance(2 * sweepInterval)
		So(w.lastAnswer("e1").Entries, ShouldResemble, []catalog.VMID{"e1", "e2"})
		So(w.lastAnswer("e2").Entries, ShouldResemble, []catalog.VMID{"e1", "e2"})
	})
	Convey("an entry that does not come back delays the list by gatherTime at most", t, func() {
		w := elect("e1", "e2")
		report(w, "e1", 1000)
		w.advance(gatherTime - 2*sweepInterval)
		So(w.lastAnswer("e1").Entries, ShouldBeEmpty)
		w.advance(sitesInterval + 2*sweepInterval)
		So(w.lastAnswer("e1").Entries, ShouldResemble, []catalog.VMID{"e1"})
	})
	Convey("a new leader that knew its predecessor just before waits for gatherTime", t, func() {
		w := elect("e1")
		l := siteLists{leaderlessSince: w.now.Add(-time.Millisecond)}
		l.awaitEntries(map[catalog.VMID]uint64{"e1": 1}, 67*time.Millisecond, w.now)
		l.recordReport("e1")
		So(l.isComplete(0), ShouldBeFalse)
		So(l.isComplete(gatherTime), ShouldBeTrue)
	})
}
