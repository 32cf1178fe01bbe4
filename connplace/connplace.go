// Package connplace estimates how much organisations use connections to an
// upstream, and decides which connections are worth keeping. It is pure.
//
// It answers the load of an upstream that accepts fewer connections than there
// are organisations, each of which has connections of its own, where opening one
// occupies the upstream for as long as a short statement.
package connplace

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
)

const (
	// HalfLife is the time after which a use counts half. It is long enough to
	// see an organisation that sends a request every few seconds, and short
	// enough to follow one that stops.
	HalfLife = 10 * time.Second
	// MinUse is the number of uses per second from which an idle connection is
	// worth keeping. Below it, opening a connection of 12 ms for each use costs
	// less than 0.1% of a slot. A single use exceeds it for 5 s, so a place is
	// asked for before an organisation that has just begun sends its next request.
	MinUse = 0.05
	// maxOrganisations is the number of organisations whose uses are recorded.
	maxOrganisations = 1024
	// forgottenCount is the number of weighted uses below which an organisation
	// is forgotten: ten half-lives after a single use.
	forgottenCount = 1.0 / 1024
)

// Uses records how often organisations use connections to one upstream. The zero
// value is empty.
type Uses struct {
	counts map[catalog.OrganisationID]decayingCount
}

// decayingCount is a number of uses, each weighted by its age as of at.
type decayingCount struct {
	uses float64
	at   catalog.Instant
}

func (c decayingCount) usesAt(now catalog.Instant) float64 {
	return c.uses * math.Exp2(-float64(now.Sub(c.at))/float64(HalfLife))
}

// Record adds one use by an organisation.
func (u *Uses) Record(id catalog.OrganisationID, now catalog.Instant) {
	if u.counts == nil {
		u.counts = map[catalog.OrganisationID]decayingCount{}
	}
	c, ok := u.counts[id]
	if !ok && len(u.counts) >= maxOrganisations {
		u.forget(now)
	}
	u.counts[id] = decayingCount{uses: c.usesAt(now) + 1, at: now}
}

// forget removes the organisations without recent uses, and the one with the
// fewest if there is no such organisation.
func (u *Uses) forget(now catalog.Instant) {
	maps.DeleteFunc(u.counts, func(_ catalog.OrganisationID, c decayingCount) bool { return c.usesAt(now) < forgottenCount })
	if len(u.counts) < maxOrganisations {
		return
	}
	ids := slices.Sorted(maps.Keys(u.counts))
	delete(u.counts, slices.MinFunc(ids, func(a, b catalog.OrganisationID) int {
		return cmp.Compare(u.counts[a].usesAt(now), u.counts[b].usesAt(now))
	}))
}

// Rate returns an organisation's uses per second.
func (u *Uses) Rate(id catalog.OrganisationID, now catalog.Instant) float64 {
	return u.counts[id].usesAt(now) * math.Ln2 / HalfLife.Seconds()
}

// ExpectedUse returns how often per second an organisation is expected to use the
// nth of its connections, counted from one, if each use takes the time hold. It is
// the rate of requests that find the other n-1 connections in use, where the number
// in use follows a Poisson distribution.
func (u *Uses) ExpectedUse(id catalog.OrganisationID, nth int, hold time.Duration, now catalog.Instant) float64 {
	rate := u.Rate(id, now)
	load := rate * hold.Seconds()
	term, below := math.Exp(-load), 0.0
	for k := range nth - 1 {
		below += term
		term *= load / float64(k+1)
	}
	return rate * max(1-below, 0)
}

// Candidate is an idle connection that may be closed.
type Candidate struct {
	Conn         catalog.ConnID
	Organisation catalog.OrganisationID
	// Nth is the number of connections that the organisation has at the upstream
	// up to this one.
	Nth int
	// Reserved is set if the connection was opened for a request that has not run
	// yet.
	Reserved bool
	// IsNeeded is set if requests of the organisation wait. Tag is the lowest of their
	// tags of fair queueing.
	IsNeeded  bool
	Tag       float64
	IdleSince catalog.Instant
}

// SortByUse sorts idle connections by expected use, the lowest first. Those that are
// needed come after the others, the one with the highest tag first, and reserved ones
// come last. Of equal ones the one that is idle for longest comes first.
func (u *Uses) SortByUse(list []Candidate, hold time.Duration, now catalog.Instant) {
	use := make(map[catalog.ConnID]float64, len(list))
	for _, c := range list {
		use[c.Conn] = u.ExpectedUse(c.Organisation, c.Nth, hold, now)
	}
	slices.SortFunc(list, func(a, b Candidate) int {
		return cmp.Or(
			compareFlags(a.Reserved, b.Reserved), compareFlags(a.IsNeeded, b.IsNeeded), cmp.Compare(b.Tag, a.Tag),
			cmp.Compare(use[a.Conn], use[b.Conn]), cmp.Compare(a.IdleSince, b.IdleSince), cmp.Compare(a.Conn, b.Conn),
		)
	})
}

// compareFlags orders false before true.
func compareFlags(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}

// Wanted returns how many connections the organisations want: for each one as many
// as are worth keeping, but no more than most, and at least as many as inUse counts
// for it.
func (u *Uses) Wanted(inUse map[catalog.OrganisationID]int, most int, hold time.Duration, now catalog.Instant) int {
	total := 0
	for id, c := range u.counts {
		if c.usesAt(now) < forgottenCount {
			delete(u.counts, id)
			continue
		}
		n := 0
		for n < most && u.ExpectedUse(id, n+1, hold, now) >= MinUse {
			n++
		}
		total += max(n-inUse[id], 0)
	}
	for _, n := range inUse {
		total += n
	}
	return total
}

// Clone returns an independent copy.
func (u *Uses) Clone() Uses {
	return Uses{counts: maps.Clone(u.counts)}
}
