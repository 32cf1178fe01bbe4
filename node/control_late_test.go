package node

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/quorum"
	"github.com/kingcupknot/kingcupknot/wire"
)

// TestLateLeaderReplacesNoPrimary guards against a change of primary that a leader
// decides on after it was not scheduled for a while: the reports that it then
// handles first are older than those which say that the primary answers.
func TestLateLeaderReplacesNoPrimary(t *testing.T) {
	Convey("a leader that was late waits for new reports before it judges a primary", t, func() {
		w := newSoloControl(quorum.PersistentState{})
		w.runCommand(adoptCommand(1, time.Second))
		w.step(AnnouncementReceived{Announcement: testAnnouncement("a", catalog.RolePrimary, 1)})
		p := catalog.Primary{Service: "orders", Instance: "a"}
		sequence := uint64(0)
		report := func(evidence wire.Evidence, age time.Duration) {
			sequence++
			for vm, site := range map[catalog.VMID]catalog.SiteID{"e1": "s1", "e2": "s2"} {
				w.step(MessageReceived{From: vm, Message: wire.Message{Report: &wire.Report{
					VM: vm, Site: site, Incarnation: 1, Sequence: sequence,
					Observations: []wire.Observation{{Service: "orders", Instance: "a", Evidence: evidence, AliveAge: age}},
				}}})
			}
		}
		interval := w.control.options.Timings.ReportInterval
		w.now = w.now.Add(5 * interval)
		report(wire.EvidenceTimeout, time.Second)
		So(w.control.isPrimaryDown(p), ShouldBeFalse)
		report(wire.EvidenceAlive, 0)
		w.advance(lateReportIntervals * interval)
		So(w.control.isPrimaryDown(p), ShouldBeFalse)
		Convey("and finds one that stays silent", func() {
			report(wire.EvidenceTimeout, time.Second)
			So(w.control.isPrimaryDown(p), ShouldBeTrue)
		})
	})
}
