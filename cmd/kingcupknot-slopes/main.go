// Kingcupknot-slopes measures how the cost of each role grows with the size of
// the system.
package main

import (
	"io"
	"os"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/juju/errors"

	"github.com/kingcupknot/kingcupknot/capacity"
)

type options struct {
	Quick bool   `long:"quick" description:"Measure fewer and smaller points."`
	JSON  string `long:"json" value-name:"FILE" description:"Write the report as JSON."`
	Text  string `long:"text" value-name:"FILE" description:"Write the tables to a file, too."`
	From  string `long:"from" value-name:"FILE" description:"Derive the figures from a report instead of measuring."`

	Recover recoverCommand `command:"recover" description:"Play the loss of control's leader and of most entries, at several sizes."`

	Fleet fleetCommand `command:"fleet" description:"Play the start of a fleet and changes of its configuration, and print what they cost control."`

	Scarcity scarcityCommand `command:"scarcity" description:"Play a service whose replicas are all far behind, so that its primary is asked for more than it can run."`
}

func main() {
	var o options
	parser := flags.NewParser(&o, flags.Default)
	parser.SubcommandsOptional = true
	if _, err := parser.Parse(); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(2)
	}
	if parser.Active != nil {
		return
	}
	if err := run(o, os.Stdout); err != nil {
		_, _ = os.Stderr.WriteString("slopes: " + err.Error() + "\n")
		os.Exit(1)
	}
}

func run(o options, out io.Writer) error {
	r, err := buildReport(o)
	if err != nil {
		return errors.Trace(err)
	}
	if err := r.WriteText(out); err != nil {
		return errors.Trace(err)
	}
	if o.JSON != "" {
		if err := writeFile(o.JSON, r.WriteJSON); err != nil {
			return errors.Trace(err)
		}
	}
	if o.Text != "" {
		return errors.Trace(writeFile(o.Text, r.WriteText))
	}
	return nil
}

// buildReport reads the report given by --from, or else takes the measurements.
func buildReport(o options) (capacity.Report, error) {
	if o.From == "" {
		r, err := capacity.Measure(capacity.Plan{Quick: o.Quick}, time.Now())
		return r, errors.Trace(err)
	}
	f, err := os.Open(o.From)
	if err != nil {
		return capacity.Report{}, errors.Trace(err)
	}
	defer f.Close()
	r, err := capacity.ReadReport(f)
	return r, errors.Trace(err)
}

func writeFile(name string, write func(io.Writer) error) error {
	f, err := os.Create(name)
	if err != nil {
		return errors.Trace(err)
	}
	if err := write(f); err != nil {
		f.Close()
		return errors.Trace(err)
	}
	return errors.Trace(f.Close())
}
