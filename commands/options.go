package commands

import (
	"net/netip"
	"strings"
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/settings"
)

// AddressVariable is the environment variable that may list admin addresses,
// separated by commas.
const AddressVariable = "KINGCUPKNOT_ADDRESS"

// Options are the global options.
type Options struct {
	Addresses []string         `long:"address" value-name:"IP:PORT" description:"admin address of a VM; may be repeated (default: KINGCUPKNOT_ADDRESS, then the loopback settings)"`
	JSON      bool             `long:"json" description:"print JSON"`
	ChangeID  catalog.ChangeID `long:"change-id" value-name:"ID" description:"id of the change; a resend with the same id gets the first answer (default: random)"`
	IfVersion catalog.Version  `long:"if-version" value-name:"N" description:"change only if version N is in force"`
	Timeout   time.Duration    `long:"timeout" default:"10s" description:"how long to go on trying"`
}

// resolve fills in the addresses and checks them.
func (o *Options) resolve(getenv func(string) string) error {
	if len(o.Addresses) == 0 {
		if list := getenv(AddressVariable); list != "" {
			o.Addresses = strings.Split(list, ",")
		} else {
			s := settings.Default()
			o.Addresses = append(s.AdminAddresses(settings.RoleControl), s.AdminAddresses(settings.RoleEntry)...)
		}
	}
	for _, a := range o.Addresses {
		if _, err := netip.ParseAddrPort(a); err != nil {
			return usage("address " + a + " is not an IP address and a port, such as 127.0.0.1:7401")
		}
	}
	if o.Timeout <= 0 {
		return usage("timeout must be longer than zero")
	}
	return nil
}
