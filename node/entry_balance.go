package node

import (
	"time"

	"github.com/kingcupknot/kingcupknot/balance"
	"github.com/kingcupknot/kingcupknot/catalog"
)

// With BalanceSites, a read runs in its own site while that keeps the objective,
// and a controlled fraction of the reads runs elsewhere when it doesn't. The load
// that this answers is that of sites whose demand rises and falls at different
// times, and of an upstream that is several times as slow as the others.

const (
	// homeObjectiveDivisor divides the objective of a read; the result is the time
	// up to which a read is served well in its own site, and for which it waits
	// for a slot there before it may run elsewhere.
	homeObjectiveDivisor = 4
	// homePrimaryDivisor divides that time where the primary is the only upstream
	// of the site. A read there takes capacity from work that only the primary can
	// do.
	homePrimaryDivisor = 3
	// assumedNetworkTime is the network time to another site until reads have
	// measured it.
	assumedNetworkTime = 2 * time.Millisecond
	// objectiveDivisor is the divisor of the step of the mean objective.
	objectiveDivisor = 16
)

// entryBalance is the state of a service that concerns work between sites.
type entryBalance struct {
	// spill is the fraction of the service's reads that leaves the site.
	spill balance.Spill
	// homeWait and awayWait are how long reads waited that were to stay in the
	// site and that were to leave it.
	homeWait, awayWait balance.Latency
	// objective is the mean objective of the reads.
	objective time.Duration
	// target is the upstream that last got a read that left by the fraction.
	target *entryInstance
	// loggedFraction was logged last, at loggedAt.
	loggedFraction float64
	loggedAt       catalog.Instant

	// overdue counts the overdue reads that were cut and have not ended yet.
	overdue int

	// work is the work that callers asked of the primary, whether it ran or not,
	// and primaryTime the mean time that a request takes there.
	work        balance.Load
	primaryTime time.Duration
	// share is the number of statements that the entries of the site may run at
	// the primary until shareUntil.
	share      float64
	shareUntil catalog.Instant
}

// siteOrder holds the replicas for one read by site. Its lists are reused.
type siteOrder struct {
	home, away []*entryInstance
	// behind holds the replicas, of any site, that the last read there found too
	// old. No read waits for them.
	behind []*entryInstance
	times  []time.Duration
}

// placeBySite starts a read at a replica, in its own site or elsewhere. It reports
// whether the read was started or refused, and whether it waits for a replica. If
// neither holds, no replica can serve the read in time.
func (e *Entry) placeBySite(s *entryService, r *entryRequest, p *placement, proven, likely []*entryInstance) (placed, waits bool) {
	e.updateSpill(s, r)
	o := e.orderBySite(proven, likely)
	primary := e.homePrimary(s, r)
	hasHome := len(o.home) > 0 || primary != nil
	if hasHome && len(o.away) > 0 && !r.siteDecided {
		r.siteDecided, r.leavesSite = true, s.balance.spill.Leaves(e.nextRandom())
	}
	// A read that failed at the only replica of its site runs elsewhere.
	hasFailed := len(o.home) == 1 && o.home[0] == r.lastFailed && len(o.away) > 0
	leaves := r.leavesSite || !hasHome || hasFailed
	if leaves && e.startAway(r, o) {
		return true, false
	}
	for _, i := range o.home {
		if e.startRead(r, i, false) {
			e.recordSiteWait(r, false)
			return true, false
		}
	}
	if primary != nil && primary.running+1 < primary.slots() && e.startAtPrimary(s, r, p) {
		e.recordSiteWait(r, false)
		return true, false
	}
	if len(o.home)+len(o.away) == 0 {
		return e.startAtAny(r, o.behind), false
	}
	if until := r.arrivedAt.Add(r.Objective / homeObjectiveDivisor); e.now.Before(until) {
		e.scheduleWake(until)
		placed = e.awaitReplica(s, r, p)
		return placed, !placed
	}
	return !leaves && e.startAway(r, o) || e.startAtAny(r, o.behind), false
}

// orderBySite divides the replicas for a read by site, the best first.
func (e *Entry) orderBySite(proven, likely []*entryInstance) *siteOrder {
	o := &e.siteOrder
	o.home, o.away, o.behind = o.home[:0], o.away[:0], o.behind[:0]
	for _, i := range proven {
		o.add(i)
	}
	for _, i := range likely {
		if i.behindCount > 0 {
			o.behind = append(o.behind, i)
		} else {
			o.add(i)
		}
	}
	return o
}

func (o *siteOrder) add(i *entryInstance) {
	if i.inOwnSite {
		o.home = append(o.home, i)
	} else {
		o.away = append(o.away, i)
	}
}

// startAway starts a read at a replica of another site. The first choice is
// random, weighted by the expected times, and the others follow by cost.
func (e *Entry) startAway(r *entryRequest, o *siteOrder) bool {
	if len(o.away) == 0 {
		return false
	}
	first := 0
	if len(o.away) > 1 {
		o.times = o.times[:0]
		for _, i := range o.away {
			o.times = append(o.times, e.siteCost(i, r))
		}
		first = balance.Spread(o.times, e.nextRandom())
	}
	for n := range len(o.away) + 1 {
		i := o.away[first]
		if n > 0 {
			i = o.away[n-1]
		}
		if n > 0 && n-1 == first || !e.startRead(r, i, false) {
			continue
		}
		if r.leavesSite {
			r.service.balance.target = i
		}
		e.recordSiteWait(r, true)
		e.increment("reads-sent-to-other-sites")
		return true
	}
	return false
}

// recordSiteWait records how long a read waited before it started. A read that
// was to stay in its site and ran elsewhere waited for an upstream of its site.
func (e *Entry) recordSiteWait(r *entryRequest, away bool) {
	wait := e.now.Sub(r.queuedAt)
	if away && r.leavesSite {
		r.service.balance.awayWait.Record(wait, e.now)
	} else {
		r.service.balance.homeWait.Record(wait, e.now)
	}
}

// homePrimary returns the primary if reads that a replica elsewhere could serve
// may run there, because the primary is the only upstream of the entry's site that
// takes reads.
func (e *Entry) homePrimary(s *entryService, r *entryRequest) *entryInstance {
	primary := s.primaryInstance()
	if primary == nil || !primary.inOwnSite || r != nil && primary == r.lastFailed || !e.isUsable(primary) || e.isFailing(primary) {
		return nil
	}
	for _, i := range s.instances {
		if i != primary && i.inOwnSite && e.isUsable(i) && !e.isFailing(i) {
			return nil
		}
	}
	return primary
}
