package commands

import (
	"github.com/jessevdk/go-flags"

	"github.com/kingcupknot/kingcupknot/node"
)

func init() {
	register("config apply", "Put a file's services in force at every site", func(cli *CLI) flags.Commander {
		return &configApply{cli: cli}
	})
}

type configApply struct {
	cli  *CLI
	Args struct {
		Base string `positional-arg-name:"BASE" required:"yes"`
	} `positional-args:"yes"`
}

// Execute replaces the services in force with those of the base file.
func (c *configApply) Execute([]string) error {
	s, err := c.cli.loadSettings(c.Args.Base, "")
	if err != nil {
		return err
	}
	return c.cli.sendChange(node.Command{Apply: &node.ApplySettings{Services: s.Services}})
}
