package commands

import (
	"github.com/jessevdk/go-flags"

	"github.com/kingcupknot/kingcupknot/node"
)

func init() {
	register("organisation list", "List the organisations in force", func(cli *CLI) flags.Commander {
		return &organisationList{cli: cli}
	})
}

type organisationList struct {
	cli *CLI
}

// Execute lists the organisations with their limits and whether they are limited
// now. Their keys are counted and never shown.
func (c *organisationList) Execute([]string) error {
	return c.cli.send(node.Command{Organisations: &node.OrganisationsQuery{}}, func(r node.Reply) {
		t := newTable(c.cli.Stdout, "ORGANISATION", "KEYS", "PRIORITY", "RATE", "BURST", "LIMITED")
		for _, v := range r.Organisations {
			t.addRow(v.ID, v.Keys, v.Priority, v.Rate, v.Burst, v.Limited)
		}
		t.flush()
	})
}
