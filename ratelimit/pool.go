package ratelimit

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
)

const (
	// targetRate is the part of a limit's rate that all entries together may use.
	// The tenth by which 5 s may exceed the limit is for what is admitted before
	// shares arrive.
	targetRate = 1.0
	// usableRate is the part of the target that is divided among entries. The
	// remainder is for entries whose demand is not known yet.
	usableRate = 0.97
	// usableByNewLeader replaces usableRate while the shares of an earlier leader
	// may be valid. A new leader does not know what exceeded the limit before.
	usableByNewLeader = 0.75
	// limitAbove is the part of the rate that demand must exceed to be limited.
	limitAbove = 0.9
	// unreservedRate is the part of the rate up to which entries that do not
	// report get no reserve, so that the restart of some entries takes nothing
	// from the others. It is within the tenth by which 5 s may exceed the limit.
	unreservedRate = 0.04
	// reactionTime is how long it takes from a change of demand until all
	// entries have a share: two report intervals.
	reactionTime = 400 * time.Millisecond
	// balanceTime is the time within which tokens left in the ledger are handed
	// out, or a debt is repaid.
	balanceTime = 2 * time.Second
	// minRate is the part of the rate that is divided even with a debt.
	minRate = 0.05
	// calmBelow is the part of the rate below which the average demand must fall
	// before the limiting of an organisation ends.
	calmBelow = 0.9
	// calmTime is how long demand must be below the limit before the limiting
	// of an organisation ends.
	calmTime = 2 * time.Second
	// minEvenDemand is the lowest demand that an entry is assumed to have, in
	// parts of an even share.
	minEvenDemand = 0.1
	// divideFraction is the part of an organisation's entries, as its reciprocal,
	// after whose reports the limit is divided again. The work for each report
	// then doesn't depend on the number of entries.
	divideFraction = 4
)

// pool is the leader's state of one organisation.
type pool struct {
	id    catalog.OrganisationID
	limit Limit
	// ledger holds the operations that may still be admitted. A negative number
	// is a debt.
	ledger bucket
	// records are sorted by entry.
	records []*record
	// asked and average are the sums over the entries that report. Invariant:
	// they are exact, up to rounding, after each division.
	asked, average float64
	// reserve is the rate of entries that do not report and still admit
	// operations.
	reserve float64
	// factor and level describe the shares: an entry gets its demand times
	// factor, at most level.
	factor, level float64
	sinceDivided  int
	isLimited     bool
	// calmSince is since when an organisation that is limited has been asking
	// for less than its limit, zero if it has not.
	calmSince catalog.Instant
	demands   []float64
}

// depth returns the number of operations that may be admitted at once.
func (p *pool) depth() float64 {
	return p.limit.Burst + slackTokens
}

// rate returns the rate that the entries in contact may use.
func (p *pool) rate() float64 {
	return max(targetRate*p.limit.Rate-p.reserve, minRate*p.limit.Rate)
}

// isScarce reports whether one operation at each entry would exceed the limit.
func (p *pool) isScarce(entries int) bool {
	return float64(entries) > p.depth()+p.limit.Rate/2
}

func (p *pool) refill(now catalog.Instant) {
	p.ledger.refill(now, p.rate(), p.depth())
}

func (p *pool) find(entry catalog.VMID) (int, bool) {
	return slices.BinarySearchFunc(p.records, entry, func(r *record, vm catalog.VMID) int { return cmp.Compare(r.entry, vm) })
}

// updateLimited decides whether the organisation is limited. It reports whether
// that has changed.
func (p *pool) updateLimited(now catalog.Instant) bool {
	if !p.isLimited {
		// The tokens left must last until the shares take effect. The standard
		// deviation of a rate measured over meterTime is subtracted, so that
		// chance does not start the limiting of an organisation with little load.
		sure := p.asked - math.Sqrt(max(p.asked, 0)/(2*meterTime.Seconds()))
		needed := max(sure-p.rate(), 0)*reactionTime.Seconds() + p.depth()/4
		p.isLimited = p.asked >= limitAbove*p.rate() && p.ledger.tokens <= needed
		p.calmSince = 0
		return p.isLimited
	}
	if p.average >= calmBelow*p.rate() || p.ledger.tokens < p.depth()/2 {
		p.calmSince = 0
		return false
	}
	if p.calmSince == 0 {
		p.calmSince = now
	}
	p.isLimited = now.Sub(p.calmSince) < calmTime
	return !p.isLimited
}

// demand returns the rate that an entry is assumed to ask for.
func (p *pool) demand(r *record, entries int) float64 {
	return max(r.asked, r.average, minEvenDemand*p.limit.Rate/float64(entries))
}

// shareOf returns the rate of an entry.
func (p *pool) shareOf(r *record, entries int) float64 {
	return min(p.demand(r, entries)*p.factor, p.level)
}

// divide computes the shares of all entries by max-min fairness over their
// demands. If the demands are below what is available, the remainder is divided
// in proportion to them.
func (p *pool) divide(now catalog.Instant, a *Allocator) {
	p.sinceDivided = 0
	p.asked, p.average, p.reserve = 0, 0, 0
	p.demands = p.demands[:0]
	sum := 0.0
	for _, r := range p.records {
		silence := now.Sub(r.usage.reportedAt)
		if silence > staleIntervals*a.options.ReportInterval {
			r.isStale = true
			p.reserve += a.reserveFor(now, r, silence)
			continue
		}
		p.asked += r.asked
		p.average += r.average
		d := p.demand(r, a.entryCount)
		p.demands = append(p.demands, d)
		sum += d
	}
	if now.Sub(a.ledSince) > staleIntervals*a.options.ReportInterval {
		p.reserve += p.limit.Rate * float64(a.unheardCount) / float64(a.entryCount)
	}
	p.reserve = max(p.reserve-unreservedRate*p.limit.Rate, 0)
	usable := usableRate
	if a.mayOverlap(now) {
		usable = usableByNewLeader
	}
	available := max(usable*p.rate()+p.ledger.tokens/balanceTime.Seconds(), minRate*p.rate())
	p.factor, p.level = 1, available
	if sum <= available {
		if sum > 0 {
			p.factor = available / sum
		}
		return
	}
	slices.Sort(p.demands)
	left := available
	for n, d := range p.demands {
		p.level = left / float64(len(p.demands)-n)
		if d >= p.level {
			return
		}
		left -= d
	}
}

// reserveFor returns the rate at which an entry that does not report may still
// admit operations: its share until that has expired, then its guaranteed rate.
func (a *Allocator) reserveFor(now catalog.Instant, r *record, silence time.Duration) float64 {
	if silence > absenceTime {
		return 0
	}
	if r.share > 0 && now.Sub(r.sentAt) < a.options.ShareLength {
		return r.share
	}
	return guaranteedRate(r.pool.limit, r.history, a.entryCount)
}
