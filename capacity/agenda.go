package capacity

import (
	"container/heap"
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
)

// happening is something that is due.
type happening struct {
	at     catalog.Instant
	number int
	do     func()
}

type happenings []happening

func (h happenings) Len() int { return len(h) }
func (h happenings) Less(i, j int) bool {
	return h[i].at < h[j].at || (h[i].at == h[j].at && h[i].number < h[j].number)
}
func (h happenings) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push adds a happening.
func (h *happenings) Push(x any) { *h = append(*h, x.(happening)) }

// Pop takes the last happening.
func (h *happenings) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// agenda runs what is due in virtual time. What is due at once keeps its order.
type agenda struct {
	now    catalog.Instant
	number int
	due    happenings
}

func (a *agenda) after(d time.Duration, do func()) {
	a.number++
	heap.Push(&a.due, happening{at: a.now.Add(d), number: a.number, do: do})
}

// run lets a length of time pass.
func (a *agenda) run(d time.Duration) {
	end := a.now.Add(d)
	for len(a.due) > 0 && a.due[0].at <= end {
		h := heap.Pop(&a.due).(happening)
		a.now = h.at
		h.do()
	}
	a.now = end
}
