package node

import (
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
