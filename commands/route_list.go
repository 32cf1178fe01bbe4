package commands

import (
	"github.com/jessevdk/go-flags"

	"github.com/kingcupknot/kingcupknot/node"
)

func init() {
	register("route list", "List the routes in force", func(d *CLI) flags.Commander {
		return &routeList{desk: d}
	})
}

type routeList struct {
	desk *CLI
}

// Execute lists under which names callers reach the services.
func (c *routeList) Execute([]string) error {
	return c.desk.send(node.Command{Settings: &node.SettingsQuery{}}, func(r node.Reply) {
		t := newSheet(c.desk.Stdout, "DATABASE", "SERVICE", "READS", "MAX-AGE", "TIMEOUT", "OBJECTIVE", "PRIORITY")
		for _, v := range r.Routes {
			t.row(v.Database, v.Service, v.Reads, v.MaxAge, v.Timeout, v.Objective, v.Priority)
		}
		t.end()
	})
}
