package commands

import (
	"github.com/jessevdk/go-flags"

	"github.com/kingcupknot/kingcupknot/node"
)

func init() {
	register("service list", "List the services in force", func(d *CLI) flags.Commander {
		return &serviceList{desk: d}
	})
}

type serviceList struct {
	desk *CLI
}

// Execute lists the services.
func (c *serviceList) Execute([]string) error {
	return c.desk.send(node.Command{Settings: &node.SettingsQuery{}}, func(r node.Reply) {
		c.desk.showConfigured(r.Services)
	})
}
