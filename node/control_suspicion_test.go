package node

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/quorum"
	"github.com/kingcupknot/kingcupknot/registry"
	"github.com/kingcupknot/kingcupknot/wire"
)

// restartedControl is a control VM that leads after a restart and knows from the
// agreed state that a is the ready primary of orders. Its entries have just started.
type restartedControl struct {
	*soloControl
	sequence uint64
	// answers is set while the primary answers control's own queries.
	answers bool
	asked   int
}

func newRestartedControl(t *testing.T, upstreams ...catalog.Announcement) *restartedControl {
	t.Helper()
	self := quorum.Member{VM: "c1", Incarnation: 1, Voter: true}
	state := registry.New()
	state.Version, state.Services = 1, []catalog.Service{{ID: "orders", Instances: 2}}
	state.Primaries = []catalog.Primary{{Service: "orders", Epoch: 4, Instance: "a", Term: 3, Ready: true}}
	state.Upstreams = upstreams
	data, err := state.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	w := &restartedControl{soloControl: startSoloControl(quorum.PersistentState{Self: self, Snapshot: quorum.Snapshot{Index: 1, Ballot: 1, Members: []quorum.Member{self}, Data: data}})}
	for !w.control.isLeader || w.now.Before(w.control.graceEndsAt) {
		w.advance(10 * time.Millisecond)
	}
	return w
}

// runReports lets time pass in which all entries report the same evidence.
func (w *restartedControl) runReports(d time.Duration, incarnation uint64, evidence map[catalog.VMID]wire.Evidence) {
	for end := w.now.Add(d); w.now.Before(end); w.advance(20 * time.Millisecond) {
		w.sequence++
		for vm, site := range harnessEntries {
			r := &wire.Report{VM: vm, Site: site, Incarnation: incarnation, Sequence: w.sequence, Services: []catalog.ServiceID{"orders"}}
			if x, ok := evidence[vm]; ok {
				r.Observations = []wire.Observation{{Service: "orders", Instance: "a", Evidence: x, AliveAge: -1}}
				if x == wire.EvidenceAlive {
					r.Observations[0].AliveAge = 0
				}
			}
			w.step(MessageReceived{From: vm, Message: wire.Message{Report: r}})
		}
		w.answerQueries()
	}
}

func (w *restartedControl) answerQueries() {
	for n, e := range w.upstreamEffects {
		v, ok := e.(Survey)
		if !ok || n < w.asked || v.Instance != "a" || !w.answers {
			continue
		}
		w.step(SurveyDone{Survey: v.Survey, Instance: "a", Evidence: wire.EvidenceAlive, Role: catalog.RolePrimary, Position: catalog.Position{Term: 3}})
	}
	w.asked = len(w.upstreamEffects)
}

func (w *restartedControl) isReplacing() bool { return w.control.failovers["orders"] != nil }

// TestUnheardPrimary guards against a primary that is never replaced because no entry has heard it since all of them started, and against one that is replaced although it is healthy.
func TestUnheardPrimary(t *testing.T) {
	a, b := testAnnouncement("a", catalog.RolePrimary, 1), testAnnouncement("b", catalog.RoleReplica, 1)
	timings := catalog.DefaultTimings()
	allFail := map[catalog.VMID]wire.Evidence{"e1": wire.EvidenceTimeout, "e2": wire.EvidenceTimeout, "e3": wire.EvidenceTimeout}
	Convey("after a restart of all processes, a primary that no entry has heard", t, func() {
		w := newRestartedControl(t, a, b)
		Convey("is replaced if it answers neither two sites nor control", func() {
			w.runReports(3*timings.SuspectTimeout, 1, map[catalog.VMID]wire.Evidence{"e1": wire.EvidenceTimeout, "e2": wire.EvidenceTimeout, "e3": wire.EvidenceNone})
			So(w.isReplacing(), ShouldBeTrue)
		})
		Convey("is not replaced at the first failures", func() {
			w.runReports(timings.SuspectTimeout-100*time.Millisecond, 1, allFail)
			So(w.isReplacing(), ShouldBeFalse)
			w.runReports(5*time.Second, 1, map[catalog.VMID]wire.Evidence{"e1": wire.EvidenceAlive, "e2": wire.EvidenceTimeout, "e3": wire.EvidenceTimeout})
			So(w.isReplacing(), ShouldBeFalse)
		})
		Convey("and that only one site tries to reach", func() {
			oneFails := map[catalog.VMID]wire.Evidence{"e1": wire.EvidenceTimeout, "e2": wire.EvidenceNone, "e3": wire.EvidenceNone}
			Convey("is not replaced while it answers control", func() {
				w.answers = true
				w.runReports(5*time.Second, 1, oneFails)
				So(w.isReplacing(), ShouldBeFalse)
			})
			Convey("is not replaced while another site hears it", func() {
				oneFails["e2"] = wire.EvidenceAlive
				w.runReports(5*time.Second, 1, oneFails)
				So(w.isReplacing(), ShouldBeFalse)
			})
			Convey("is replaced late if it does not answer control either", func() {
				w.runReports(timings.AnnouncementTTL-100*time.Millisecond, 1, oneFails)
				So(w.isReplacing(), ShouldBeFalse)
				w.runReports(3*timings.SuspectTimeout, 1, oneFails)
				So(w.isReplacing(), ShouldBeTrue)
			})
		})
		Convey("is not replaced soon if it answers control", func() {
			w.answers = true
			w.runReports(timings.AnnouncementTTL-100*time.Millisecond, 1, allFail)
			So(w.isReplacing(), ShouldBeFalse)
			Convey("but when it has been out of reach of the entries for long", func() {
				w.runReports(300*time.Millisecond, 1, allFail)
				So(w.isReplacing(), ShouldBeTrue)
			})
		})
		Convey("is not replaced because of failures before another restart of the entries", func() {
			w.runReports(timings.SuspectTimeout-100*time.Millisecond, 1, allFail)
			w.runReports(5*time.Second, 2, nil)
			w.runReports(timings.SuspectTimeout-100*time.Millisecond, 2, allFail)
			So(w.isReplacing(), ShouldBeFalse)
		})
	})
}

// TestUnknownPrimary guards against a primary that is never replaced because nobody knows its address any more.
func TestUnknownPrimary(t *testing.T) {
	Convey("a primary whose address was not recorded before all control VMs restarted", t, func() {
		w := newRestartedControl(t, testAnnouncement("b", catalog.RoleReplica, 1))
		ttl := catalog.DefaultTimings().AnnouncementTTL
		Convey("is replaced once it would have announced itself", func() {
			w.runReports(ttl-time.Second, 1, nil)
			So(w.isReplacing(), ShouldBeFalse)
			w.runReports(time.Second+fullCheckInterval, 1, nil)
			So(w.isReplacing(), ShouldBeTrue)
		})
		Convey("stays if it announces itself", func() {
			w.step(AnnouncementReceived{Announcement: testAnnouncement("a", catalog.RolePrimary, 1)})
			w.runReports(2*ttl, 1, nil)
			So(w.isReplacing(), ShouldBeFalse)
		})
		Convey("stays if an entry knows it", func() {
			w.runReports(2*ttl, 1, map[catalog.VMID]wire.Evidence{"e1": wire.EvidenceAlive})
			So(w.isReplacing(), ShouldBeFalse)
		})
	})
}

// TestEndedEntriesObserveNothing guards against a healthy primary that is replaced because the entries which saw it pause have ended, and so report no answer after that.
func TestEndedEntriesObserveNothing(t *testing.T) {
	Convey("a primary that paused for 200 ms before all entries ended is not replaced", t, func() {
		o := newControlHarness(t, catalog.AckPrimary)
		o.setUpLeases()
		for age := 100 * ms; age <= 200*ms; age += 100 * ms {
			o.advance(100 * ms)
			for vm := range harnessEntries {
				o.report(vm, timeoutObservation(age))
			}
		}
		o.advance(time.Second)
		So(o.primary().Epoch, ShouldEqual, catalog.Epoch(1))
		So(countEffects[Survey](o), ShouldEqual, 0)
	})
}

// TestStartedEntriesMissNoAnnouncement guards against a healthy primary that is replaced because the entries have just started and not received its announcement yet.
func TestStartedEntriesMissNoAnnouncement(t *testing.T) {
	Convey("an announcement that is too old does not count while all entries have just started", t, func() {
		o := newControlHarness(t, catalog.AckPrimary)
		o.setUpLeases()
		ttl := catalog.DefaultTimings().AnnouncementTTL
		o.advance(ttl + 100*ms)
		o.announceReplicas()
		report := func() {
			for vm, site := range harnessEntries {
				o.reportSequences[vm]++
				o.feed(MessageReceived{From: vm, Message: wire.Message{Report: &wire.Report{
					VM: vm, Site: site, Incarnation: 2, Sequence: o.reportSequences[vm], Services: []catalog.ServiceID{"ledger"},
				}}})
			}
		}
		o.control.upstreams["a"].announcement.Site = "s1"
		for range 10 {
			report()
			o.advance(100 * ms)
		}
		So(o.control.failovers, ShouldBeEmpty)
		Convey("but once they have listened for long enough", func() {
			for range 25 {
				report()
				o.announceReplicas()
				o.advance(100 * ms)
			}
			So(o.primary().Epoch+catalog.Epoch(len(o.control.failovers)), ShouldBeGreaterThan, catalog.Epoch(1))
		})
	})
}

// announceReplicas announces all upstreams but the primary a.
func (o *controlHarness) announceReplicas() {
	position := o.positions["a"]
	delete(o.positions, "a")
	o.announce()
	o.positions["a"] = position
}
