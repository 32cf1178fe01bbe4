package node

import (
	"slices"
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/wire"
)

// Entries of a site share out among themselves who holds the connections of a
// service. They have to know each other for that, and control knows them all.

const (
	// sitesEvery is the time between two looks at which entries are at work.
	sitesEvery = 100 * time.Millisecond
	// gatherTime is how long a new leader listens before it tells an entry
	// that knows none: longer than an entry that looks for a leader waits
	// between two reports.
	gatherTime = 150 * time.Millisecond
	// trustSitesAfter is how long a new leader listens before its list takes
	// the place of one that an entry has.
	trustSitesAfter = time.Second
)

// siteView lists the entries of one site that are at work.
type siteView struct {
	entries []catalog.VMID
	mark    uint64
}

// watchSites brings the lists up to date.
func (c *Control) watchSites() {
	if !c.options.DistributesUpstreams || c.now.Before(c.sitesAt) {
		return
	}
	c.sitesAt = c.now.Add(sitesEvery)
	bySite := map[catalog.SiteID][]catalog.VMID{}
	for vm, v := range c.entries {
		if !v.leaving && c.isAtWork(v) {
			bySite[v.site] = append(bySite[v.site], vm)
		}
	}
	c.sites = map[catalog.SiteID]siteView{}
	for site, entries := range bySite {
		slices.Sort(entries)
		c.sites[site] = siteView{entries: entries, mark: wire.MarkEntries(entries, len(bySite))}
	}
	c.pushEntries()
}

// pushEntries tells the entries that know no others as soon as they may be told:
// their callers wait for it.
func (c *Control) pushEntries() {
	if c.now.Sub(c.quorum.LeaderSince()) < gatherTime {
		return
	}
	for _, vm := range c.entryNames() {
		v := c.entries[vm]
		if v.entries == 0 && v.pushedAt.Add(tellMembersEvery).Before(c.now) {
			v.pushedAt = c.now
			c.push(vm)
		}
	}
}

// addEntries tells an entry of the others of its site, unless it knows them.
func (c *Control) addEntries(a *wire.Answer, v *entryView) {
	site := c.sites[v.site]
	if site.mark == v.entries || len(site.entries) == 0 {
		return
	}
	led := c.now.Sub(c.quorum.LeaderSince())
	if v.entries != 0 && led < trustSitesAfter || led < gatherTime {
		return
	}
	a.Entries, a.SiteCount = site.entries, len(c.sites)
}
