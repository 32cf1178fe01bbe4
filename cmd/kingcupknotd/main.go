// Kingcupknotd is the daemon that runs on each VM of the system. The settings
// say whether the VM is an entry or a control VM.
package main

import (
	"context"

	"github.com/juju/errors"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/daemon"
	"github.com/kingcupknot/kingcupknot/program"
	"github.com/kingcupknot/kingcupknot/settings"
)

type options struct {
	Config    string `long:"config" value-name:"FILE" description:"base settings; the embedded ones if left out"`
	Overlay   string `long:"overlay" value-name:"FILE" description:"settings of the VM's site"`
	VM        string `long:"vm" value-name:"NAME" description:"the VM of the settings that this process is"`
	Platform  string `long:"platform" value-name:"FILE" description:"settings file of the users' platform, in place of the settings above"`
	Balance   bool   `long:"balance-sites" description:"with --platform: share scarce primaries by the sites' demand, and let reads leave a site that can't keep their objective"`
	Data      string `long:"data" value-name:"FOLDER" description:"data folder, for the control role"`
	Bootstrap bool   `long:"bootstrap" description:"let an empty data folder start a new system; for the very first start only"`
}

func main() {
	var o options
	program.Main("kingcupknotd", &o, func() error { return run(o) })
}

func run(o options) error {
	if o.Platform != "" {
		ctx, drain := watchSignals()
		return errors.Trace(daemon.RunHosted(ctx, daemon.HostedOptions{SettingsFile: o.Platform, BalanceSites: o.Balance}, drain))
	}
	if o.Balance {
		return errors.New("--balance-sites needs --platform")
	}
	if o.VM == "" {
		return errors.New("give --vm, the VM that this process is, or --platform")
	}
	s, err := loadSettings(o)
	if err != nil {
		return errors.Annotate(err, "settings")
	}
	vm, err := s.VM(catalog.VMID(o.VM))
	if err != nil {
		return errors.Annotate(err, "settings")
	}
	ctx, drain := watchSignals()
	return errors.Trace(daemon.Run(ctx, daemon.Options{
		Settings: s, VM: vm, DataFolder: o.Data, Bootstrap: o.Bootstrap,
	}, drain))
}

// loadSettings returns the settings files named by the options, or the embedded
// settings if there is no base file.
func loadSettings(o options) (*settings.Settings, error) {
	if o.Config == "" {
		return settings.Default(), nil
	}
	s, findings := settings.Load(o.Config, o.Overlay)
	return s, findings.Err()
}

// watchSignals returns a context and a channel. The first signal closes the
// channel, which starts a graceful stop; the second one cancels the context,
// which ends the daemon at once.
func watchSignals() (context.Context, <-chan struct{}) {
	ctx, cancel := context.WithCancel(context.Background())
	drain := make(chan struct{})
	signals := program.Signals()
	go func() {
		<-signals
		close(drain)
		<-signals
		cancel()
	}()
	return ctx, drain
}
