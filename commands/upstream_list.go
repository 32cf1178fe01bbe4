package commands

import (
	"github.com/jessevdk/go-flags"
)

func init() {
	register("upstream list", "List the upstreams", func(cli *CLI) flags.Commander {
		return &upstreamList{cli: cli}
	})
}

type upstreamList struct {
	cli *CLI
}

// Execute lists the upstreams that have sent announcements.
func (c *upstreamList) Execute([]string) error {
	return c.cli.sendStatus(c.cli.showUpstreams)
}
