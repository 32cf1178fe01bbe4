package upstream

import "container/list"

// MaxPreparedStatements is the maximum number of prepared statements kept on one
// connection.
const MaxPreparedStatements = 256

// StatementName is the name of a statement prepared at an upstream.
type StatementName string

// PreparedStatements is the set of statements prepared on one connection, in the
// order of their last use.
type PreparedStatements struct {
	byLastUse *list.List
	elements  map[StatementName]*list.Element
}

func newPreparedStatements() *PreparedStatements {
	return &PreparedStatements{byLastUse: list.New(), elements: make(map[StatementName]*list.Element)}
}

// Touch reports whether the statement is prepared, and if so marks it as the
// most recently used.
func (p *PreparedStatements) Touch(n StatementName) bool {
	e, ok := p.elements[n]
	if ok {
		p.byLastUse.MoveToBack(e)
	}
	return ok
}

// Add records that the upstream prepared the statement, as the most recently
// used.
func (p *PreparedStatements) Add(n StatementName) {
	if !p.Touch(n) {
		p.elements[n] = p.byLastUse.PushBack(n)
	}
}

// Remove records that the upstream closed the statement.
func (p *PreparedStatements) Remove(n StatementName) {
	if e, ok := p.elements[n]; ok {
		p.byLastUse.Remove(e)
		delete(p.elements, n)
	}
}

// EvictionCandidates returns the least recently used statements that must be
// closed to make room for additional ones. It returns none of those in used, so
// it may return too few.
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
