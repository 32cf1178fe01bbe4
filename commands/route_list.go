package commands

import (
	"github.com/jessevdk/go-flags"

	"github.com/kingcupknot/kingcupknot/node"
)

func init() {
	register("route list", "List the routes in force", func(cli *CLI) flags.Commander {
		return &routeList{cli: cli}
	})
}

type routeList struct {
	cli *CLI
}

// Execute lists the routes: the database names that callers use, with their
// services and limits.
func (c *routeList) Execute([]string) error {
	return c.cli.send(node.Command{Settings: &node.SettingsQuery{}}, func(r node.Reply) {
		t := newTable(c.cli.Stdout, "DATABASE", "SERVICE", "READS", "MAX-AGE", "TIMEOUT", "OBJECTIVE", "PRIORITY")
		for _, v := range r.Routes {
			t.addRow(v.Database, v.Service, v.Reads, v.MaxAge, v.Timeout, v.Objective, v.Priority)
		}
		t.flush()
	})
}
