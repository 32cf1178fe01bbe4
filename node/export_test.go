package node

import (
	"github.com/kingcupknot/kingcupknot/catalog"
)

// SpoilFence makes control believe that no lease is held any more.
func (c *Control) SpoilFence() {
	c.leaseHeld = func(_, _ catalog.Instant) bool { return false }
	c.graceEnds = 0
}

// SpoilSurvey makes control elect with whatever answer comes first.
func (c *Control) SpoilSurvey() {
	c.isSurveySufficient = func(_ catalog.Service, f *failover, _ catalog.InstanceID) bool { return len(f.answers) > 0 }
}

// SpoilLease makes an entry acknowledge without a lease.
func (e *Entry) SpoilLease() {
	e.leaseValid = func(*entryService, catalog.Epoch, catalog.Instant) bool { return true }
}
