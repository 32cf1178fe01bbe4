// Package program holds the code that the repository's main packages share:
// flags, signals and exit codes.
package program

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
)

// Exit codes of all programs except the operators' command line, which defines
// its own in package commands.
const (
	ExitOK     = 0
	ExitFailed = 1
	ExitUsage  = 2
)

// Main parses the command line into options, calls run and exits the process.
// An error of run is printed to standard error with the program's name as
// prefix.
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

// Signals returns a channel that receives SIGTERM and SIGINT.
func Signals() <-chan os.Signal {
	c := make(chan os.Signal, 2)
	signal.Notify(c, syscall.SIGTERM, os.Interrupt)
	return c
}
