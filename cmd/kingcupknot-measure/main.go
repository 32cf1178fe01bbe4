// Kingcupknot-measure loads entries, reads what came of it and prints the table
// of figures. It starts no processes: scripts/measure.sh does.
package main

import (
	"os"

	"github.com/jessevdk/go-flags"

	"github.com/kingcupknot/kingcupknot/measure"
)

// record is where facts go.
type record struct {
	Facts  string `long:"facts" required:"true" description:"File that facts are added to"`
	User   string `long:"user" required:"true" description:"User whose sizes are measured"`
	Policy string `long:"policy" default:"own" description:"Policy that is measured"`
}

func (r record) add(row string, value float64) error {
	return measure.AppendSamples(r.Facts, measure.Fact{User: r.User, Policy: r.Policy, Row: row, Value: value})
}

func main() {
	p := flags.NewNamedParser("kingcupknot-measure", flags.Default)
	for _, c := range []struct {
		name, about string
		command     any
	}{
		{"load", "Run callers and write what they were told", &load{}},
		{"gaps", "Take the gaps at the marks of a row", &gaps{}},
		{"share", "Take the share of reads that replicas served", &share{}},
		{"overload", "Compare bookings with and without browsing", &overload{}},
		{"stats", "Compare what instances saw with their limits", &stats{}},
		{"hold", "Hold transactions at one entry and take the use of the limit", &hold{}},
		{"latency", "Take the latency that an entry adds", &latency{}},
		{"fact", "Add one value", &fact{}},
		{"table", "Print the table", &table{}},
	} {
		if _, err := p.AddCommand(c.name, c.about, "", c.command); err != nil {
			panic(err)
		}
	}
	if _, err := p.Parse(); err != nil && !flags.WroteHelp(err) {
		os.Exit(1)
	}
}
