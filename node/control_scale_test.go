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
