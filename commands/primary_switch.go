package commands

import (
	"github.com/jessevdk/go-flags"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/node"
)

func init() {
	register("primary switch", "Plan a change of primary", func(cli *CLI) flags.Commander {
		return &primarySwitch{cli: cli}
	})
}

type primarySwitch struct {
	cli  *CLI
	To   catalog.InstanceID `long:"to" value-name:"UPSTREAM" description:"the new primary (default: the replica that is furthest on)"`
	Args struct {
		Service catalog.ServiceID `positional-arg-name:"SERVICE" required:"yes"`
	} `positional-args:"yes"`
}

// Execute requests a planned change of primary.
func (c *primarySwitch) Execute([]string) error {
	return c.cli.sendChange(node.Command{Switch: &node.SwitchPrimary{Service: c.Args.Service, Instance: c.To}})
}
