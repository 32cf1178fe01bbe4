package node

import (
	"fmt"

	"github.com/kingcupknot/kingcupknot/catalog"
)

// DisableFence makes control treat every lease as expired.
func (c *Control) DisableFence() {
	c.isLeaseHeld = func(_, _ catalog.Instant) bool { return false }
	c.graceEndsAt = 0
}

// DisableSurveyQuorum makes control elect a primary as soon as one instance has
// answered.
func (c *Control) DisableSurveyQuorum() {
	c.isSurveySufficient = func(_ catalog.Service, f *failover, _ catalog.InstanceID) bool { return len(f.answers) > 0 }
}

// DisableLeaseCheck makes an entry acknowledge writes without a lease.
func (e *Entry) DisableLeaseCheck() {
	e.leaseValid = func(*entryService, catalog.Epoch, catalog.Instant) bool { return true }
}

// GivesWork reports whether the entry may start new work at an incarnation of an
// upstream.
func (e *Entry) GivesWork(id catalog.InstanceID, incarnation uint64) bool {
	for _, s := range e.services {
		if i := s.instance(id); i != nil && i.announcement.Incarnation == incarnation && !i.isLeaving {
			return true
		}
	}
	return false
}

// Leads reports whether the control VM leads.
func (c *Control) Leads() bool { return c.isLeader }

// ActsOn describes what the agreed state lets entries act on, and which of the given
// upstreams may get work.
func (c *Control) ActsOn(upstreams []catalog.InstanceID) []string {
	s := c.state
	out := describeSettings(s.Version, s.Services, s.Routes, s.KeysRequired, s.Organisations, s.Drained)
	for _, id := range upstreams {
		if u := c.upstreams[id]; u != nil && !s.IsRetired(id, u.announcement.Incarnation) {
			out = append(out, fmt.Sprintf("upstream %s %d", id, u.announcement.Incarnation))
		}
	}
	return out
}

// ActsOn describes what the entry acts on.
func (e *Entry) ActsOn(upstreams []catalog.InstanceID) []string {
	var services []catalog.Service
	for _, id := range e.serviceIDs {
		if s := e.services[id]; s.accepted {
			services = append(services, s.settings)
		}
	}
	var organisations []catalog.Organisation
	if e.organisations != nil {
		for _, id := range e.organisations.IDs() {
			o, _ := e.organisations.ByID(id)
			organisations = append(organisations, o)
		}
	}
	out := describeSettings(e.version, services, e.routes, e.organisations != nil, organisations, e.drained)
	for _, id := range upstreams {
		for _, name := range e.serviceIDs {
			if i := e.services[name].instance(id); i != nil && !i.isLeaving {
				out = append(out, fmt.Sprintf("upstream %s %d", id, i.announcement.Incarnation))
			}
		}
	}
	return out
}

func describeSettings(version catalog.Version, services []catalog.Service, routes []catalog.Route, keys bool, organisations []catalog.Organisation, drained []catalog.InstanceID) []string {
	out := []string{fmt.Sprintf("version %d, keys %t, drained %v", version, keys, drained)}
	for _, s := range services {
		out = append(out, fmt.Sprintf("service %+v", s))
	}
	for _, r := range routes {
		out = append(out, fmt.Sprintf("route %+v", r))
	}
	for _, o := range organisations {
		out = append(out, fmt.Sprintf("organisation %+v", o))
	}
	return out
}

// DisableFence makes an entry keep the leases that it has given up.
func (e *Entry) DisableFence() {
	e.leaseValid = func(s *entryService, epoch catalog.Epoch, now catalog.Instant) bool {
		return epoch != 0 && epoch == s.leaseEpoch && now.Before(s.leaseUntil)
	}
}

// RequestEpoch returns the epoch under which a request runs, zero if it does not run
// at a primary.
func (e *Entry) RequestEpoch(id catalog.RequestID) catalog.Epoch {
	if r := e.requests[id]; r != nil && r.atPrimary {
		return r.epoch
	}
	return 0
}

// PrimaryEpoch returns the agreed epoch of a service's primary.
func (c *Control) PrimaryEpoch(id catalog.ServiceID) catalog.Epoch {
	return c.state.Primary(id).Epoch
}
