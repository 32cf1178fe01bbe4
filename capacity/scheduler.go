package capacity

import (
	"container/heap"
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
)

// scheduledEvent is a callback that runs at an instant of virtual time. Events of
// the same instant run in the order of their sequence numbers.
type scheduledEvent struct {
	at       catalog.Instant
	sequence int
	callback func()
}

type eventHeap []scheduledEvent

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || (h[i].at == h[j].at && h[i].sequence < h[j].sequence)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(scheduledEvent)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// scheduler runs callbacks in virtual time. Callbacks that are due at the same
// instant run in the order in which they were scheduled.
type scheduler struct {
	now          catalog.Instant
	lastSequence int
	pending      eventHeap
}

func (s *scheduler) schedule(d time.Duration, do func()) {
	s.lastSequence++
	heap.Push(&s.pending, scheduledEvent{at: s.now.Add(d), sequence: s.lastSequence, callback: do})
}

// advance moves virtual time forward by d and runs the callbacks that become due.
func (s *scheduler) advance(d time.Duration) {
	end := s.now.Add(d)
	for len(s.pending) > 0 && s.pending[0].at <= end {
		h := heap.Pop(&s.pending).(scheduledEvent)
		s.now = h.at
		h.callback()
	}
	s.now = end
}
