package upstream

import "container/list"

// MaxPreparedStatements is the most statements kept prepared on one connection.
const MaxPreparedStatements = 256

// StatementName names a statement prepared at an upstream.
type StatementName string

// PreparedStatements is the set of statements prepared on one connection, in the order
// of their last use.
type PreparedStatements struct {
	order *list.List
	known map[StatementName]*list.Element
}

func newPrepared() *PreparedStatements {
	return &PreparedStatements{order: list.New(), known: make(map[StatementName]*list.Element)}
}

// Touch reports whether the statement is there, and counts it as used.
func (p *PreparedStatements) Touch(n StatementName) bool {
	e, ok := p.known[n]
	if ok {
		p.order.MoveToBack(e)
	}
	return ok
}

// Add notes that the upstream prepared the statement.
func (p *PreparedStatements) Add(n StatementName) {
	if !p.Touch(n) {
		p.known[n] = p.order.PushBack(n)
	}
}

// Remove notes that the upstream closed the statement.
func (p *PreparedStatements) Remove(n StatementName) {
	if e, ok := p.known[n]; ok {
		p.order.Remove(e)
		delete(p.known, n)
	}
}

// EvictionCandidates returns the statements to close so that there is room for more, but
// none of those in use.
func (p *PreparedStatements) EvictionCandidates(more int, used map[StatementName]bool) []StatementName {
	var out []StatementName
	excess := p.order.Len() + more - MaxPreparedStatements
	for e := p.order.Front(); e != nil && len(out) < excess; e = e.Next() {
		if n := e.Value.(StatementName); !used[n] {
			out = append(out, n)
		}
	}
	return out
}
