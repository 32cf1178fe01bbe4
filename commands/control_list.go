package commands

import "github.com/jessevdk/go-flags"

func init() {
	register("control list", "List the control VMs", func(d *Desk) flags.Commander {
		return &controlList{desk: d}
	})
}

type controlList struct {
	desk *Desk
}

// Execute lists the members of the agreement.
func (c *controlList) Execute([]string) error {
	return c.desk.sendStatus(c.desk.showMembers)
}
