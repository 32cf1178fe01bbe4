package upstream

import "container/list"

// MaxPreparedStatements is the most statements kept prepared on one connection.
const MaxPreparedStatements = 256

// StatementName names a statement prepared at an upstream.
type StatementName string

// PreparedStatements is the set of statements prepared on one connection, in the order
// of their last use.
type PreparedStatements struct {
	byLastUse *list.List
	elements  map[StatementName]*list.Element
}

func newPreparedStatements() *PreparedStatements {
	return &PreparedStatements{byLastUse: list.New(), elements: make(map[StatementName]*list.Element)}
}

// Touch reports whether the statement is there, and counts it as used.
func (p *PreparedStatements) Touch(n StatementName) bool {
	e, ok := p.elements[n]
	if ok {
		p.byLastUse.MoveToBack(e)
	}
	return ok
}

// Add notes that the upstream prepared the statement.
func (p *PreparedStatements) Add(n StatementName) {
	if !p.Touch(n) {
		p.elements[n] = p.byLastUse.PushBack(n)
	}
}

// Remove notes that the upstream closed the statement.
func (p *PreparedStatements) Remove(n StatementName) {
	if e, ok := p.elements[n]; ok {
		p.byLastUse.Remove(e)
		delete(p.elements, n)
	}
}

// EvictionCandidates returns the statements to close so that there is room for more, but
// none of those in use.
func (p *PreparedStatements) EvictionCandidates(additional int, used map[StatementName]bool) []StatementName {
	var out []StatementName
	excess := p.byLastUse.Len() + additional - MaxPreparedStatements
	for e := p.byLastUse.Front(); e != nil && len(out) < excess; e = e.Next() {
		if n := e.Value.(StatementName); !used[n] {
			out = append(out, n)
		}
	}
	return out
}
