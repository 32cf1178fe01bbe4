package node

import (
	"cmp"
	"slices"
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
)

// latencyHalfLife is the time after which a measured latency counts half, so
// that an entry that has sent nothing to an upstream for a while tries the
// upstream again.
const latencyHalfLife = 400 * time.Millisecond

// failedLatency is the latency recorded for a request that failed at the
// upstream. It approximates the cost of a retry to the caller.
const failedLatency = 500 * time.Millisecond

// recordLatency adds the latency of a request to the moving average.
func (i *entryInstance) recordLatency(latency time.Duration, now catalog.Instant) {
	old := i.expectedLatency(now)
	i.latency, i.latencyAt = old+(latency-old)/4, now
}

// expectedLatency returns the latency that a request is expected to have at the
// upstream.
func (i *entryInstance) expectedLatency(now catalog.Instant) time.Duration {
	return decayedLatency(i.latency, i.latencyAt, now)
}

// decayedLatency returns an average that was last updated at the given instant,
// reduced by its age.
func decayedLatency(average time.Duration, updatedAt, now catalog.Instant) time.Duration {
	halves := float64(now.Sub(updatedAt)) / float64(latencyHalfLife)
	return time.Duration(float64(average) / (1 + halves))
}

const (
	// minLatency is the lowest latency used for the cost, so that an upstream
	// without recent requests does not seem to cost nothing.
	minLatency = 5 * time.Millisecond
	// remoteCostFactor multiplies the cost of an upstream in another site. The
	// network between sites adds little latency, but its traffic is charged
	// for.
	remoteCostFactor = 2
)

// cost estimates how long a read would take at the upstream, weighted by the
// upstream's site. Entries do not know each other's load, so the estimate uses
// the latency that this entry has measured.
func (e *Entry) cost(i *entryInstance, r *entryRequest) time.Duration {
	if e.options.BalanceSites {
		return e.siteCost(i, r)
	}
	if e.keepsObjectiveLocally(i, r) {
		return 0
	}
	n := time.Duration(i.running + i.connShortfall + 1)
	c := n*max(i.expectedLatency(e.now), minLatency) + e.openingCost(i, r)
	if !i.inOwnSite {
		c *= remoteCostFactor
	}
	if i == r.lastFailed {
		c += failedCost
	}
	return c
}

// localLatencyDivisor divides the objective of a read; the result is the latency
// up to which the read runs in its own site whatever the load elsewhere.
const localLatencyDivisor = 10

// keepsObjectiveLocally reports whether an upstream of the entry's own site is
// expected to answer the read in a fraction of its objective. Such a read gains
// nothing from another site, and its traffic would be charged for. This answers
// the load of ordinary days, on which a running statement or two make an upstream
// look dearer than one elsewhere although it has free slots.
func (e *Entry) keepsObjectiveLocally(i *entryInstance, r *entryRequest) bool {
	if !i.inOwnSite || i == r.lastFailed || r.Objective <= 0 || e.opensNeedlessly(i, r) {
		return false
	}
	used, slots := i.running+i.connShortfall+1, i.slots()
	latency := i.expectedLatency(e.now) * time.Duration(max(used, slots)) / time.Duration(slots)
	return latency <= r.Objective/localLatencyDivisor
}

// localPrimaryLatencyDivisor replaces localLatencyDivisor at the primary. A read
// there takes capacity from work that only the primary can do.
const localPrimaryLatencyDivisor = 16

// prefersLocalPrimary reports whether a read that a replica of another site could
// serve runs at the primary, because the primary is in the entry's own site, no
// replica is, and the primary has capacity to spare.
func (e *Entry) prefersLocalPrimary(s *entryService, r *entryRequest) bool {
	primary := s.primaryInstance()
	if primary == nil || !primary.inOwnSite || primary == r.lastFailed || r.Objective <= 0 || primary.running+1 >= primary.slots() {
		return false
	}
	for _, i := range s.instances {
		if i != primary && i.inOwnSite && e.isUsable(i) && !e.isFailing(i) {
			return false
		}
	}
	return primary.expectedWait(e.now)+primary.expectedLatency(e.now) <= r.Objective/localPrimaryLatencyDivisor
}

// failedCost ranks an upstream that has just failed the request behind all
// others.
const failedCost = time.Hour

// sortByCost sorts replicas by cost. Replicas of equal cost are ordered
// differently at each entry.
func (e *Entry) sortByCost(is []*entryInstance, r *entryRequest) {
	slices.SortStableFunc(is, func(a, b *entryInstance) int {
		if n := cmp.Compare(e.cost(a, r), e.cost(b, r)); n != 0 {
			return n
		}
		return cmp.Compare(a.preference, b.preference)
	})
}

// preferredReplica returns the replica that this entry would read from if all
// had the same load. A connection to it stays open; connections to the others
// are opened on demand, because an upstream does not accept a connection from
// every entry.
func (e *Entry) preferredReplica(s *entryService) *entryInstance {
	var best *entryInstance
	for _, i := range s.instances {
		if i.id == s.primary.Instance || !e.acceptsWork(i) || e.isFailing(i) {
			continue
		}
		if best == nil || i.inOwnSite && !best.inOwnSite || i.inOwnSite == best.inOwnSite && i.preference < best.preference {
			best = i
		}
	}
	return best
}
