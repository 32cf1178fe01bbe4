package node

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/wire"
)

// TestIdlePrimariesAreNotRepeated guards against reports that repeat every owned
// primary that nobody uses, 75 bytes of each five times a second, and against
// control that takes such a primary for alive since others answer.
func TestIdlePrimariesAreNotRepeated(t *testing.T) {
	Convey("a primary that was idle when it was reported", t, func() {
		e := NewEntry(EntryOptions{VM: "e1", Site: "s1", Timings: catalog.HostedTimings(time.Second), UpstreamsFromControl: true})
		e.now = catalog.Instant(time.Minute)
		s := e.service("orders")
		i := s.addInstance("a")
		s.accepted, s.isObserved, s.primary.Instance = true, true, "a"
		i.evidence, i.wasAlive, i.aliveAt = wire.EvidenceAlive, true, e.now
		e.report.leader = "c1"
		report := func(after time.Duration) *wire.Report {
			e.now = e.now.Add(after)
			e.report.sequence++
			m := &wire.Report{Sequence: e.report.sequence}
			e.addObservation(m, i)
			e.report.acknowledged[m.Sequence] = true
			return m
		}
		So(report(5*time.Second).Observations, ShouldHaveLength, 1)
		interval := e.options.Timings.ReportInterval
		Convey("is omitted without a claim that it answers", func() {
			m := report(interval)
			So(m.Observations, ShouldBeEmpty)
			So(m.AliveWithin, ShouldEqual, 0)
		})
		Convey("is reported again after a while", func() {
			So(report(idleRepeatInterval).Observations, ShouldHaveLength, 1)
		})
		Convey("is reported again to the next leader", func() {
			e.report.setLeader("c2")
			So(report(interval).Observations, ShouldHaveLength, 1)
		})
		Convey("is reported at once when it answers or fails", func() {
			i.aliveAt = e.now
			So(report(interval).Observations, ShouldHaveLength, 1)
			So(report(interval).Observations, ShouldBeEmpty)
			i.evidence = wire.EvidenceTimeout
			So(report(interval).Observations, ShouldHaveLength, 1)
		})
	})
	Convey("control derives nothing for an idle upstream from the answers of others", t, func() {
		v := &entryView{aliveWithin: 20 * time.Millisecond, reportedAt: catalog.Instant(time.Minute)}
		o := observation{evidence: wire.EvidenceAlive, reportedAt: v.reportedAt.Add(-time.Second), aliveAt: v.reportedAt.Add(-5 * time.Second), isIdle: true}
		So(v.lastAliveAt(o), ShouldEqual, o.aliveAt)
	})
}
