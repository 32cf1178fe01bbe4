package commands

import (
	"github.com/jessevdk/go-flags"
)

func init() {
	register("upstream list", "List the upstreams", func(d *CLI) flags.Commander {
		return &upstreamList{desk: d}
	})
}

type upstreamList struct {
	desk *CLI
}

// Execute lists the upstreams that announced themselves.
func (c *upstreamList) Execute([]string) error {
	return c.desk.sendStatus(c.desk.showUpstreams)
}
