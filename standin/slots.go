package standin

import (
	"context"
	"sync"
)

// slots bounds the statements that run side by side, first come first served.
type slots struct {
	mu      sync.Mutex
	limit   int
	running int
	highest int
	waiting []chan struct{}
}

// take waits for a slot.
func (l *slots) take(ctx context.Context) error {
	l.mu.Lock()
	if l.limit <= 0 || l.running < l.limit {
		l.count()
		l.mu.Unlock()
		return nil
	}
	turn := make(chan struct{})
	l.waiting = append(l.waiting, turn)
	l.mu.Unlock()
	select {
	case <-turn:
		return nil
	case <-ctx.Done():
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, w := range l.waiting {
		if w == turn {
			l.waiting = append(l.waiting[:i], l.waiting[i+1:]...)
			return errCanceled
		}
	}
	l.pass()
	return errCanceled
}

// give returns a slot.
func (l *slots) give() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pass()
}

func (l *slots) count() {
	l.running++
	l.highest = max(l.highest, l.running)
}

// pass hands the caller's slot to the first that waits.
func (l *slots) pass() {
	if len(l.waiting) == 0 {
		l.running--
		return
	}
	close(l.waiting[0])
	l.waiting = l.waiting[1:]
}

func (l *slots) peak() (running, highest int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.running, l.highest
}
