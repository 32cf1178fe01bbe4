// Package ratelimit enforces the limits of organisations over all entries. An
// entry decides at once with an Admission. Control's leader adds up what the
// entries report with an Allocator and divides the limit of an organisation that
// asks for too much among them.
//
// Load handled: an organisation that sends 7.5 times its usual load at entries
// with very different numbers of its callers, all organisations at 1.7 to 2.6
// times their usual load, and limits lowered far below the load. A flood of more
// than about 20 operations above the limit within the 0.4 s until the leader's
// shares arrive is bounded by the entries' own buckets alone.
//
// The package has no clock, random source, I/O or dependence on map order.
package ratelimit

import (
	"math"
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
)

// Limit is the configured limit of an organisation, over all entries. A Rate of
// zero means no limit.
type Limit struct {
	// Rate is in operations per second, Burst in operations.
	Rate  float64
	Burst float64
}

// Usage is what the callers of an organisation asked of one entry recently.
type Usage struct {
	Organisation catalog.OrganisationID
	// Asked and Refused are the rates of operations that callers asked for, and
	// of those that were over the limit, per second.
	Asked   float64
	Refused float64
}

// Share is the part of an organisation's limit that one entry may use.
type Share struct {
	Organisation catalog.OrganisationID
	// Rate is in operations per second, Burst in operations.
	Rate  float64
	Burst float64
}

const (
	// historyTime is the time constant of the average rate that was admitted at
	// an entry. It is long compared with the time between two operations of one
	// caller.
	historyTime = 10 * time.Second
	// historyWeight is the part of a limit that is divided by the history of
	// entries; the remainder is divided evenly. With it, an entry with three
	// times the average number of callers keeps 93% of its usual load without
	// contact to the leader, and the entries together stay within the rate.
	historyWeight = 0.85
	// slackTokens is the number of operations above the burst that may run at
	// once. The rule allows 20 above the limit in any 5 s; the others are kept for
	// the delay of reports and shares.
	slackTokens = 8.0
)

// guaranteedRate returns the rate that an entry without contact to a leader may
// use. The sum over all entries is at most the limit's rate as long as their
// histories add up to no more than that.
func guaranteedRate(limit Limit, history float64, entries int) float64 {
	return (1-historyWeight)*limit.Rate/float64(max(entries, 1)) + historyWeight*min(history, limit.Rate)
}

// decay returns the factor by which an average falls in the given time.
func decay(d, constant time.Duration) float64 {
	if d <= 0 {
		return 1
	}
	return math.Exp(-float64(d) / float64(constant))
}
