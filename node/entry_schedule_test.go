package node

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/kingcupknot/kingcupknot/catalog"
)

// TestEntryDueServices schedules random deadlines and compares the services
// that each step reconciles with a linear search.
func TestEntryDueServices(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := NewEntry(EntryOptions{Timings: catalog.DefaultTimings()})
		want := map[catalog.ServiceID]catalog.Instant{}
		for n := range 8 {
			e.service(scaleServiceID(n))
		}
		e.dueServices()
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			s := e.services[scaleServiceID(rapid.IntRange(0, 7).Draw(t, "service"))]
			at := catalog.Instant(rapid.IntRange(0, 40).Draw(t, "at"))
			e.scheduleServiceWake(s, at)
			want[s.id] = at
			e.now = e.now.Add(time.Duration(rapid.IntRange(0, 4).Draw(t, "pass")))
			touched := e.services[scaleServiceID(rapid.IntRange(0, 7).Draw(t, "touched"))]
			e.markDirty(touched)
			e.markDirty(touched)
			var ids []catalog.ServiceID
			for _, id := range e.serviceIDs {
				if (want[id] != 0 && want[id] <= e.now) || id == touched.id {
					ids = append(ids, id)
				}
			}
			due := e.dueServices()
			if len(due) != len(ids) {
				t.Fatalf("%d services are due, want %v", len(due), ids)
			}
			for n, s := range due {
				if s.id != ids[n] {
					t.Fatalf("service %d is %s, want %s", n, s.id, ids[n])
				}
				if want[s.id] <= e.now {
					want[s.id] = 0
					e.scheduleServiceWake(s, 0)
				}
			}
		}
	})
}

// TestEntryReconcilesOnlyAffectedServices guards against steps whose cost grows
// with the number of services.
func TestEntryReconcilesOnlyAffectedServices(t *testing.T) {
	w := newScaleWorld(20, nil)
	w.run(time.Second)
	e := w.entry
	w.step(TimerFired{})
	w.step(RequestArrived{Request: 1, Service: scaleServiceID(3), Deadline: w.now.Add(time.Second)})
	if len(e.schedule.batch) != 1 || e.schedule.batch[0].id != scaleServiceID(3) {
		t.Errorf("%d services were reconciled for one request", len(e.schedule.batch))
	}
}
