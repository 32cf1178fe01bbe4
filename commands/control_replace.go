package commands

import (
	"github.com/jessevdk/go-flags"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/node"
)

func init() {
	register("control replace", "Let the new incarnation of a control VM take the place of the old one",
		func(cli *CLI) flags.Commander { return &controlReplace{cli: cli} })
}

type controlReplace struct {
	cli         *CLI
	Incarnation catalog.Incarnation `long:"incarnation" value-name:"N" description:"the new incarnation; the one that asked to join if left out"`
	Args        struct {
		VM catalog.VMID `positional-arg-name:"VM" required:"yes"`
	} `positional-args:"yes"`
}

// Execute requests the replacement of a control VM's old incarnation.
func (c *controlReplace) Execute([]string) error {
	return c.cli.sendChange(node.Command{Replace: &node.ReplaceMember{
		VM: c.Args.VM, Incarnation: c.Incarnation,
	}})
}
