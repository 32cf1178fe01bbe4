package main

import (
	"fmt"
	"os"
	"time"

	"github.com/juju/errors"

	"github.com/kingcupknot/kingcupknot/history"
	"github.com/kingcupknot/kingcupknot/measure"
)

type gapsCommand struct {
	factOptions
	Operations string `long:"operations" required:"true" description:"File of operations"`
	Marks      string `long:"marks" required:"true" description:"File of marks"`
}

func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}

// Execute adds the figures of each mark in the file of marks.
func (c *gapsCommand) Execute([]string) error {
	operations, err := measure.ReadOperations(c.Operations)
	if err != nil {
		return errors.Trace(err)
	}
	marks, err := measure.ReadMarks(c.Marks)
	if err != nil {
		return errors.Trace(err)
	}
	for _, m := range marks {
		if err := c.addGap(operations, m); err != nil {
			return err
		}
	}
	return nil
}

// addGap adds the longest gap between acknowledged writes at a mark and,
// depending on the mark's row, the count of operations that were not
// acknowledged or the time until the goodput recovered.
func (c *gapsCommand) addGap(operations []measure.Operation, m measure.Mark) error {
	gap, found := measure.LongestWriteGap(operations, m)
	if !found {
		return errors.Errorf("no write follows the mark of %s at %s", m.Figure, m.At)
	}
	if err := c.addFact(m.Figure, milliseconds(gap)); err != nil {
		return err
	}
	switch m.Figure {
	case "gap-planned":
		return c.addFact("planned-not-done", float64(measure.CountUnacknowledged(operations, m)))
	case "gap-killed":
		recovery, found := measure.RecoveryTime(operations, m)
		if !found {
			fmt.Fprintln(os.Stderr, "goodput did not come back after", m.At)
			recovery = time.Hour
		}
		return c.addFact("recovery", milliseconds(recovery))
	}
	return nil
}

type shareCommand struct {
	factOptions
	Operations string        `long:"operations" required:"true" description:"File of operations"`
	Row        string        `long:"row" required:"true" description:"Row of the table"`
	Lag        time.Duration `long:"lag" required:"true" description:"Lag of the replicas"`
	Browse     bool          `long:"browse" description:"Take browsing reads, not reads of the own session"`
}

// Execute adds how many of the reads that were possible at replicas were served
// by replicas, in percent. It adds nothing if no read was possible at a replica.
func (c *shareCommand) Execute([]string) error {
	operations, err := measure.ReadOperations(c.Operations)
	if err != nil {
		return errors.Trace(err)
	}
	kind := history.KindRegisterRead
	if c.Browse {
		kind = history.KindBrowse
	}
	served, possible := measure.ReplicaReadShare(operations, c.Lag, kind)
	fmt.Fprintf(os.Stderr, "%s: %d of %d\n", c.Row, served, possible)
	if possible == 0 {
		return nil
	}
	return c.addFact(c.Row, float64(served)/float64(possible)*percent)
}

type overloadCommand struct {
	factOptions
	Unloaded string `long:"unloaded" required:"true" description:"Bookings without browsing"`
	Loaded   string `long:"loaded" required:"true" description:"Bookings while browsing runs"`
	Browsing string `long:"browsing" required:"true" description:"The browsing"`
}

// Execute adds the 99th percentiles of bookings with and without browsing,
// their ratio, and the ratio of browsing reads sent to those acknowledged. If
// browsing reads were refused, it also adds the latency of the refusals.
func (c *overloadCommand) Execute([]string) error {
	var p99 [2]time.Duration
	for n, name := range []string{c.Unloaded, c.Loaded} {
		operations, err := measure.ReadOperations(name)
		if err != nil {
			return errors.Trace(err)
		}
		p99[n], _ = measure.LatencyQuantile(operations, 0.99, history.OutcomeAcknowledged,
			history.KindBooking, history.KindTransfer)
	}
	browsing, err := measure.ReadOperations(c.Browsing)
	if err != nil {
		return errors.Trace(err)
	}
	_, acknowledged := measure.LatencyQuantile(browsing, 0.5, history.OutcomeAcknowledged, history.KindBrowse)
	refusedP50, refused := measure.LatencyQuantile(browsing, 0.5, history.OutcomeRefused, history.KindBrowse)
	refusedP99, _ := measure.LatencyQuantile(browsing, 0.99, history.OutcomeRefused, history.KindBrowse)
	rows := map[string]float64{
		"p99-unloaded": milliseconds(p99[0]), "p99-loaded": milliseconds(p99[1]),
		"p99-ratio":      float64(p99[1]) / float64(max(p99[0], 1)),
		"browse-offered": float64(len(browsing)) / float64(max(acknowledged, 1)),
	}
	if refused > 0 {
		rows["browse-refused-p50"], rows["browse-refused-p99"] = milliseconds(refusedP50), milliseconds(refusedP99)
	}
	for row, value := range rows {
		if err := c.addFact(row, value); err != nil {
			return err
		}
	}
	return nil
}
