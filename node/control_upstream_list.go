package node

import (
	"cmp"
	"slices"
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/wire"
)

// upstreamChange is a change of an upstream. It is outdated once the upstream has
// changed again.
type upstreamChange struct {
	revision uint64
	upstream *upstreamView
}

func (x upstreamChange) isOutdated() bool { return x.upstream.revision != x.revision }

// advanceRevision marks an upstream as changed, so that it is sent to the
// entries.
func (c *Control) advanceRevision(u *upstreamView) {
	c.revision++
	u.revision = c.revision
	c.updateListDigest(u)
	c.changes = append(c.changes, upstreamChange{revision: c.revision, upstream: u})
	if len(c.changes) > 2*len(c.upstreams)+minChanges {
		c.changes = slices.DeleteFunc(c.changes, upstreamChange.isOutdated)
	}
}

// minChanges is the number of outdated changes that are kept at least, so that
// removing them takes little time for each change.
const minChanges = 64

// confirmedRevision returns the revision of the upstreams that the entry knew at
// its last report, zero if this leader does not know that.
func (c *Control) confirmedRevision(v *entryView) uint64 {
	if v.upstreamsMark.Leader == c.listLeader() {
		return v.upstreamsMark.Revision
	}
	leader, digest := splitListName(v.upstreamsMark.Leader)
	revision := uint64(0)
	if digest != 0 {
		revision = c.revisionByDigest[digest]
	}
	if leader == c.listLeader() {
		revision = max(revision, v.upstreamsMark.Revision)
	}
	return revision
}

// maxUpstreamsPerAnswer bounds the upstreams in one answer to about 32 kB, so that
// the leases in later answers don't wait for a second behind a list of thousands
// of upstreams, and a leader of 300 entries doesn't hold 90 MB of such lists.
const maxUpstreamsPerAnswer = 320

// upstreamsSince returns the first upstreams, up to a limit, that changed after a
// revision, and the revision that an entry has once it knows them. Upstreams of services that are not
// configured yet are included, since the revision states that the entry has all.
func (c *Control) upstreamsSince(since uint64, limit int) ([]catalog.Announcement, uint64) {
	first, _ := slices.BinarySearchFunc(c.changes, since+1, func(x upstreamChange, r uint64) int { return cmp.Compare(x.revision, r) })
	out, last := []catalog.Announcement{}, uint64(0)
	for _, x := range c.changes[first:] {
		if x.isOutdated() {
			continue
		}
		if len(out) == limit {
			return out, last
		}
		out, last = append(out, x.upstream.announcement), x.revision
	}
	return out, c.revision
}

// maxPreferredUpstreams is how many of the upstreams in an answer may be those of
// services that the entry serves. The others make the list complete.
const maxPreferredUpstreams = maxUpstreamsPerAnswer / 2

// preferredUpstreams returns upstreams that changed after a revision, of services
// that the entry serves and that it was not sent in this way before. Where a list of
// thousands of upstreams is sent in parts, which takes seconds, the entry can serve
// these meanwhile. They are sent again in their turn.
func (c *Control) preferredUpstreams(v *entryView, since uint64) []catalog.Announcement {
	var out []catalog.Announcement
	for _, id := range v.services {
		group := c.instancesOf(id)
		if v.preferred[id] || len(group) == 0 || len(out)+len(group) > maxPreferredUpstreams {
			continue
		}
		if v.preferred == nil {
			v.preferred = map[catalog.ServiceID]bool{}
		}
		v.preferred[id] = true
		for _, u := range group {
			if u.revision > since {
				out = append(out, u.announcement)
			}
		}
	}
	return out
}

// addUpstreamsToAnswer adds the upstreams that changed after the revision that
// the entry has confirmed. While others are on their way, it adds only those that
// began to leave, without a mark.
func (c *Control) addUpstreamsToAnswer(a *wire.Answer, v *entryView) {
	if !c.options.DistributesUpstreams {
		return
	}
	since := c.confirmedRevision(v)
	if c.areUpstreamsInFlight(v) || c.areLongSettingsInFlight(v) {
		a.Upstreams = c.addLeaving(nil, since)
		return
	}
	revision := c.revision
	if since != revision {
		a.Upstreams, revision = c.upstreamsSince(since, maxUpstreamsPerAnswer)
	}
	if revision != c.revision {
		if first := c.preferredUpstreams(v, since); len(first) > 0 {
			a.Upstreams, revision = c.upstreamsSince(since, maxUpstreamsPerAnswer-len(first))
			a.Upstreams = append(first, a.Upstreams...)
		}
		a.Upstreams = c.addLeaving(a.Upstreams, since)
	}
	v.sentRevision = revision
	a.UpstreamsMark = wire.UpstreamsMark{Leader: c.listLeader(), Revision: revision}
	if revision == c.revision {
		a.UpstreamsMark.Leader = listName(c.listLeader(), c.listDigest)
	}
	if since == c.revision {
		return
	}
	v.upstreamsArriveAt = c.now.Add(c.options.Timings.ReportInterval + time.Duration(len(a.Upstreams))*upstreamTransferTime)
}
