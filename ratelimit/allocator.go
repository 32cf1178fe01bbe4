package ratelimit

import (
	"cmp"
	"slices"
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
)

const (
	// staleIntervals is the number of report intervals after which the demand of
	// an entry that does not report is dropped.
	staleIntervals = 5
	// demandTime is the time constant of the demand of an entry whose callers
	// send single operations.
	demandTime = 3 * time.Second
	// minDemand is the demand below which an entry is forgotten, in operations
	// per second, unless the organisation is limited.
	minDemand = 0.01
	// maxDebtTime limits how many operations above the limit are subtracted from
	// later shares, in seconds of the limit's rate.
	maxDebtTime = 2.0
	// absenceTime is how long an entry that does not report may use its guaranteed
	// rate. After that this rate goes to the others.
	absenceTime = time.Minute
)

// Options configures an Allocator.
type Options struct {
	// ReportInterval is the time between two reports of an entry.
	ReportInterval time.Duration
	// ShareLength is how long a share is valid.
	ShareLength time.Duration
}

// Allocator is the leader's record of all organisations with work. The leader
// holds a token bucket for each, from which it subtracts what entries report as
// admitted.
type Allocator struct {
	options Options
	// ledSince is when the leader was elected.
	ledSince catalog.Instant
	// hasPredecessor is set once an entry was found that has been in contact with
	// an earlier leader.
	hasPredecessor bool
	pools          map[catalog.OrganisationID]*pool
	entries        map[catalog.VMID]*entryUsage
	// entryCount is the number of entries of the system, and unheardCount that of
	// those that have not reported to this leader.
	entryCount, unheardCount int
	changes                  []Change
	// scarce holds the organisations that are limited and whose limit is so low
	// that one operation at each entry would exceed it. They are sorted.
	scarce []*pool
}

// Change says that the leader begins or ceases to limit an organisation.
type Change struct {
	Organisation catalog.OrganisationID
	Limited      bool
}

// entryUsage lists the records of an entry, sorted by organisation.
type entryUsage struct {
	reportedAt catalog.Instant
	records    []*record
}

// record is the use of one organisation at one entry.
type record struct {
	pool  *pool
	entry catalog.VMID
	usage *entryUsage
	// asked is the rate of the last report, average that over demandTime, and
	// history the admitted rate over historyTime.
	asked, average, history float64
	isReported, isStale     bool
	// share is the rate that was sent last, at sentAt. It is zero before.
	share  float64
	sentAt catalog.Instant
}

// NewAllocator returns the state of a leader that was elected at now.
func NewAllocator(o Options, now catalog.Instant) *Allocator {
	return &Allocator{
		options: o, ledSince: now, entryCount: 1,
		pools: map[catalog.OrganisationID]*pool{}, entries: map[catalog.VMID]*entryUsage{},
	}
}

// SetEntryCount sets the number of entries of the system, and of those that have
// not reported to this leader. They may be cut off and still admit operations.
func (a *Allocator) SetEntryCount(entries, unheard int) {
	a.entryCount, a.unheardCount = max(entries, 1), unheard
}

// Report records what an entry reported. The function limit returns the limit of
// an organisation, with a rate of zero if it has none.
func (a *Allocator) Report(now catalog.Instant, entry catalog.VMID, usage []Usage, limit func(catalog.OrganisationID) Limit) {
	u := a.entries[entry]
	if u == nil {
		if len(usage) == 0 && len(a.scarce) == 0 {
			return
		}
		u = &entryUsage{reportedAt: now.Add(-a.options.ReportInterval)}
		a.entries[entry] = u
	}
	// What an entry did in a longer gap is not known from one rate. It may have
	// restarted.
	elapsed := min(now.Sub(u.reportedAt), 2*a.options.ReportInterval)
	u.reportedAt = now
	for _, v := range usage {
		if l := limit(v.Organisation); l.Rate > 0 {
			r := a.record(now, entry, u, v.Organisation, l)
			r.isReported = true
			a.update(now, r, v, l, elapsed)
		}
	}
	kept := u.records[:0]
	for _, r := range u.records {
		if !r.isReported {
			a.update(now, r, Usage{Organisation: r.pool.id}, limit(r.pool.id), elapsed)
		}
		r.isReported = false
		if r.average < minDemand && !r.pool.isLimited || r.pool.limit.Rate <= 0 {
			a.drop(r)
			continue
		}
		kept = append(kept, r)
	}
	clear(u.records[len(kept):])
	u.records = kept
}

// record returns the record of an organisation at an entry.
func (a *Allocator) record(now catalog.Instant, entry catalog.VMID, u *entryUsage, id catalog.OrganisationID, l Limit) *record {
	n, ok := slices.BinarySearchFunc(u.records, id, func(r *record, id catalog.OrganisationID) int { return cmp.Compare(r.pool.id, id) })
	if ok {
		return u.records[n]
	}
	p := a.pools[id]
	if p == nil {
		p = &pool{id: id, limit: l}
		p.ledger = bucket{tokens: p.depth(), at: now}
		if a.mayOverlap(now) {
			// It is not known what was admitted under the last leader.
			p.ledger.tokens /= 2
		}
		a.pools[id] = p
	}
	r := &record{pool: p, entry: entry, usage: u}
	u.records = slices.Insert(u.records, n, r)
	at, _ := p.find(entry)
	p.records = slices.Insert(p.records, at, r)
	return r
}

// mayOverlap reports whether shares of an earlier leader may still be valid. After
// the restart of all entries none is.
func (a *Allocator) mayOverlap(now catalog.Instant) bool {
	return a.hasPredecessor && now.Sub(a.ledSince) < a.options.ShareLength
}

// SetPredecessor records that an entry has been in contact with an earlier leader.
func (a *Allocator) SetPredecessor() {
	a.hasPredecessor = true
}

// update applies the last report of an entry to the record of an organisation.
func (a *Allocator) update(now catalog.Instant, r *record, v Usage, l Limit, elapsed time.Duration) {
	p := r.pool
	p.limit = l
	if l.Rate <= 0 {
		return
	}
	admitted := max(v.Asked-v.Refused, 0)
	p.refill(now)
	p.ledger.tokens = max(p.ledger.tokens-admitted*elapsed.Seconds(), -maxDebtTime*l.Rate-slackTokens)
	if r.isStale {
		r.isStale = false
		r.asked, r.average = 0, 0
		p.sinceDivided = len(p.records)
	}
	p.asked += v.Asked - r.asked
	r.asked = v.Asked
	k := decay(elapsed, demandTime)
	p.average -= r.average
	r.average = k*r.average + (1-k)*v.Asked
	p.average += r.average
	k = decay(elapsed, historyTime)
	r.history = k*r.history + (1-k)*admitted
	p.sinceDivided++
	if p.sinceDivided*divideFraction >= len(p.records) {
		p.divide(now, a)
	}
	if p.updateLimited(now) {
		a.recordChange(p)
	}
}

// recordChange records that an organisation became limited or ceased to be.
func (a *Allocator) recordChange(p *pool) {
	a.changes = append(a.changes, Change{Organisation: p.id, Limited: p.isLimited})
	n, ok := slices.BinarySearchFunc(a.scarce, p.id, func(q *pool, id catalog.OrganisationID) int { return cmp.Compare(q.id, id) })
	switch {
	case ok && !p.isLimited:
		a.scarce = slices.Delete(a.scarce, n, n+1)
	case !ok && p.isLimited && p.isScarce(a.entryCount):
		a.scarce = slices.Insert(a.scarce, n, p)
	}
}

// drop removes a record from its pool, and the pool if it has no other.
func (a *Allocator) drop(r *record) {
	p := r.pool
	if n, ok := p.find(r.entry); ok {
		p.records = slices.Delete(p.records, n, n+1)
	}
	if len(p.records) > 0 {
		return
	}
	if p.isLimited {
		p.isLimited = false
		a.recordChange(p)
	}
	delete(a.pools, p.id)
}

// Forget drops all that is known of an entry.
func (a *Allocator) Forget(entry catalog.VMID) {
	u := a.entries[entry]
	if u == nil {
		return
	}
	delete(a.entries, entry)
	for _, r := range u.records {
		a.drop(r)
	}
}

// DropShares records that an entry has lost its shares in a restart.
func (a *Allocator) DropShares(entry catalog.VMID) {
	if u := a.entries[entry]; u != nil {
		for _, r := range u.records {
			r.share, r.sentAt = 0, 0
		}
	}
}

// Changes returns the organisations that became limited or ceased to be since
// the last call.
func (a *Allocator) Changes() []Change {
	out := a.changes
	a.changes = nil
	return out
}

// IsLimited reports whether an organisation is limited now.
func (a *Allocator) IsLimited(id catalog.OrganisationID) bool {
	p := a.pools[id]
	return p != nil && p.isLimited
}
