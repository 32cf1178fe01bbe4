package commands

import "github.com/jessevdk/go-flags"

func init() {
	register("control list", "List the control VMs", func(cli *CLI) flags.Commander {
		return &controlList{cli: cli}
	})
}

type controlList struct {
	cli *CLI
}

// Execute lists the members of the control quorum.
func (c *controlList) Execute([]string) error {
	return c.cli.sendStatus(c.cli.showMembers)
}
