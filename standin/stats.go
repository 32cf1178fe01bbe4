package standin

import (
	"sync"
	"sync/atomic"

	"github.com/kingcupknot/kingcupknot/catalog"
)

// statistics counts the connections and statements of an instance.
type statistics struct {
	refusedConnections atomic.Uint64
	mu                 sync.Mutex
	peakConnections    int
	statements         map[string]uint64
}

func (t *statistics) recordConnections(conns int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.peakConnections = max(t.peakConnections, conns)
}

func (t *statistics) countStatement(kind string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.statements == nil {
		t.statements = map[string]uint64{}
	}
	t.statements[kind]++
}

// Stats is the response to GET /stats.
type Stats struct {
	Role            string            `json:"role"`
	Term            catalog.Term      `json:"term"`
	Offset          catalog.Offset    `json:"offset"`
	Connections     int               `json:"connections"`
	PeakConnections int               `json:"connections-highest"`
	Executing       int               `json:"executing"`
	PeakExecuting   int               `json:"executing-highest"`
	Statements      map[string]uint64 `json:"statements"`
	// RefusedConnections counts the connections refused because of the limit.
	RefusedConnections uint64 `json:"refused"`
	Leaving            bool   `json:"leaving"`
}

// Stats returns the current state and counts of the instance.
func (s *Server) Stats() Stats {
	role, p := s.store.status()
	out := Stats{
		Role: role.String(), Term: p.Term, Offset: p.Offset,
		RefusedConnections: s.stats.refusedConnections.Load(), Leaving: s.leaving.Load(),
		Statements: map[string]uint64{},
	}
	out.Executing, out.PeakExecuting = s.slots.usage()
	s.mu.Lock()
	out.Connections = s.clientCount()
	s.mu.Unlock()
	s.stats.mu.Lock()
	defer s.stats.mu.Unlock()
	out.PeakConnections = s.stats.peakConnections
	for k, n := range s.stats.statements {
		out.Statements[k] = n
	}
	return out
}
