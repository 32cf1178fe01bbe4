package standin

import (
	"sync"
	"sync/atomic"

	"github.com/kingcupknot/kingcupknot/catalog"
)

// statistics counts what an instance saw.
type statistics struct {
	refused    atomic.Uint64
	mu         sync.Mutex
	connsMost  int
	statements map[string]uint64
}

func (t *statistics) highest(conns int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.connsMost = max(t.connsMost, conns)
}

func (t *statistics) ran(kind string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.statements == nil {
		t.statements = map[string]uint64{}
	}
	t.statements[kind]++
}

// Stats is what GET /stats answers.
type Stats struct {
	Role               string            `json:"role"`
	Term               catalog.Term      `json:"term"`
	Offset             catalog.Offset    `json:"offset"`
	Connections        int               `json:"connections"`
	ConnectionsHighest int               `json:"connections-highest"`
	Executing          int               `json:"executing"`
	ExecutingHighest   int               `json:"executing-highest"`
	Statements         map[string]uint64 `json:"statements"`
	// Refused counts connections over the limit.
	RefusedConnections uint64 `json:"refused"`
	Leaving            bool   `json:"leaving"`
}

// Stats returns the present counts.
func (s *Server) Stats() Stats {
	role, p := s.store.status()
	out := Stats{
		Role: role.String(), Term: p.Term, Offset: p.Offset,
		RefusedConnections: s.stats.refused.Load(), Leaving: s.leaving.Load(),
		Statements: map[string]uint64{},
	}
	out.Executing, out.ExecutingHighest = s.slots.peak()
	s.mu.Lock()
	out.Connections = s.clients()
	s.mu.Unlock()
	s.stats.mu.Lock()
	defer s.stats.mu.Unlock()
	out.ConnectionsHighest = s.stats.connsMost
	for k, n := range s.stats.statements {
		out.Statements[k] = n
	}
	return out
}
