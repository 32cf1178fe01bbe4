package node

import (
	"github.com/kingcupknot/kingcupknot/catalog"
)

// DisableFence makes control believe that no lease is held any more.
func (c *Control) DisableFence() {
	c.isLeaseHeld = func(_, _ catalog.Instant) bool { return false }
	c.graceEndsAt = 0
}

// DisableSurveyQuorum makes control elect with whatever answer comes first.
func (c *Control) DisableSurveyQuorum() {
	c.isSurveySufficient = func(_ catalog.Service, f *failover, _ catalog.InstanceID) bool { return len(f.answers) > 0 }
}

// DisableLeaseCheck makes an entry acknowledge without a lease.
func (e *Entry) DisableLeaseCheck() {
	e.leaseHolds = func(*entryService, catalog.Epoch, catalog.Instant) bool { return true }
}
