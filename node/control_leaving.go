package node

import (
	"slices"
	"strconv"

	"github.com/kingcupknot/kingcupknot/catalog"
)

// leavingUpstream is an upstream that is leaving and that not all entries are
// known to have been told of.
type leavingUpstream struct {
	upstream *upstreamView
	// revision is that of the upstream when it began to leave.
	revision uint64
	since    catalog.Instant
}

// markLeaving marks the known incarnation of an upstream as leaving. That holds
// whatever the sequence of the announcement that said so.
func (c *Control) markLeaving(u *upstreamView) {
	if u.announcement.Leaving {
		return
	}
	u.announcement.Leaving = true
	c.advanceRevision(u)
	c.markSuspect(u.announcement.Service)
	c.trackLeaving(u)
}

// trackLeaving records that entries must learn that an upstream leaves.
func (c *Control) trackLeaving(u *upstreamView) {
	if !c.options.DistributesUpstreams {
		return
	}
	c.leaving = append(c.leaving, leavingUpstream{upstream: u, revision: u.revision, since: c.now})
}

// addLeaving puts the upstreams that began to leave last in front of a part of a
// long list. They must not wait until the list is complete, which takes seconds.
func (c *Control) addLeaving(list []catalog.Announcement, since uint64) []catalog.Announcement {
	var first []catalog.Announcement
	for _, l := range c.leaving[max(len(c.leaving)-maxPreferredUpstreams, 0):] {
		if l.revision > since && l.upstream.announcement.Leaving {
			first = append(first, l.upstream.announcement)
		}
	}
	return append(first, list...)
}

// reportLeaving logs when all entries that report have confirmed that upstreams
// leave.
func (c *Control) reportLeaving() {
	if len(c.leaving) == 0 {
		return
	}
	confirmed, entries := ^uint64(0), 0
	for _, v := range c.entries {
		if c.hasRecentReport(v) {
			confirmed, entries = min(confirmed, c.confirmedRevision(v)), entries+1
		}
	}
	known, last := 0, leavingUpstream{}
	if entries > 0 {
		c.leaving = slices.DeleteFunc(c.leaving, func(l leavingUpstream) bool {
			if l.revision > confirmed {
				return false
			}
			known, last = known+1, l
			return true
		})
	}
	if known > 0 {
		c.log("control", "The entries know which upstreams are leaving.", "instance", string(last.upstream.announcement.Instance),
			"upstreams", strconv.Itoa(known), "entries", strconv.Itoa(entries), "after", c.now.Sub(last.since).String())
	}
}
