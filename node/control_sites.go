package node

import (
	"slices"
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/wire"
)

// The entries of a site divide the connections of a service among themselves.
// They need to know each other for that, so control sends them the list.

const (
	// sitesInterval is the time between two updates of the list of active
	// entries.
	sitesInterval = 100 * time.Millisecond
	// gatherTime is how long a new leader collects reports before it sends a
	// list to an entry that has none, unless it knows earlier that all entries
	// have reported. It is longer than the interval between two reports of an
	// entry that is looking for a leader.
	gatherTime = 150 * time.Millisecond
	// trustSitesAfter is how long a new leader collects reports before its list
	// replaces a list that an entry already has.
	trustSitesAfter = time.Second
)

// siteLists holds the lists of the active entries of all sites.
type siteLists struct {
	// views holds the lists, updated at nextUpdateAt.
	views        map[catalog.SiteID]siteView
	nextUpdateAt catalog.Instant
	// leaderlessSince is when this VM started, last led or last knew another
	// leader, whichever is latest.
	leaderlessSince catalog.Instant
	// awaited holds the entries that were looking for a leader when this VM
	// became one and that have not reported to it since. It is nil if this VM
	// heard of no such entry or can't have heard of all.
	awaited map[catalog.VMID]bool
}

// awaitEntries is called when this VM becomes the leader. Entries that look for a
// leader ask every control VM. If this VM knew none for long enough, it has heard
// of all of them, and the lists are complete once they have reported.
func (l *siteLists) awaitEntries(looking map[catalog.VMID]uint64, searchInterval time.Duration, now catalog.Instant) {
	l.awaited = nil
	if len(looking) == 0 || now.Sub(l.leaderlessSince) < 2*searchInterval {
		return
	}
	l.awaited = map[catalog.VMID]bool{}
	for vm := range looking {
		l.awaited[vm] = true
	}
}

// recordReport notes that an entry has reported to this leader. If it was the
// last of the awaited ones, the lists are updated with the next sweep.
func (l *siteLists) recordReport(vm catalog.VMID) {
	if l.awaited[vm] {
		delete(l.awaited, vm)
		l.nextUpdateAt = 0
	}
}

// isComplete reports whether a leader that has led for the given time knows the
// entries that were running when it was elected.
func (l *siteLists) isComplete(leaderFor time.Duration) bool {
	return leaderFor >= gatherTime || l.awaited != nil && len(l.awaited) == 0
}

// siteView holds the active entries of one site.
type siteView struct {
	entries []catalog.VMID
	mark    uint64
}

// recordKnownLeader notes that this VM leads or knows another leader, if it does.
func (c *Control) recordKnownLeader() {
	if leader := c.quorum.Leader(); c.isLeader || leader != "" && leader != c.options.VM {
		c.sites.leaderlessSince = c.now
	}
}

// updateSites recomputes the active entries of all sites.
func (c *Control) updateSites() {
	if !c.options.DistributesUpstreams || c.now.Before(c.sites.nextUpdateAt) {
		return
	}
	c.sites.nextUpdateAt = c.now.Add(sitesInterval)
	bySite := map[catalog.SiteID][]catalog.VMID{}
	for vm, v := range c.entries {
		if !v.leaving && c.hasRecentReport(v) {
			bySite[v.site] = append(bySite[v.site], vm)
		}
	}
	c.sites.views = map[catalog.SiteID]siteView{}
	for site, entries := range bySite {
		slices.Sort(entries)
		c.sites.views[site] = siteView{entries: entries, mark: wire.EntriesMark(entries, len(bySite))}
	}
	c.pushEntries()
}

// pushEntries sends the list of active entries to the entries that have none, as
// soon as it is complete. The callers of such an entry wait for the list.
func (c *Control) pushEntries() {
	if !c.sites.isComplete(c.now.Sub(c.quorum.LeaderSince())) {
		return
	}
	for _, vm := range c.entryVMs() {
		v := c.entries[vm]
		if v.entriesMark == 0 && v.entriesPushedAt.Add(membersInterval).Before(c.now) {
			v.entriesPushedAt = c.now
			c.push(vm)
		}
	}
}

// addEntriesToAnswer adds the entries of the entry's site, unless the entry
// knows them already.
func (c *Control) addEntriesToAnswer(a *wire.Answer, v *entryView) {
	site := c.sites.views[v.site]
	if site.mark == v.entriesMark || len(site.entries) == 0 {
		return
	}
	leaderFor := c.now.Sub(c.quorum.LeaderSince())
	if v.entriesMark != 0 && leaderFor < trustSitesAfter || !c.sites.isComplete(leaderFor) {
		return
	}
	a.Entries, a.SiteCount = site.entries, len(c.sites.views)
}
