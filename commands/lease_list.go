package commands

import (
	"github.com/jessevdk/go-flags"

	"github.com/kingcupknot/kingcupknot/node"
)

func init() {
	register("lease list", "List the primaries with the leases on them", func(cli *CLI) flags.Commander {
		return &leaseList{cli: cli}
	})
}

type leaseList struct {
	cli *CLI
}

// Execute lists, for each primary, how many entries hold a lease and how long
// the last of these leases remains valid.
func (c *leaseList) Execute([]string) error {
	return c.cli.sendStatus(func(s *node.Status) {
		t := newTable(c.cli.Stdout, "SERVICE", "PRIMARY", "EPOCH", "HOLDERS", "LEFT", "PHASE")
		for _, v := range s.Services {
			t.addRow(v.Service.ID, v.Primary.Instance, v.Primary.Epoch, v.LeaseHolders, v.LeaseLeft, v.Phase)
		}
		t.flush()
	})
}
