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

const largeFleetServices = 1200

// newLargeControl returns the only control VM of a system with many services, of
// which none has an upstream yet.
func newLargeControl() *soloControl {
	w := newSoloControl(quorum.PersistentState{})
	c := catalog.Configuration{Version: 1}
	for n := range largeFleetServices {
		c.Services = append(c.Services, catalog.Service{
			ID: largeServiceID(n), Ack: catalog.AckPrimary, Instances: 3,
			Limits: catalog.Limits{Connections: 64, Reserved: 2, Slots: 1},
		})
	}
	w.runCommand(Command{Adopt: &AdoptSettings{Configuration: c}})
	w.advance(time.Second)
	return w
}

func largeServiceID(n int) catalog.ServiceID {
	return catalog.ServiceID(fmt.Sprintf("service-%04d", n))
}

// TestReportChecksItsOwnServices guards against a leader that spends its processor
// on checks when a fleet starts: nearly every report names an upstream that does
// not answer, and all services are suspected at that time.
func TestReportChecksItsOwnServices(t *testing.T) {
	Convey("a report with a failure checks only its services while many are suspected", t, func() {
		w := newLargeControl()
		checked := 0
		for n := range largeFleetServices {
			w.control.markSuspect(largeServiceID(n))
			// The primary is known as not ready, so that each check renews the suspicion.
			w.control.state.Primaries = append(w.control.state.Primaries, catalog.Primary{Service: largeServiceID(n), Epoch: 1, Instance: "x"})
		}
		w.control.graceEndsAt = w.now.Add(time.Minute)
		w.control.nextSweepAt, w.control.nextFullCheckAt = w.now.Add(time.Minute), w.now.Add(time.Minute)
		w.now = w.now.Add(time.Millisecond)
		w.step(MessageReceived{From: "e1", Message: wire.Message{Report: &wire.Report{
			VM: "e1", Site: "s1", Incarnation: 1, Sequence: 1, EntriesMark: 1,
			Observations: []wire.Observation{{Service: largeServiceID(5), Instance: "i", Evidence: wire.EvidenceRefused}},
		}}})
		for n := range largeFleetServices {
			if w.control.suspectUntil[largeServiceID(n)] == w.now.Add(suspectPeriod) {
				checked++
			}
		}
		So(checked, ShouldEqual, 1)
		Convey("and sweeps check all of them in turn", func() {
			seen := map[catalog.ServiceID]bool{}
			for range (largeFleetServices + maxChecksPerSweep - 1) / maxChecksPerSweep {
				part := w.control.nextSuspects()
				So(len(part), ShouldEqual, maxChecksPerSweep)
				for _, id := range part {
					seen[id] = true
				}
			}
			So(seen, ShouldHaveLength, largeFleetServices)
		})
	})
}

// TestSurveysAreBounded guards against a leader that surveys all of 1,200 services at
// once when they get their first primaries: the answers are handled so late that it
// repeats the surveys for ever.
func TestSurveysAreBounded(t *testing.T) {
	Convey("the first primaries of many services are found in turn, and all of them are found", t, func() {
		w := newLargeControl()
		w.advance(5 * time.Second)
		ready := func() int {
			n := 0
			for _, p := range w.control.state.Primaries {
				if p.Ready {
					n++
				}
			}
			return n
		}
		for n := range largeFleetServices {
			a := testAnnouncement(catalog.InstanceID(fmt.Sprintf("i%04d", n)), catalog.RolePrimary, 1)
			a.Service = largeServiceID(n)
			w.step(AnnouncementReceived{Announcement: a})
		}
		// The surveys after the first announcements keep connections open.
		w.upstreamEffects = nil
		for range 200 {
			w.advance(20 * time.Millisecond)
			surveys := 0
			for _, x := range w.upstreamEffects {
				if _, ok := x.(Survey); ok {
					surveys++
				}
			}
			So(surveys, ShouldBeLessThanOrEqualTo, 2*maxSurveyedServices)
			effects := w.upstreamEffects
			w.upstreamEffects = nil
			for _, x := range effects {
				switch v := x.(type) {
				case Survey:
					w.step(SurveyDone{Survey: v.Survey, Instance: v.Instance, Evidence: wire.EvidenceAlive, Role: catalog.RolePrimary, Position: catalog.Position{Term: 1, Offset: 1}})
				case Promote:
					w.step(PromoteDone{Service: v.Service, Instance: v.Instance, Epoch: v.Epoch, OK: true, Position: catalog.Position{Term: 1, Offset: 1}})
				}
			}
			if ready() == largeFleetServices {
				break
			}
		}
		So(ready(), ShouldEqual, largeFleetServices)
	})
}
