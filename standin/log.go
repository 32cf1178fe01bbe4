package standin

import (
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
)

// recordOverheadBytes is the size of a record in the log without its changes.
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
	// EndOffset is the offset in the log where the record ends.
	EndOffset catalog.Offset `json:"end"`
	// CommitUnixNano is the time of the commit in nanoseconds since 1970.
	CommitUnixNano int64    `json:"at"`
	Changes        []change `json:"changes"`
}

// recordSize returns the size in bytes of a record with the given changes.
func recordSize(changes []change) catalog.Offset {
	n := recordOverheadBytes
	for _, c := range changes {
		n += len(c.Table) + len(c.Key) + len(c.Value) + 3
	}
	return catalog.Offset(n)
}

// timeline is the part of the history that was written in one term.
type timeline struct {
	Term catalog.Term `json:"term"`
	// StartOffset is the offset in the log where the term begins.
	StartOffset catalog.Offset `json:"at"`
	// ID distinguishes timelines of different histories that have the same
	// term.
	ID string `json:"id"`
}

// findFork compares the histories of two instances. If cut is true, they agree
// only up to the offset at, and the local log must be truncated there. If behind
// is true, remote is a proper prefix of local.
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
