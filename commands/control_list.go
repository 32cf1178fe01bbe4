package commands

import "github.com/jessevdk/go-flags"

func init() {
	register("control list", "List the control VMs", func(d *CLI) flags.Commander {
		return &controlList{desk: d}
	})
}

type controlList struct {
	desk *CLI
}

// Execute lists the members of the agreement.
func (c *controlList) Execute([]string) error {
	return c.desk.sendStatus(c.desk.showMembers)
}
