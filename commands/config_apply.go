package commands

import (
	"github.com/jessevdk/go-flags"

	"github.com/kingcupknot/kingcupknot/node"
)

func init() {
	register("config apply", "Put a file's services in force at every site", func(d *CLI) flags.Commander {
		return &configApply{desk: d}
	})
}

type configApply struct {
	desk *CLI
	Args struct {
		Base string `positional-arg-name:"BASE" required:"yes"`
	} `positional-args:"yes"`
}

// Execute replaces the list of services.
func (c *configApply) Execute([]string) error {
	s, err := c.desk.load(c.Args.Base, "")
	if err != nil {
		return err
	}
	return c.desk.change(node.Command{Apply: &node.ApplySettings{Services: s.Services}})
}
