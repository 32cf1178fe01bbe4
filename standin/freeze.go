package standin

import "sync"

// freezeSwitch holds back all work of a frozen instance.
type freezeSwitch struct {
	mu      sync.Mutex
	thawed  chan struct{}
	stopped chan struct{}
}

func newFreezeSwitch() *freezeSwitch {
	return &freezeSwitch{stopped: make(chan struct{})}
}

// setFrozen shuts or opens the gate.
func (g *freezeSwitch) setFrozen(frozen bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if frozen && g.thawed == nil {
		g.thawed = make(chan struct{})
	}
	if !frozen && g.thawed != nil {
		close(g.thawed)
		g.thawed = nil
	}
}

// waitThawed waits until the gate is open or the instance has stopped.
func (g *freezeSwitch) waitThawed() {
	for {
		g.mu.Lock()
		shut := g.thawed
		g.mu.Unlock()
		if shut == nil {
			return
		}
		select {
		case <-shut:
		case <-g.stopped:
			return
		}
	}
}
