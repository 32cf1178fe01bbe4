package node

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/wire"
)

// lastReport lets time pass and returns the last report of it.
func (w *sizeWorld) lastReport(d time.Duration) *wire.Report {
	w.reports = nil
	w.run(d)
	return w.reports[len(w.reports)-1]
}

func TestEntryLeavesOutHealthyUpstreams(t *testing.T) {
	listed := func(w *sizeWorld, d time.Duration) (most, sum int) {
		w.lastReport(d)
		for _, r := range w.reports {
			most, sum = max(most, len(r.Observations)), sum+len(r.Observations)
		}
		return most, sum
	}
	Convey("an entry with healthy upstreams", t, func() {
		w := newSizeWorld(2, nil)
		w.run(3 * time.Second)
		Convey("repeats each observation about once a second", func() {
			_, sum := listed(w, 2*time.Second)
			So(sum, ShouldBeBetween, 11, 19)
		})
		Convey("says how long ago those left out answered", func() {
			w.lastReport(time.Second)
			for _, r := range w.reports {
				if len(r.Observations) < 6 {
					So(r.AliveWithin, ShouldBeBetween, 0, 2*w.entry.options.Timings.ProbeInterval+1)
				}
			}
		})
		Convey("tells a new leader of all of them", func() {
			w.step(MessageReceived{From: w.leader, Message: wire.Message{Answer: &wire.Answer{
				Refused: true, Leader: "control-1", Sequence: w.entry.report.sequence,
			}}})
			w.leader = "control-1"
			So(len(w.lastReport(150*time.Millisecond).Observations), ShouldEqual, 6)
		})
		Convey("tells of all of them until a report was answered", func() {
			w.deaf = true
			w.run(time.Second)
			So(len(w.lastReport(time.Second).Observations), ShouldEqual, 6)
		})
		Convey("tells of a silent one in every report", func() {
			w.silent = sizeInstance(sizeName(0), 1)
			w.run(time.Second)
			w.lastReport(time.Second)
			for _, r := range w.reports {
				So(r.Observations, ShouldNotBeEmpty)
			}
		})
	})
}

func TestEntrySubscribes(t *testing.T) {
	Convey("an entry that is no observer", t, func() {
		w := newSizeWorld(1, func(o *EntryOptions) { o.Observers, o.SitePeers = 1, []catalog.VMID{"entry-0002"} })
		s := w.entry.services[sizeName(0)]
		if s.isObserved {
			w = newSizeWorld(1, func(o *EntryOptions) {
				o.VM, o.Observers, o.SitePeers = "entry-0002", 1, []catalog.VMID{"entry-0001"}
			})
			s = w.entry.services[sizeName(0)]
		}
		So(s.isObserved, ShouldBeFalse)
		w.run(12 * time.Second)
		r := w.lastReport(time.Second)
		So(r.Services, ShouldBeEmpty)
		So(r.Demands, ShouldBeEmpty)
		So(w.entry.conns, ShouldBeEmpty)
		Convey("subscribes at once when a caller comes, and serves it", func() {
			w.step(RequestArrived{Request: 1, Service: s.id, Kind: KindWrite, Deadline: w.now.Add(time.Second)})
			w.run(200 * time.Millisecond)
			So(w.answers[1].Verdict, ShouldEqual, VerdictDone)
			So(w.answers, ShouldContainKey, catalog.RequestID(1))
			r := w.lastReport(time.Second)
			So(r.Services, ShouldHaveLength, 1)
			So(r.Observations, ShouldBeEmpty)
			Convey("and gives all up a minute later", func() {
				w.run(usedBound + time.Second)
				r := w.lastReport(time.Second)
				So(r.Services, ShouldBeEmpty)
				So(r.Demands, ShouldBeEmpty)
				So(w.entry.conns, ShouldBeEmpty)
			})
		})
	})
}

func TestControlCountsWhatIsLeftOut(t *testing.T) {
	Convey("an upstream left out counts as alive while it was told of lately", t, func() {
		v := &entryView{aliveWithin: 120 * time.Millisecond, seenAt: catalog.Instant(5 * time.Second)}
		at := func(d time.Duration) catalog.Instant { return v.seenAt.Add(-d) }
		o := observation{evidence: wire.EvidenceAlive, notedAt: at(time.Second), aliveAt: at(time.Second)}
		So(v.lastAlive(o), ShouldEqual, at(120*time.Millisecond))
		o.notedAt = at(2*repeatHealthy + 1)
		So(v.lastAlive(o), ShouldEqual, o.aliveAt)
		o.notedAt, o.evidence = at(0), wire.EvidenceSilent
		So(v.lastAlive(o), ShouldEqual, o.aliveAt)
		o.evidence, v.aliveWithin = wire.EvidenceAlive, 0
		So(v.lastAlive(o), ShouldEqual, o.aliveAt)
	})
}
