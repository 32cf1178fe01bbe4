package commands

import (
	"github.com/jessevdk/go-flags"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/node"
)

func init() {
	register("upstream drain", "Keep new work from an upstream, or let it back", func(cli *CLI) flags.Commander {
		return &upstreamDrain{cli: cli}
	})
}

type upstreamDrain struct {
	cli  *CLI
	Off  bool `long:"off" description:"let the upstream have work again"`
	Args struct {
		Upstream catalog.InstanceID `positional-arg-name:"UPSTREAM" required:"yes"`
	} `positional-args:"yes"`
}

// Execute requests the start or the end of an upstream's drain.
func (c *upstreamDrain) Execute([]string) error {
	return c.cli.sendChange(node.Command{Drain: &node.DrainUpstream{Instance: c.Args.Upstream, Off: c.Off}})
}
