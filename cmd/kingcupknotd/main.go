// Kingcupknotd is the daemon on each VM of the system. Its settings say which
// role the VM has.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
	"github.com/juju/errors"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/daemon"
	"github.com/kingcupknot/kingcupknot/settings"
)

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

type options struct {
	Config    string `long:"config" value-name:"FILE" description:"base settings; the embedded ones if left out"`
	Overlay   string `long:"overlay" value-name:"FILE" description:"settings of the VM's site"`
	VM        string `long:"vm" value-name:"NAME" required:"yes" description:"the VM of the settings that this process is"`
	Data      string `long:"data" value-name:"FOLDER" description:"data folder, for the control role"`
	Bootstrap bool   `long:"bootstrap" description:"let an empty data folder start a new system; for the very first start only"`
}

func main() {
	os.Exit(run())
}

func run() int {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		var help *flags.Error
		if errors.As(err, &help) && help.Type == flags.ErrHelp {
			return exitOK
		}
		return exitUsage
	}
	s, err := load(o)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	vm, err := s.VM(catalog.VMID(o.VM))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	ctx, drain := watchSignals()
	err = daemon.Run(ctx, daemon.Options{Settings: s, VM: vm, Data: o.Data, Bootstrap: o.Bootstrap}, drain)
	if err != nil {
		fmt.Fprintln(os.Stderr, "kingcupknotd:", err)
		return exitFailed
	}
	return exitOK
}

func load(o options) (*settings.Settings, error) {
	if o.Config == "" {
		return settings.Default(), nil
	}
	s, findings := settings.Load(o.Config, o.Overlay)
	return s, findings.Err()
}

// watchSignals returns a channel that the first SIGTERM closes, and a context
// that the second one ends.
func watchSignals() (context.Context, <-chan struct{}) {
	ctx, cancel := context.WithCancel(context.Background())
	drain := make(chan struct{})
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-signals
		close(drain)
		<-signals
		cancel()
	}()
	return ctx, drain
}
