// Kingcupknot-measure puts load on entries, computes figures from the recorded
// operations and prints them as a table. It starts no processes;
// scripts/measure.sh does.
package main

import (
	"os"

	"github.com/jessevdk/go-flags"

	"github.com/kingcupknot/kingcupknot/measure"
)

// factOptions are the options that all commands share: the file of facts, and
// the user and policy that the facts are about.
type factOptions struct {
	Facts  string `long:"facts" required:"true" description:"File that facts are added to"`
	User   string `long:"user" required:"true" description:"User whose sizes are measured"`
	Policy string `long:"policy" default:"own" description:"Policy that is measured"`
}

// addFact appends the value of a row to the file of facts.
func (r factOptions) addFact(row string, value float64) error {
	return measure.AppendSamples(r.Facts, measure.Sample{User: r.User, Policy: r.Policy, Figure: row, Value: value})
}

func main() {
	p := flags.NewNamedParser("kingcupknot-measure", flags.Default)
	for _, c := range []struct {
		name, about string
		command     any
	}{
		{"load", "Run callers and write what they were told", &loadCommand{}},
		{"gaps", "Take the gaps at the marks of a row", &gapsCommand{}},
		{"share", "Take the share of reads that replicas served", &shareCommand{}},
		{"overload", "Compare bookings with and without browsing", &overloadCommand{}},
		{"stats", "Compare what instances saw with their limits", &statsCommand{}},
		{"hold", "Hold transactions at one entry and take the use of the limit", &holdCommand{}},
		{"latency", "Take the latency that an entry adds", &latencyCommand{}},
		{"fact", "Add one value", &factCommand{}},
		{"table", "Print the table", &tableCommand{}},
	} {
		if _, err := p.AddCommand(c.name, c.about, "", c.command); err != nil {
			panic(err)
		}
	}
	if _, err := p.Parse(); err != nil && !flags.WroteHelp(err) {
		os.Exit(1)
	}
}
