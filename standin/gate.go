package standin

import "sync"

// gate holds back all work of a frozen instance.
type gate struct {
	mu   sync.Mutex
	shut chan struct{}
	done chan struct{}
}

func newGate() *gate {
	return &gate{done: make(chan struct{})}
}

// set shuts or opens the gate.
func (g *gate) set(frozen bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if frozen && g.shut == nil {
		g.shut = make(chan struct{})
	}
	if !frozen && g.shut != nil {
		close(g.shut)
		g.shut = nil
	}
}

// pass waits until the gate is open or the instance has stopped.
func (g *gate) pass() {
	for {
		g.mu.Lock()
		shut := g.shut
		g.mu.Unlock()
		if shut == nil {
			return
		}
		select {
		case <-shut:
		case <-g.done:
			return
		}
	}
}
