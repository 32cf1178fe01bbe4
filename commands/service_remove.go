package commands

import (
	"github.com/jessevdk/go-flags"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/node"
)

func init() {
	register("service remove", "Remove a service", func(cli *CLI) flags.Commander {
		return &serviceRemove{cli: cli}
	})
}

type serviceRemove struct {
	cli  *CLI
	Args struct {
		Service catalog.ServiceID `positional-arg-name:"SERVICE" required:"yes"`
	} `positional-args:"yes"`
}

// Execute requests the removal of a service.
func (c *serviceRemove) Execute([]string) error {
	return c.cli.sendChange(node.Command{Remove: &node.RemoveService{Service: c.Args.Service}})
}
