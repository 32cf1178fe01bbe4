package quorum

import "slices"

// memoryLog is the copy of the log in memory.
type memoryLog struct {
	snapshot Snapshot
	// records follow the snapshot. Invariant: the indices are consecutive, and
	// returned records are never overwritten.
	records []Record
}

func (h *memoryLog) lastIndex() Index {
	return h.snapshot.Index + Index(len(h.records))
}

// ballotAt returns the ballot of a record, and false if the log does not hold
// the record.
func (h *memoryLog) ballotAt(i Index) (Ballot, bool) {
	if i == h.snapshot.Index {
		return h.snapshot.Ballot, true
	}
	if i < h.snapshot.Index || i > h.lastIndex() {
		return 0, false
	}
	return h.records[i-h.snapshot.Index-1].Ballot, true
}

func (h *memoryLog) lastBallot() Ballot {
	b, _ := h.ballotAt(h.lastIndex())
	return b
}

// recordsBetween returns the records after a, up to and including b.
func (h *memoryLog) recordsBetween(a, b Index) []Record {
	if b <= a {
		return nil
	}
	return slices.Clone(h.records[a-h.snapshot.Index : b-h.snapshot.Index])
}

// nextBatch returns the records for the next append message: at least one, if
// the log has any from that index on.
func (h *memoryLog) nextBatch(from Index) []Record {
	start := int(from - h.snapshot.Index - 1)
	end, size := start, 0
	for end < len(h.records) && end-start < maxBatchRecords {
		size += len(h.records[end].Data)
		if end > start && size > maxBatchBytes {
			break
		}
		end++
	}
	return h.records[start:end]
}

// truncateFrom deletes the records from an index on.
func (h *memoryLog) truncateFrom(from Index) {
	n := from - h.snapshot.Index - 1
	h.records = h.records[:n:n]
}

// compact replaces the records up to the snapshot's index by the snapshot.
func (h *memoryLog) compact(s Snapshot) {
	h.records = slices.Clone(h.records[s.Index-h.snapshot.Index:])
	h.snapshot = s
}

// membersAt returns the list of members in force at an index, and the index of
// its record.
func (h *memoryLog) membersAt(i Index) ([]Member, Index) {
	for n := int(i - h.snapshot.Index); n > 0; n-- {
		if r := h.records[n-1]; len(r.Members) > 0 {
			return slices.Clone(r.Members), r.Index
		}
	}
	return slices.Clone(h.snapshot.Members), h.snapshot.Index
}

// lastPossibleMatch returns the last record, not after hint, whose ballot is
// not later than the given one. Another log that has this ballot at hint can't
// match any record after the returned one.
func (h *memoryLog) lastPossibleMatch(hint Index, ballot Ballot) Index {
	i := min(hint, h.lastIndex())
	for i > h.snapshot.Index {
		if b, _ := h.ballotAt(i); b <= ballot {
			return i
		}
		i--
	}
	if i == h.snapshot.Index && i > 0 && h.snapshot.Ballot > ballot {
		return i - 1
	}
	return i
}

// isUpToDate reports whether a log that ends with this index and ballot holds
// every record of this log that may be committed.
func (h *memoryLog) isUpToDate(last Index, ballot Ballot) bool {
	if ballot != h.lastBallot() {
		return ballot > h.lastBallot()
	}
	return last >= h.lastIndex()
}
