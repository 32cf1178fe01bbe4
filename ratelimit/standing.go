package ratelimit

import (
	"maps"
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
)

// Basis says which rate limits an organisation at an entry.
type Basis string

// Bases.
const (
	// BasisShare is the share that the leader assigned.
	BasisShare Basis = "share"
	// BasisOpen is the rate of an entry that has contact to a leader and no share.
	BasisOpen Basis = "open"
	// BasisIsolated is the guaranteed rate of an entry without contact.
	BasisIsolated Basis = "isolated"
)

// Standing is the state that decides on an organisation's next operation at an
// entry.
type Standing struct {
	Basis Basis `json:"basis"`
	// Rate is the rate, in operations per second, at which tokens are added.
	Rate float64 `json:"rate"`
	// Tokens is the number of tokens left. The next operation needs Needed.
	Tokens float64 `json:"tokens"`
	Needed float64 `json:"needed"`
	// ShareLeft is the remaining time of the share, zero without one.
	ShareLeft time.Duration `json:"share-left,omitempty"`
}

// Clone returns an independent copy.
func (a *Admission) Clone() *Admission {
	if a == nil {
		return nil
	}
	out := *a
	out.organisations = maps.Clone(a.organisations)
	for id, o := range out.organisations {
		copied := *o
		out.organisations[id] = &copied
	}
	return &out
}

// Standing returns the state of an organisation. It changes nothing.
func (a *Admission) Standing(now catalog.Instant, id catalog.OrganisationID, limit Limit) Standing {
	c := *a
	c.organisations = map[catalog.OrganisationID]*admitted{}
	if o := a.organisations[id]; o != nil {
		copied := *o
		c.organisations[id] = &copied
	}
	o := c.organisation(now, id, limit, 1)
	b, rate, needed := c.refill(now, o)
	s := Standing{Basis: BasisOpen, Rate: rate, Tokens: b.tokens, Needed: needed}
	switch {
	case now.Before(o.shareUntil):
		s.Basis, s.ShareLeft = BasisShare, o.shareUntil.Sub(now)
	case b == &o.isolated:
		s.Basis = BasisIsolated
	}
	return s
}
