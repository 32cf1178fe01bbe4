package commands

import (
	"github.com/jessevdk/go-flags"

	"github.com/kingcupknot/kingcupknot/node"
)

func init() {
	register("service list", "List the services in force", func(cli *CLI) flags.Commander {
		return &serviceList{cli: cli}
	})
}

type serviceList struct {
	cli *CLI
}

// Execute lists the services in force with their limits.
func (c *serviceList) Execute([]string) error {
	return c.cli.send(node.Command{Settings: &node.SettingsQuery{}}, func(r node.Reply) {
		c.cli.showServiceLimits(r.Services)
	})
}
