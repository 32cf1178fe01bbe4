package catalog

// Position is a place in the history of a database group.
type Position struct {
	Term   Term   `cbor:"1,keyasint" json:"term"`
	Offset Offset `cbor:"2,keyasint" json:"offset"`
}

// Zero reports whether the position is before all history.
func (p Position) IsZero() bool {
	return p == Position{}
}

// Less orders positions by term, then by offset. It says nothing about whether
// one history contains the other; for that see Forks.Covers.
func (p Position) Less(q Position) bool {
	if p.Term != q.Term {
		return p.Term < q.Term
	}
	return p.Offset < q.Offset
}

// Fork says where a term left the history of the term before it.
type Fork struct {
	// Term is the term that began at the fork.
	Term Term `cbor:"1,keyasint" json:"term"`
	// At is the last offset that Term shares with the terms before it.
	At Offset `cbor:"2,keyasint" json:"at"`
}

// Forks lists the known forks of one group.
//
// Invariant: terms ascend.
type Forks []Fork

// Covers reports whether an upstream at position have holds everything that
// survives of the history up to want. Writes of an older term past a fork are
// lost to the group, so want is cut back to the forks between the two terms.
func (f Forks) Covers(have, want Position) bool {
	if want.IsZero() {
		return true
	}
	if have.Term < want.Term {
		return false
	}
	offset := want.Offset
	for _, k := range f {
		if k.Term > want.Term && k.Term <= have.Term && k.At < offset {
			offset = k.At
		}
	}
	return have.Offset >= offset
}

// Clip cuts a position back to what survives of its history, so that an
// upstream of the newest term can be asked whether it holds that.
func (f Forks) Clip(p Position) Position {
	for _, k := range f {
		if k.Term > p.Term && k.At < p.Offset {
			p.Offset = k.At
		}
	}
	return p
}

// With returns the list with one more fork, or unchanged if its term is known.
func (f Forks) With(k Fork) Forks {
	for i, have := range f {
		if have.Term == k.Term {
			return f
		}
		if have.Term > k.Term {
			out := append(Forks{}, f[:i]...)
			out = append(out, k)
			return append(out, f[i:]...)
		}
	}
	return append(append(Forks{}, f...), k)
}
