package standin

import (
	"context"
	"sync"
)

// slotLimiter limits the statements that run concurrently. Waiting statements
// get a slot in the order of their arrival.
type slotLimiter struct {
	mu      sync.Mutex
	limit   int
	running int
	peak    int
	waiters []chan struct{}
}

// acquire waits for a slot. It returns errCanceled if the context ends first.
func (l *slotLimiter) acquire(ctx context.Context) error {
	l.mu.Lock()
	if l.limit <= 0 || l.running < l.limit {
		l.addRunning()
		l.mu.Unlock()
		return nil
	}
	granted := make(chan struct{})
	l.waiters = append(l.waiters, granted)
	l.mu.Unlock()
	select {
	case <-granted:
		return nil
	case <-ctx.Done():
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, w := range l.waiters {
		if w == granted {
			l.waiters = append(l.waiters[:i], l.waiters[i+1:]...)
			return errCanceled
		}
	}
	// The slot was granted before the waiter could be removed.
	l.releaseLocked()
	return errCanceled
}

// release frees a slot, or passes it to the first waiting statement.
func (l *slotLimiter) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.releaseLocked()
}

func (l *slotLimiter) addRunning() {
	l.running++
	l.peak = max(l.peak, l.running)
}

// releaseLocked is like release. The caller must hold l.mu.
func (l *slotLimiter) releaseLocked() {
	if len(l.waiters) == 0 {
		l.running--
		return
	}
	close(l.waiters[0])
	l.waiters = l.waiters[1:]
}

func (l *slotLimiter) usage() (running, peak int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.running, l.peak
}
