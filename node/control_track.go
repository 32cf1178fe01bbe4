package node

import (
	"slices"
	"sort"

	"github.com/kingcupknot/kingcupknot/catalog"
)

func (c *Control) trackUpstream(a catalog.Announcement) {
	a.Leaving = a.Leaving || c.state.IsRetired(a.Instance, a.Incarnation)
	u := &upstreamView{announcement: a, announcedAt: c.now}
	c.advanceRevision(u)
	c.upstreams[a.Instance] = u
	c.addToGroup(u)
	c.markSuspect(a.Service)
	// Anyone may announce an upstream of a service that does not exist.
	// keepConnectionsOpen queries the upstream once its service is configured.
	if c.isConfigured(a.Service) {
		c.keepConnectionOpen(u)
	}
	if u.announcement.Leaving {
		c.trackLeaving(u)
	}
	c.proposeEnrollment(a)
}

// addToGroup adds an upstream to those of its service.
func (c *Control) addToGroup(u *upstreamView) {
	if u.inGroup {
		return
	}
	u.inGroup = true
	group := append(c.upstreamsByService[u.announcement.Service], u)
	sort.Slice(group, func(i, j int) bool { return group[i].announcement.Instance < group[j].announcement.Instance })
	c.upstreamsByService[u.announcement.Service] = group
}

func (c *Control) isConfigured(id catalog.ServiceID) bool {
	_, ok := c.state.Service(id)
	return ok
}

// forgetUpstream removes an upstream of a service that is not configured, whose id
// an upstream of a configured service has.
func (c *Control) forgetUpstream(u *upstreamView) {
	a := u.announcement
	delete(c.upstreams, a.Instance)
	c.upstreamsByService[a.Service] = slices.DeleteFunc(c.upstreamsByService[a.Service], func(x *upstreamView) bool { return x == u })
	// upstreamChange.isOutdated then holds for all earlier changes.
	u.revision = 0
	c.listDigest -= u.digest
}
