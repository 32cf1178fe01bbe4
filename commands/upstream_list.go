package commands

import (
	"github.com/jessevdk/go-flags"
)

func init() {
	register("upstream list", "List the upstreams", func(d *Desk) flags.Commander {
		return &upstreamList{desk: d}
	})
}

type upstreamList struct {
	desk *Desk
}

// Execute lists the upstreams that announced themselves.
func (c *upstreamList) Execute([]string) error {
	return c.desk.sendStatus(c.desk.showUpstreams)
}
