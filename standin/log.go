package standin

import (
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
)

// recordOverheadBytes is what a record takes in the log beside its changes, in bytes.
const recordOverheadBytes = 32

// change is one row written or deleted.
type change struct {
	Table   string `json:"table"`
	Key     string `json:"key"`
	Value   string `json:"value,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
}

// record is one committed transaction in the log.
type record struct {
	// EndOffset is the offset after the record.
	EndOffset catalog.Offset `json:"end"`
	// CommitUnixNano is when it was committed, in nanoseconds since 1970.
	CommitUnixNano int64    `json:"at"`
	Changes        []change `json:"changes"`
}

func changesSize(changes []change) catalog.Offset {
	n := recordOverheadBytes
	for _, c := range changes {
		n += len(c.Table) + len(c.Key) + len(c.Value) + 3
	}
	return catalog.Offset(n)
}

// timeline is one term's part of the history.
type timeline struct {
	Term catalog.Term `json:"term"`
	// StartOffset is the offset where the term begins.
	StartOffset catalog.Offset `json:"at"`
	// ID tells apart two histories that use the same number for a term.
	ID string `json:"id"`
}

// findFork returns the offset up to which two histories agree. It reports false
// if neither has left the other, and behind if theirs is the start of mine.
func findFork(local, remote []timeline) (at catalog.Offset, cut, behind bool) {
	n := 0
	for n < len(local) && n < len(remote) && local[n].ID == remote[n].ID {
		n++
	}
	if n == len(local) {
		if n == len(remote) || n == 0 {
			return 0, false, false
		}
		return remote[n].StartOffset, true, false
	}
	if n == len(remote) {
		return 0, false, true
	}
	return min(local[n].StartOffset, remote[n].StartOffset), true, false
}

func unixNano() int64 {
	return time.Now().UnixNano()
}
