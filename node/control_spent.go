package node

import (
	"strconv"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/wire"
)

// recordSpentEpochs stores which epochs an entry accepts no leases of any more, and
// returns the services whose ready primary is in such an epoch while no failover is
// in progress.
func (c *Control) recordSpentEpochs(vm catalog.VMID, list []wire.ServiceEpoch) []catalog.ServiceID {
	var spent []catalog.ServiceID
	for _, x := range list {
		c.spentEpochs[x.Service] = max(c.spentEpochs[x.Service], x.Epoch)
		p := c.state.Primary(x.Service)
		if !p.Ready || x.Epoch < p.Epoch || c.failovers[x.Service] != nil || !c.isConfigured(x.Service) {
			continue
		}
		c.log("failover", "The epoch of a primary was given up.", "service", string(x.Service),
			"instance", string(p.Instance), "epoch", strconv.FormatUint(uint64(p.Epoch), 10), "entry", string(vm))
		c.markSuspect(x.Service)
		spent = append(spent, x.Service)
	}
	return spent
}
