// Package program is what the mains of the repository share: flags, signals
// and exit codes.
package program

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
)

// Exit codes of all programs but the operators' command line, which has more.
const (
	ExitOK     = 0
	ExitFailed = 1
	ExitUsage  = 2
)

// Main reads the flags into options and runs a program. It does not return.
// The error of a run is printed behind the program's name.
func Main(name string, options any, run func() error) {
	if _, err := flags.Parse(options); err != nil {
		if flags.WroteHelp(err) {
			os.Exit(ExitOK)
		}
		os.Exit(ExitUsage)
	}
	if err := run(); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
		os.Exit(ExitFailed)
	}
	os.Exit(ExitOK)
}

// Signals returns a channel that gets SIGTERM and the interrupt of a terminal.
func Signals() <-chan os.Signal {
	c := make(chan os.Signal, 2)
	signal.Notify(c, syscall.SIGTERM, os.Interrupt)
	return c
}
