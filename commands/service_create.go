package commands

import (
	"github.com/jessevdk/go-flags"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/node"
)

func init() {
	register("service create", "Create a service", func(cli *CLI) flags.Commander {
		return &serviceCreate{cli: cli}
	})
}

type serviceCreate struct {
	cli         *CLI
	Ack         catalog.AckMode `long:"ack" default:"primary" choice:"primary" choice:"replicated" description:"when a write is acknowledged"`
	Instances   int             `long:"instances" default:"3" description:"instances of the whole group"`
	Connections int             `long:"connections" required:"yes" description:"most connections of an instance"`
	Reserved    int             `long:"reserved" default:"2" description:"connections that control keeps for itself"`
	Slots       int             `long:"slots" required:"yes" description:"statements an instance runs side by side"`
	LocalShare  int             `long:"local-share" default:"0" description:"connections that each entry of the site holds without asking"`
	Args        struct {
		Service catalog.ServiceID `positional-arg-name:"SERVICE" required:"yes"`
	} `positional-args:"yes"`
}

// Execute checks the limits and requests a new service.
func (c *serviceCreate) Execute([]string) error {
	if c.Instances < 1 || c.Slots < 1 || c.Reserved < 0 || c.LocalShare < 0 {
		return usageError("instances and slots must be at least 1, reserved and local-share at least 0")
	}
	if c.Reserved >= c.Connections {
		return usageError("reserved must be less than connections")
	}
	return c.cli.sendChange(node.Command{Create: &node.CreateService{Service: catalog.Service{
		ID: c.Args.Service, Ack: c.Ack, Instances: c.Instances,
		Limits: catalog.Limits{
			Connections: c.Connections, Reserved: c.Reserved,
			Slots: c.Slots, LocalShare: c.LocalShare,
		},
	}}})
}
