package node

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/kingcupknot/kingcupknot/balance"
	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/wire"
)

const (
	// siteShareLength is how long a share is valid after the report it answers. It
	// outlasts the loss of a few reports and ends soon after the loss of the
	// leader.
	siteShareLength = time.Second
	// siteSharesInterval is the time between two divisions of the primaries.
	siteSharesInterval = 100 * time.Millisecond
	// shareTolerance is the part of the even share by which a share must differ
	// from it to be sent.
	shareTolerance = 0.1
	// minShare is the least share of a site as a part of the even share, so that
	// callers who move there are served until the entries have reported them.
	minShare = 0.25
	// shareLogStep is the relative change of a share that is logged, at most once
	// in shareLogInterval and service.
	shareLogStep     = 0.25
	shareLogInterval = time.Second
)

// controlBalance is the leader's state of the shares of saturated primaries.
type controlBalance struct {
	nextAt catalog.Instant
	// shares holds the shares by site of each service with more work than the
	// sites may run together.
	shares map[catalog.ServiceID]map[catalog.SiteID]float64
	// logged holds the shares that were logged last.
	logged map[catalog.ServiceID]loggedShares
}

type loggedShares struct {
	bySite map[catalog.SiteID]float64
	at     catalog.Instant
}

// updateSiteShares divides the primaries among the sites.
func (c *Control) updateSiteShares() {
	b := &c.balance
	if !c.options.BalanceSites || c.now.Before(b.nextAt) {
		return
	}
	b.nextAt = c.now.Add(siteSharesInterval)
	b.shares = map[catalog.ServiceID]map[catalog.SiteID]float64{}
	if c.now.Sub(c.quorum.LeaderSince()) < 2*c.options.Timings.ReportInterval {
		// Not all entries have reported to this leader.
		return
	}
	demands, sites := c.workBySite()
	ids := make([]catalog.ServiceID, 0, len(demands))
	for id := range demands {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		if shares := c.divideBySite(id, sites, demands[id]); shares != nil {
			b.shares[id] = shares
			c.logSiteShares(id, sites, shares)
		}
	}
	for id := range b.logged {
		if _, ok := c.state.Service(id); !ok {
			delete(b.logged, id)
		}
	}
}

// workBySite adds up the work that entries have reported, and returns the sites
// that have entries in order. Entries are added in the order of their names, so
// that sums don't depend on the order of a map.
func (c *Control) workBySite() (map[catalog.ServiceID]map[catalog.SiteID]float64, []catalog.SiteID) {
	demands := map[catalog.ServiceID]map[catalog.SiteID]float64{}
	var sites []catalog.SiteID
	for _, vm := range c.entryVMs() {
		v := c.entries[vm]
		if v.leaving || !c.hasRecentReport(v) {
			continue
		}
		if !slices.Contains(sites, v.site) {
			sites = append(sites, v.site)
		}
		for _, w := range v.work {
			if demands[w.Service] == nil {
				demands[w.Service] = map[catalog.SiteID]float64{}
			}
			demands[w.Service][v.site] += max(float64(w.Asked), 0)
		}
	}
	slices.Sort(sites)
	return demands, sites
}

// divideBySite returns the shares of the sites in a service's primary, nil if
// there is no more work than the sites may run together. The weight of a site is
// its demand, so that callers of all sites have the same chance.
func (c *Control) divideBySite(id catalog.ServiceID, sites []catalog.SiteID, demand map[catalog.SiteID]float64) map[catalog.SiteID]float64 {
	even := float64(siteConcurrencyFactor * c.slotsOf(id))
	capacity, total := even*float64(len(sites)), 0.0
	claims := make([]balance.Claim, 0, len(sites))
	for _, site := range sites {
		total += demand[site]
		asked := max(demand[site], minShare*even)
		claims = append(claims, balance.Claim{Demand: asked, Weight: asked})
	}
	if total <= capacity {
		return nil
	}
	shares := map[catalog.SiteID]float64{}
	for n, share := range balance.Shares(capacity, claims) {
		if share < (1-shareTolerance)*even || share > (1+shareTolerance)*even {
			shares[sites[n]] = share
		}
	}
	return shares
}

// slotsOf returns the highest number of slots of any upstream of a service.
func (c *Control) slotsOf(id catalog.ServiceID) int {
	slots := 1
	for _, u := range c.upstreamsByService[id] {
		slots = max(slots, u.announcement.Slots)
	}
	if s, ok := c.state.Service(id); ok && len(c.upstreamsByService[id]) == 0 {
		slots = max(slots, s.Limits.Slots)
	}
	return slots
}

// addSiteShares adds the shares of the entry's site in the services that the entry
// reported.
func (c *Control) addSiteShares(a *wire.Answer, v *entryView) {
	if !c.options.BalanceSites || !c.hasQuorumContact() {
		return
	}
	for _, id := range v.services {
		if share, ok := c.balance.shares[id][v.site]; ok {
			a.SiteShares = append(a.SiteShares, wire.SiteShare{Service: id, Statements: float32(share), Length: siteShareLength})
		}
	}
}

// logSiteShares logs the shares of a service when one has changed by more than
// shareLogStep.
func (c *Control) logSiteShares(id catalog.ServiceID, sites []catalog.SiteID, shares map[catalog.SiteID]float64) {
	last := c.balance.logged[id]
	if last.bySite != nil && c.now.Sub(last.at) < shareLogInterval {
		return
	}
	hasChanged := false
	var texts []string
	for _, site := range sites {
		share, old := shares[site], last.bySite[site]
		hasChanged = hasChanged || share > (1+shareLogStep)*old || old > (1+shareLogStep)*share
		if share > 0 {
			texts = append(texts, string(site)+"="+strconv.FormatFloat(share, 'f', 1, 64))
		}
	}
	if !hasChanged {
		return
	}
	if c.balance.logged == nil {
		c.balance.logged = map[catalog.ServiceID]loggedShares{}
	}
	c.balance.logged[id] = loggedShares{bySite: shares, at: c.now}
	c.log("balance", "The shares of the sites in a primary changed.", "service", string(id), "shares", strings.Join(texts, " "))
}
