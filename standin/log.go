package standin

import (
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
)

// recordHeader is what a record takes in the log beside its changes, in bytes.
const recordHeader = 32

// change is one row written or deleted.
type change struct {
	Table   string `json:"table"`
	Key     string `json:"key"`
	Value   string `json:"value,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
}

// record is one committed transaction in the log.
type record struct {
	// End is the offset after the record.
	End catalog.Offset `json:"end"`
	// At is when it was committed, in nanoseconds since 1970.
	CommitUnixNano int64    `json:"at"`
	Changes        []change `json:"changes"`
}

func size(changes []change) catalog.Offset {
	n := recordHeader
	for _, c := range changes {
		n += len(c.Table) + len(c.Key) + len(c.Value) + 3
	}
	return catalog.Offset(n)
}

// era is one term's part of the history.
type era struct {
	Term catalog.Term `json:"term"`
	// At is the offset where the term begins.
	StartOffset catalog.Offset `json:"at"`
	// ID tells apart two histories that use the same number for a term.
	ID string `json:"id"`
}

// parted returns the offset up to which two histories agree. It reports false
// if neither has left the other, and behind if theirs is the start of mine.
func parted(mine, theirs []era) (at catalog.Offset, cut, behind bool) {
	n := 0
	for n < len(mine) && n < len(theirs) && mine[n].ID == theirs[n].ID {
		n++
	}
	if n == len(mine) {
		if n == len(theirs) || n == 0 {
			return 0, false, false
		}
		return theirs[n].StartOffset, true, false
	}
	if n == len(theirs) {
		return 0, false, true
	}
	return min(mine[n].StartOffset, theirs[n].StartOffset), true, false
}

func now() int64 {
	return time.Now().UnixNano()
}
