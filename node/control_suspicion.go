package node

import (
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/wire"
)

// minSuspectingSites is how many sites must observe that a primary is down, or
// all sites if fewer report.
const minSuspectingSites = 2

// evidenceReportIntervals is how many report intervals may pass without a report
// of an entry before its observations are ignored.
const evidenceReportIntervals = 4

// primaryEvidence is what the entries that reported recently have observed of a
// primary.
type primaryEvidence struct {
	// reporting are the sites with an observation, and refused those whose last
	// attempt was refused.
	reporting, refused map[catalog.SiteID]bool
	// lastAlive is when the primary last responded to any of the entries, zero if
	// it has responded to none since they started.
	lastAlive, lastRefused catalog.Instant
	// failing holds, for each site with an entry whose last attempt failed, the
	// longest time in which the attempts of one of its entries have been failing.
	failing map[catalog.SiteID]failingSpan
	// failingUntil is the latest report of an entry whose last attempt failed.
	failingUntil catalog.Instant
}

// failingSpan is the time from the first failure in a row that an entry reported to
// its last report. An entry that has ended observes nothing after that.
type failingSpan struct {
	since, until catalog.Instant
}

func (s failingSpan) length() time.Duration { return s.until.Sub(s.since) }

// required returns how many sites must agree that the primary is down, zero if none
// has an observation.
func (x *primaryEvidence) required() int {
	return min(minSuspectingSites, len(x.reporting))
}

// isFailingFor reports whether the attempts of enough sites have been failing for a
// time.
func (x *primaryEvidence) isFailingFor(d time.Duration) bool {
	sites := 0
	for _, s := range x.failing {
		if s.length() >= d {
			sites++
		}
	}
	return sites >= x.required()
}

func (c *Control) gatherEvidence(id catalog.InstanceID) *primaryEvidence {
	t := c.options.Timings
	// Reports from before this VM was late don't count any more.
	lateAt := c.lateUntil.Add(-lateReportIntervals * t.ReportInterval)
	x := &primaryEvidence{
		reporting: map[catalog.SiteID]bool{}, refused: map[catalog.SiteID]bool{}, failing: map[catalog.SiteID]failingSpan{},
	}
	for vm, o := range c.observations[id] {
		v := c.entries[vm]
		if v == nil || c.now.Sub(v.reportedAt) > evidenceReportIntervals*t.ReportInterval || v.reportedAt.Before(lateAt) {
			continue
		}
		x.reporting[v.site] = true
		x.lastAlive = max(x.lastAlive, v.lastAliveAt(o))
		if o.evidence == wire.EvidenceRefused && o.gatheredAt >= o.aliveAt {
			x.refused[v.site] = true
			x.lastRefused = max(x.lastRefused, o.gatheredAt)
		}
		if o.isFailing() {
			x.failingUntil = max(x.failingUntil, v.reportedAt)
			s := failingSpan{since: o.failingSince, until: v.reportedAt}
			if longest, ok := x.failing[v.site]; !ok || longest.length() < s.length() {
				x.failing[v.site] = s
			}
		}
	}
	return x
}

// isPrimaryDown decides from the entries' observations whether a primary is
// down. The observations of a single site do not suffice while other sites
// report. Refusals do not count if any entry reached the primary after them.
func (c *Control) isPrimaryDown(p catalog.Primary) bool {
	t := c.options.Timings
	if c.now.Before(c.lateUntil) {
		return false
	}
	x := c.gatherEvidence(p.Instance)
	switch {
	case x.required() == 0:
		return c.isPrimaryUnknown(p, x)
	case len(x.refused) >= x.required() && x.lastAlive <= x.lastRefused:
		return true
	case len(x.failing) < x.required():
		return c.isSilentToAll(p, x) || c.isPrimaryUnknown(p, x)
	case x.lastAlive != 0:
		return x.failingUntil.Sub(x.lastAlive) >= t.SuspectTimeout
	}
	// No entry has heard the primary since it started, as after a restart of all
	// entries, so how long the primary has been silent is not known from it.
	if c.isSilentToControl(p) {
		return x.isFailingFor(t.SuspectTimeout)
	}
	return x.isFailingFor(t.AnnouncementTTL)
}

// isSilentToAll reports whether a primary has answered nobody for as long as an
// announcement counts, although too few sites have tried to reach it. Entries without
// requests of a service don't try, so control is the second witness.
func (c *Control) isSilentToAll(p catalog.Primary, x *primaryEvidence) bool {
	for _, s := range x.failing {
		if x.lastAlive.Before(s.since) && s.length() >= c.options.Timings.AnnouncementTTL {
			return c.isSilentToControl(p)
		}
	}
	return false
}

// isPrimaryUnknown reports whether no entry has heard a primary or been told its address
// for so long that the primary would have announced itself. Entries to which upstreams
// announce themselves forget them when they restart, and don't try to reach one whose
// announcement is too old. Where control distributes the list, an address is unknown if
// the leader that elected the primary ended before it recorded the address.
func (c *Control) isPrimaryUnknown(p catalog.Primary, x *primaryEvidence) bool {
	heardSince := c.now.Add(-c.options.Timings.AnnouncementTTL)
	if c.graceEndsAt.After(heardSince) || x.lastAlive.After(heardSince) {
		return false
	}
	u := c.upstreams[p.Instance]
	if c.options.DistributesUpstreams {
		return u == nil
	}
	if u != nil && u.announcedAt.After(heardSince) {
		return false
	}
	return len(c.listeningSites()) >= min(minSuspectingSites, len(c.entryCounts))
}
