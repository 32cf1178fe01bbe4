package catalog

// Position is a position in the log of a database group.
type Position struct {
	Term   Term   `cbor:"1,keyasint" json:"term"`
	Offset Offset `cbor:"2,keyasint" json:"offset"`
}

// IsZero reports whether p is the zero position, which precedes every other.
func (p Position) IsZero() bool {
	return p == Position{}
}

// Less reports whether p precedes q, ordered by term and then by offset. The
// order doesn't mean that the history up to q contains the history up to p;
// Forks.Covers checks that.
func (p Position) Less(q Position) bool {
	if p.Term != q.Term {
		return p.Term < q.Term
	}
	return p.Offset < q.Offset
}

// Fork is the point at which a new term diverged from the log of the term
// before it.
type Fork struct {
	// Term is the term that started at the fork.
	Term Term `cbor:"1,keyasint" json:"term"`
	// At is the last offset that Term shares with earlier terms.
	At Offset `cbor:"2,keyasint" json:"at"`
}

// Forks lists the known forks of one group.
//
// Invariant: sorted by ascending term, without duplicates.
type Forks []Fork

// Covers reports whether an upstream whose position is have holds every write
// up to want that is still part of the group's history. Writes of an older term
// beyond a fork are no longer part of it, so Covers limits the offset of want
// to the forks after its term, up to the term of have.
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

// Includes reports whether a log that ends at p is part of the group's history. A log
// that goes beyond the fork of a later term holds writes that no longer are.
func (f Forks) Includes(p Position) bool {
	return f.Clip(p) == p
}

// Clip limits the offset of p to the forks after its term. The resulting offset
// can be compared with that of an upstream in the newest term.
func (f Forks) Clip(p Position) Position {
	for _, k := range f {
		if k.Term > p.Term && k.At < p.Offset {
			p.Offset = k.At
		}
	}
	return p
}

// With returns the list with k inserted in order of terms, or f itself if it
// already has a fork of that term.
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
