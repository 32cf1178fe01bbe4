package node

import (
	"container/heap"
	"slices"
	"strings"

	"github.com/kingcupknot/kingcupknot/catalog"
)

// entrySchedule selects the services that a step has to reconcile: those that
// its event affects and those whose deadline has passed.
type entrySchedule struct {
	dirty []*entryService
	// batch holds the services that the present step reconciles.
	batch []*entryService
	wakes wakeHeap
}

// wakeHeap is a heap of the services that have a deadline, ordered by deadline
// and then by id.
type wakeHeap []*entryService

func (w wakeHeap) Len() int { return len(w) }
func (w wakeHeap) Less(a, b int) bool {
	if w[a].wakeAt != w[b].wakeAt {
		return w[a].wakeAt < w[b].wakeAt
	}
	return w[a].id < w[b].id
}

func (w wakeHeap) Swap(a, b int) {
	w[a], w[b] = w[b], w[a]
	w[a].heapIndex, w[b].heapIndex = a+1, b+1
}

// Push implements heap.Interface.
func (w *wakeHeap) Push(x any) {
	s := x.(*entryService)
	*w = append(*w, s)
	s.heapIndex = len(*w)
}

// Pop implements heap.Interface.
func (w *wakeHeap) Pop() any {
	last := len(*w) - 1
	s := (*w)[last]
	(*w)[last] = nil
	*w = (*w)[:last]
	s.heapIndex = 0
	return s
}

// markDirty selects the service to be reconciled in this step.
func (e *Entry) markDirty(s *entryService) {
	if !s.isDirty {
		s.isDirty = true
		e.schedule.dirty = append(e.schedule.dirty, s)
	}
}

func (e *Entry) markAllDirty() {
	for _, id := range e.serviceIDs {
		e.markDirty(e.services[id])
	}
}

// dueServices returns the services to reconcile in this step, sorted by id.
func (e *Entry) dueServices() []*entryService {
	p := &e.schedule
	for len(p.wakes) > 0 && !p.wakes[0].wakeAt.After(e.now) {
		e.markDirty(heap.Pop(&p.wakes).(*entryService))
	}
	p.batch, p.dirty = p.dirty, p.batch[:0]
	if len(p.batch) > 1 {
		slices.SortFunc(p.batch, func(a, b *entryService) int { return strings.Compare(string(a.id), string(b.id)) })
	}
	for _, s := range p.batch {
		s.isDirty = false
	}
	return p.batch
}

// scheduleServiceWake sets when the service must be reconciled next, zero for
// no deadline.
func (e *Entry) scheduleServiceWake(s *entryService, at catalog.Instant) {
	w := &e.schedule.wakes
	switch {
	case at == s.wakeAt && s.heapIndex != 0:
		return
	case at == 0:
		if s.heapIndex != 0 {
			heap.Remove(w, s.heapIndex-1)
		}
		s.wakeAt = 0
	case s.heapIndex != 0:
		s.wakeAt = at
		heap.Fix(w, s.heapIndex-1)
	default:
		s.wakeAt = at
		heap.Push(w, s)
	}
}

// earliestWake returns the earliest deadline of all services, zero if there is
// none.
func (e *Entry) earliestWake() catalog.Instant {
	if w := e.schedule.wakes; len(w) > 0 {
		return w[0].wakeAt
	}
	return 0
}
