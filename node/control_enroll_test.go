package node

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/quorum"
)

// TestUpstreamsAreEnrolledTogether guards against a leader that writes and sends a
// record of its own for each of thousands of upstreams that start together.
func TestUpstreamsAreEnrolledTogether(t *testing.T) {
	const upstreams = 200
	Convey("upstreams that slowly announce themselves one by one are recorded with few writes, too", t, func() {
		w := newSoloControl(quorum.PersistentState{})
		writes := 0
		for n := range upstreams {
			a := testAnnouncement(catalog.InstanceID(fmt.Sprintf("i%03d", n)), catalog.RoleReplica, 1)
			effects := w.control.Step(Event{Now: w.now, Input: AnnouncementReceived{Announcement: a}})
			for _, x := range effects {
				if _, ok := x.(Persist); ok {
					writes++
				}
			}
			w.execute(effects)
			w.advance(10 * time.Millisecond)
		}
		So(writes, ShouldBeLessThanOrEqualTo, maxImmediateEnrollments*3+int(upstreams*10*time.Millisecond/enrollmentInterval))
		w.advance(2 * enrollmentInterval)
		So(w.control.state.Upstreams, ShouldHaveLength, upstreams)
	})
	Convey("upstreams that announce themselves between two sweeps are recorded with few writes", t, func() {
		w := newSoloControl(quorum.PersistentState{})
		w.control.nextSweepAt = w.now.Add(sweepInterval)
		writes := 0
		for n := range upstreams {
			a := testAnnouncement(catalog.InstanceID(fmt.Sprintf("i%03d", n)), catalog.RoleReplica, 1)
			effects := w.control.Step(Event{Now: w.now, Input: AnnouncementReceived{Announcement: a}})
			for _, x := range effects {
				if _, ok := x.(Persist); ok {
					writes++
				}
			}
			w.execute(effects)
		}
		So(writes, ShouldBeLessThanOrEqualTo, maxImmediateEnrollments)
		w.advance(enrollmentInterval + sweepInterval)
		So(w.control.state.Upstreams, ShouldHaveLength, upstreams)
		for n, a := range w.control.state.Upstreams {
			So(a.Instance, ShouldEqual, catalog.InstanceID(fmt.Sprintf("i%03d", n)))
		}
	})
}
