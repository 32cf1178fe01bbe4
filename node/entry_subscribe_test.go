package node

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/wire"
)

// lastReport advances the time and returns the last report sent in it.
func (w *scaleWorld) lastReport(d time.Duration) *wire.Report {
	w.reports = nil
	w.run(d)
	return w.reports[len(w.reports)-1]
}

// TestEntryOmitsHealthyUpstreams guards against reports that omit an observation
// which the leader has not received, for example after a change of leader.
func TestEntryOmitsHealthyUpstreams(t *testing.T) {
	listed := func(w *scaleWorld, d time.Duration) (most, total int) {
		w.lastReport(d)
		for _, r := range w.reports {
			most, total = max(most, len(r.Observations)), total+len(r.Observations)
		}
		return most, total
	}
	Convey("an entry with healthy upstreams", t, func() {
		w := newScaleWorld(2, nil)
		w.run(3 * time.Second)
		Convey("repeats each observation about once a second", func() {
			_, sum := listed(w, 2*time.Second)
			So(sum, ShouldBeBetween, 11, 19)
		})
		Convey("states within which time the omitted ones answered", func() {
			w.lastReport(time.Second)
			for _, r := range w.reports {
				if len(r.Observations) < 6 {
					So(r.AliveWithin, ShouldBeBetween, 0, 2*w.entry.options.Timings.ProbeInterval+1)
				}
			}
		})
		Convey("reports all of them to a new leader", func() {
			w.step(MessageReceived{From: w.leader, Message: wire.Message{Answer: &wire.Answer{
				Refused: true, Leader: "control-1", Sequence: w.entry.report.sequence,
			}}})
			w.leader = "control-1"
			So(len(w.lastReport(150*time.Millisecond).Observations), ShouldEqual, 6)
		})
		Convey("reports all of them until a report is answered", func() {
			w.leaderSilent = true
			w.run(time.Second)
			So(len(w.lastReport(time.Second).Observations), ShouldEqual, 6)
		})
		Convey("reports one that does not answer in every report", func() {
			w.silent = scaleInstanceID(scaleServiceID(0), 1)
			w.run(time.Second)
			w.lastReport(time.Second)
			for _, r := range w.reports {
				So(r.Observations, ShouldNotBeEmpty)
			}
		})
	})
}

// TestEntrySubscribes guards against entries that hold connections and leases
// of services without callers, and against a first request that waits for the
// next regular report.
func TestEntrySubscribes(t *testing.T) {
	Convey("an entry that is not an observer", t, func() {
		w := newScaleWorld(1, func(o *EntryOptions) { o.Observers, o.SitePeers = 1, []catalog.VMID{"entry-0002"} })
		s := w.entry.services[scaleServiceID(0)]
		if s.isObserved {
			w = newScaleWorld(1, func(o *EntryOptions) {
				o.VM, o.Observers, o.SitePeers = "entry-0002", 1, []catalog.VMID{"entry-0001"}
			})
			s = w.entry.services[scaleServiceID(0)]
		}
		So(s.isObserved, ShouldBeFalse)
		w.run(12 * time.Second)
		r := w.lastReport(time.Second)
		So(r.Services, ShouldBeEmpty)
		So(r.Demands, ShouldBeEmpty)
		So(w.entry.conns, ShouldBeEmpty)
		Convey("subscribes at once when a request arrives, and serves it", func() {
			w.step(RequestArrived{Request: 1, Service: s.id, Kind: KindWrite, Deadline: w.now.Add(time.Second)})
			w.run(200 * time.Millisecond)
			So(w.answers[1].Verdict, ShouldEqual, VerdictDone)
			So(w.answers, ShouldContainKey, catalog.RequestID(1))
			r := w.lastReport(time.Second)
			So(r.Services, ShouldHaveLength, 1)
			So(r.Observations, ShouldBeEmpty)
			Convey("and gives up leases and connections a minute later", func() {
				w.run(serviceIdleTimeout + time.Second)
				r := w.lastReport(time.Second)
				So(r.Services, ShouldBeEmpty)
				So(r.Demands, ShouldBeEmpty)
				So(w.entry.conns, ShouldBeEmpty)
			})
		})
	})
}

// TestControlAgesOmittedObservations guards against control treating an
// upstream as alive for longer than the reports that omit it prove.
func TestControlAgesOmittedObservations(t *testing.T) {
	Convey("an omitted upstream counts as alive while it was reported recently", t, func() {
		v := &entryView{aliveWithin: 120 * time.Millisecond, reportedAt: catalog.Instant(5 * time.Second)}
		at := func(d time.Duration) catalog.Instant { return v.reportedAt.Add(-d) }
		o := observation{evidence: wire.EvidenceAlive, reportedAt: at(time.Second), aliveAt: at(time.Second)}
		So(v.lastAliveAt(o), ShouldEqual, at(120*time.Millisecond))
		o.reportedAt = at(2*healthyRepeatInterval + 1)
		So(v.lastAliveAt(o), ShouldEqual, o.aliveAt)
		o.reportedAt, o.evidence = at(0), wire.EvidenceTimeout
		So(v.lastAliveAt(o), ShouldEqual, o.aliveAt)
		o.evidence, v.aliveWithin = wire.EvidenceAlive, 0
		So(v.lastAliveAt(o), ShouldEqual, o.aliveAt)
	})
}
