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
	// list to an entry that has none. It is longer than the interval between
	// two reports of an entry that is looking for a leader.
	gatherTime = 150 * time.Millisecond
	// trustSitesAfter is how long a new leader collects reports before its list
	// replaces a list that an entry already has.
	trustSitesAfter = time.Second
)

// siteView holds the active entries of one site.
type siteView struct {
	entries []catalog.VMID
	mark    uint64
}

// updateSites recomputes the active entries of all sites.
func (c *Control) updateSites() {
	if !c.options.DistributesUpstreams || c.now.Before(c.nextSitesAt) {
		return
	}
	c.nextSitesAt = c.now.Add(sitesInterval)
	bySite := map[catalog.SiteID][]catalog.VMID{}
	for vm, v := range c.entries {
		if !v.leaving && c.hasRecentReport(v) {
			bySite[v.site] = append(bySite[v.site], vm)
		}
	}
	c.sites = map[catalog.SiteID]siteView{}
	for site, entries := range bySite {
		slices.Sort(entries)
		c.sites[site] = siteView{entries: entries, mark: wire.EntriesMark(entries, len(bySite))}
	}
	c.pushEntries()
}

// pushEntries sends the list of active entries to the entries that have none, as
// soon as reports were collected for gatherTime. The callers of such an entry
// wait for the list.
func (c *Control) pushEntries() {
	if c.now.Sub(c.quorum.LeaderSince()) < gatherTime {
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
	site := c.sites[v.site]
	if site.mark == v.entriesMark || len(site.entries) == 0 {
		return
	}
	leaderFor := c.now.Sub(c.quorum.LeaderSince())
	if v.entriesMark != 0 && leaderFor < trustSitesAfter || leaderFor < gatherTime {
		return
	}
	a.Entries, a.SiteCount = site.entries, len(c.sites)
}
