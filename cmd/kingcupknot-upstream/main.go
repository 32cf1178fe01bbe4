// Kingcupknot-upstream is a stand-in database for tests and measurements.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/program"
	"github.com/kingcupknot/kingcupknot/standin"
)

type options struct {
	Service     string        `long:"service" required:"true" description:"Service the instance belongs to"`
	Instance    string        `long:"instance" required:"true" description:"Name of the instance"`
	Site        string        `long:"site" description:"Data centre of the instance"`
	Listen      string        `long:"listen" required:"true" description:"IP:PORT for PostgreSQL"`
	Admin       string        `long:"admin" description:"IP:PORT for HTTP"`
	Advertise   string        `long:"advertise" description:"IP:PORT to announce in place of --listen"`
	Primary     bool          `long:"primary" description:"Start as the primary"`
	Follow      string        `long:"follow" description:"PostgreSQL IP:PORT to replicate from"`
	Announce    []string      `long:"announce" description:"HTTP IP:PORT of a VM; repeatable"`
	Slots       int           `long:"slots" description:"Statements that run side by side; 0 for no limit"`
	Connections int           `long:"connections" description:"Most connections taken; 0 for no limit"`
	ConnectTime time.Duration `long:"connect-time" description:"Wait before a connection is accepted"`
	Lag         time.Duration `long:"lag" description:"Time from a commit to its replay on this instance"`
	Work        time.Duration `long:"work" description:"Time that a statement holds its slot"`
	User        string        `long:"user" description:"User that may connect when a password is set"`
	Password    string        `long:"password" description:"Password, demanded by SCRAM-SHA-256"`
}

func main() {
	var o options
	program.Main("upstream", &o, func() error { return run(o) })
}

func run(o options) error {
	if o.Primary == (o.Follow != "") {
		return fmt.Errorf("give one of --primary and --follow")
	}
	signals := program.Signals()
	s, err := standin.Start(standin.Options{
		Service:  catalog.ServiceID(o.Service),
		Instance: catalog.InstanceID(o.Instance),
		Site:     catalog.SiteID(o.Site),
		Listen:   o.Listen, Admin: o.Admin, Advertise: o.Advertise,
		FollowAddress: o.Follow, Announce: o.Announce,
		Slots: o.Slots, MaxConnections: o.Connections,
		ConnectTime: o.ConnectTime, Lag: o.Lag, Work: o.Work,
		User: o.User, Password: o.Password,
	})
	if err != nil {
		return err
	}
	fmt.Fprintf(os.Stderr, "upstream: %s listens on %s\n", o.Instance, s.Address)
	<-signals
	fmt.Fprintf(os.Stderr, "upstream: %s leaves\n", o.Instance)
	s.Shutdown()
	return nil
}
