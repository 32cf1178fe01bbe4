package standin

import "sync"

// freezeSwitch suspends all work of a frozen instance.
type freezeSwitch struct {
	mu sync.Mutex
	// thawed is closed when the instance is unfrozen. It is nil unless the
	// instance is frozen.
	thawed chan struct{}
	// stopped is closed when the instance stops.
	stopped chan struct{}
}

func newFreezeSwitch() *freezeSwitch {
	return &freezeSwitch{stopped: make(chan struct{})}
}

// setFrozen freezes or unfreezes the instance.
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

// waitThawed blocks while the instance is frozen and has not been stopped.
func (g *freezeSwitch) waitThawed() {
	for {
		g.mu.Lock()
		thawed := g.thawed
		g.mu.Unlock()
		if thawed == nil {
			return
		}
		select {
		case <-thawed:
		case <-g.stopped:
			return
		}
	}
}
