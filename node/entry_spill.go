package node

import (
	"strconv"
	"time"

	"github.com/kingcupknot/kingcupknot/balance"
)

const (
	// spillLogStep is the change of the fraction that is logged, at most once in
	// spillLogInterval.
	spillLogStep     = 0.25
	spillLogInterval = time.Second
)

// siteCost returns the cost of an upstream for a read with BalanceSites: the time
// that the read is expected to take there, for each request that would then run.
func (e *Entry) siteCost(i *entryInstance, r *entryRequest) time.Duration {
	c := time.Duration(i.running+i.connShortfall+1) * e.expectedTime(i)
	if i == r.lastFailed {
		c += failedCost
	}
	return c
}

// expectedTime returns the time from the start of a read at the upstream to its
// answer, which includes the network. It is at least the lowest time seen there or,
// at an upstream without a measurement, the lowest seen in the own site and the
// network time.
func (e *Entry) expectedTime(i *entryInstance) time.Duration {
	lowest, isKnown := i.readLatency.Lowest()
	if !isKnown {
		lowest = max(e.lowestAtHome(i.service), minLatency)
		if !i.inOwnSite {
			lowest += assumedNetworkTime
		}
	}
	return max(i.readLatency.Expected(e.now), lowest)
}

// oldestRun returns how long the oldest read at the upstream has been running, zero
// if none runs. It shows an upstream that answers late before it has answered.
func (e *Entry) oldestRun(i *entryInstance) time.Duration {
	for _, r := range i.service.running {
		if r.instance == i && r.isRead() {
			return e.now.Sub(r.startedAt)
		}
	}
	return 0
}

// countOverdue counts the reads whose connections were closed because their answers
// were overdue, until they run again. Each of them needs a token of the retry
// budget, and without this count several reads that are overdue at the same time
// would rely on the same token.
func (e *Entry) countOverdue(r *entryRequest) {
	if e.options.BalanceSites {
		r.isOverdue = true
		r.service.balance.overdue++
	}
}

// uncountOverdue ends the count of a read that has ended at the upstream.
func (e *Entry) uncountOverdue(r *entryRequest) {
	if r.isOverdue {
		r.isOverdue = false
		r.service.balance.overdue--
	}
}

// lowestAtHome returns the lowest latency seen at an upstream of the own site,
// zero if none was seen.
func (e *Entry) lowestAtHome(s *entryService) time.Duration {
	var best time.Duration
	for _, i := range s.instances {
		if lowest, isKnown := i.readLatency.Lowest(); i.inOwnSite && isKnown && (best == 0 || lowest < best) {
			best = lowest
		}
	}
	return best
}

// recordReadTime records how long a completed read took at the upstream, and how
// long requests take at the primary.
func (e *Entry) recordReadTime(r *entryRequest, i *entryInstance, latency time.Duration) {
	if !e.options.BalanceSites {
		return
	}
	if r.Kind == KindRead {
		i.readLatency.Record(latency, e.now)
	}
	if b := &r.service.balance; r.atPrimary {
		if b.primaryTime == 0 {
			b.primaryTime = latency
		}
		b.primaryTime += (latency - b.primaryTime) / objectiveDivisor
	}
}

// updateSpill updates the fraction of reads that leaves the site.
func (e *Entry) updateSpill(s *entryService, r *entryRequest) {
	b := &s.balance
	if r.Objective > 0 && !r.siteDecided {
		if b.objective == 0 {
			b.objective = r.Objective
		}
		b.objective += (r.Objective - b.objective) / objectiveDivisor
	}
	e.endFailedSpill(s)
	if !b.spill.IsDue(e.now) {
		return
	}
	v := balance.View{Target: b.objective / homeObjectiveDivisor, AwayLimit: b.objective / homeObjectiveDivisor}
	for _, i := range s.instances {
		if i.id == s.primary.Instance || !e.takesSpill(i) || i.behindCount >= hopelessBehindCount {
			continue
		}
		t := &v.Away
		if i.inOwnSite {
			t = &v.Home
		}
		if expected := max(e.expectedTime(i), e.oldestRun(i)); *t == 0 || expected < *t {
			*t = expected
		}
	}
	if primary := e.homePrimary(s, nil); primary != nil {
		v.Home = max(e.expectedTime(primary), e.oldestRun(primary))
		v.Target /= homePrimaryDivisor
	}
	if v.Home == 0 || v.Target == 0 {
		v.Away = 0
	}
	v.Home += b.homeWait.Expected(e.now)
	if v.Away > 0 {
		v.Away += b.awayWait.Expected(e.now)
	}
	b.spill.Update(v, e.now)
	e.logSpill(s, v)
}

// endFailedSpill keeps all reads in the site at once when the upstream that they
// leave for has failed or takes no work.
func (e *Entry) endFailedSpill(s *entryService) {
	b := &s.balance
	if b.target == nil || e.takesSpill(b.target) {
		return
	}
	b.target = nil
	if b.spill.Fraction() > 0 {
		b.spill.Drop(e.now)
		e.increment("read-spills-ended")
	}
}

// takesSpill reports whether reads may be sent to an upstream: it is usable, and
// neither the last attempt to use it nor the last one to connect to it failed.
func (e *Entry) takesSpill(i *entryInstance) bool {
	return e.isUsable(i) && !e.isFailing(i) && i.backoff == 0
}

// logSpill logs the fraction when it has changed by a step of spillLogStep.
func (e *Entry) logSpill(s *entryService, v balance.View) {
	b := &s.balance
	f := b.spill.Fraction()
	change := f - b.loggedFraction
	if -spillLogStep < change && change < spillLogStep || b.loggedAt != 0 && e.now.Sub(b.loggedAt) < spillLogInterval {
		return
	}
	b.loggedFraction, b.loggedAt = f, e.now
	e.emit(Log{Part: "balance", Text: "The fraction of reads that leave the site changed.", Pairs: []string{
		"service", string(s.id), "fraction", strconv.FormatFloat(f, 'f', 2, 64),
		"home-ms", strconv.FormatInt(v.Home.Milliseconds(), 10), "away-ms", strconv.FormatInt(v.Away.Milliseconds(), 10),
	}})
}
