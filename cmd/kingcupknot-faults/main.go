// Kingcupknot-faults checks the status of a running system, makes its relays
// and stand-ins inject faults, and resends requests under their ids. It starts
// and ends no processes; the scripts do.
package main

import (
	"fmt"
	"io"
	"os"
	"sort"
	"strings"
)

// command is a subcommand; it prints its result.
type command struct {
	usage string
	// minArgs is the lowest number of arguments that run accepts.
	minArgs int
	run     func(args []string) error
}

var commands = map[string]command{
	"leader":     {"leader < STATUS: the control leader's VM", 0, printLeader},
	"primary":    {"primary SERVICE < STATUS: the instance that is its ready primary", 1, printPrimary},
	"version":    {"version < STATUS: the version in force", 0, printVersion},
	"settled":    {"settled SERVICE... < STATUS: exit 0 once all members and entries and the services' primaries are well", 1, checkSettled},
	"caught":     {"caught VM < STATUS: exit 0 once the control VM votes and is caught up", 1, checkCaughtUp},
	"once":       {"once CHANGE... < HISTORY: exit 0 if each change is there exactly once", 1, checkHistory},
	"post":       {"post URL...: POST to each", 1, post},
	"cut":        {"cut IP:PORT TEXT: cut a relay's routes whose names hold the text", 2, cutRoutes},
	"heal":       {"heal IP:PORT TEXT: heal them", 2, healRoutes},
	"statements": {"statements IP:PORT: what a stand-in ran, by kind", 1, printStatements},
	"resend":     {"resend DURATION SEED SERVICE ENTRY...: increments sent twice at once under one id; exit 1 if one ran twice or was lost", 4, runResend},
	"verdict":    {"verdict REPORT: operations and violations; exit 1 if there are some, 2 if it can't be read", 1, checkReportFile},
}

// exitUsage is the exit code for wrong usage and for all errors other than a
// violation.
const exitUsage = 2

func main() {
	if len(os.Args) < 2 {
		usage(os.Stderr)
		os.Exit(exitUsage)
	}
	c, ok := commands[os.Args[1]]
	if !ok || len(os.Args)-2 < c.minArgs {
		usage(os.Stderr)
		os.Exit(exitUsage)
	}
	if err := c.run(os.Args[2:]); err != nil {
		fmt.Fprintf(os.Stderr, "faults: %s: %s\n", os.Args[1], err)
		os.Exit(exitCode(err))
	}
}

func usage(w io.Writer) {
	var lines []string
	for _, c := range commands {
		lines = append(lines, "  kingcupknot-faults "+c.usage)
	}
	sort.Strings(lines)
	fmt.Fprintln(w, strings.Join(lines, "\n"))
}
