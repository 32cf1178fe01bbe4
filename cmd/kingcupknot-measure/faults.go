package main

import (
	"fmt"
	"os"
	"time"

	"github.com/juju/errors"

	"github.com/kingcupknot/kingcupknot/history"
	"github.com/kingcupknot/kingcupknot/measure"
)

type gaps struct {
	record
	Operations string `long:"operations" required:"true" description:"File of operations"`
	Marks      string `long:"marks" required:"true" description:"File of marks"`
}

func inMS(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}

// Execute takes the gap at each mark, and what else its row tells.
func (c *gaps) Execute([]string) error {
	operations, err := measure.Read(c.Operations)
	if err != nil {
		return errors.Trace(err)
	}
	marks, err := measure.ReadMarks(c.Marks)
	if err != nil {
		return errors.Trace(err)
	}
	for _, m := range marks {
		if err := c.take(operations, m); err != nil {
			return err
		}
	}
	return nil
}

func (c *gaps) take(operations []measure.Operation, m measure.Mark) error {
	gap, found := measure.Gap(operations, m)
	if !found {
		return errors.Errorf("no write follows the mark of %s at %s", m.Row, m.At)
	}
	if err := c.add(m.Row, inMS(gap)); err != nil {
		return err
	}
	switch m.Row {
	case "gap-planned":
		return c.add("planned-not-done", float64(measure.NotDone(operations, m)))
	case "gap-killed":
		back, found := measure.Recovery(operations, m)
		if !found {
			fmt.Fprintln(os.Stderr, "goodput did not come back after", m.At)
			back = time.Hour
		}
		return c.add("recovery", inMS(back))
	}
	return nil
}

type share struct {
	record
	Operations string        `long:"operations" required:"true" description:"File of operations"`
	Row        string        `long:"row" required:"true" description:"Row of the table"`
	Lag        time.Duration `long:"lag" required:"true" description:"Lag of the replicas"`
	Browse     bool          `long:"browse" description:"Take browsing reads, not reads of the own session"`
}

// Execute takes the share of one run.
func (c *share) Execute([]string) error {
	operations, err := measure.Read(c.Operations)
	if err != nil {
		return errors.Trace(err)
	}
	kind := history.KindRegisterRead
	if c.Browse {
		kind = history.KindBrowse
	}
	served, possible := measure.Share(operations, c.Lag, kind)
	fmt.Fprintf(os.Stderr, "%s: %d of %d\n", c.Row, served, possible)
	if possible == 0 {
		return nil
	}
	return c.add(c.Row, float64(served)/float64(possible)*percent)
}

type overload struct {
	record
	Unloaded string `long:"unloaded" required:"true" description:"Bookings without browsing"`
	Loaded   string `long:"loaded" required:"true" description:"Bookings while browsing runs"`
	Browsing string `long:"browsing" required:"true" description:"The browsing"`
}

// Execute compares the two runs of bookings.
func (c *overload) Execute([]string) error {
	var p99 [2]time.Duration
	for n, name := range []string{c.Unloaded, c.Loaded} {
		operations, err := measure.Read(name)
		if err != nil {
			return errors.Trace(err)
		}
		p99[n], _ = measure.Quantile(operations, 0.99, history.OutcomeAcknowledged,
			history.KindBooking, history.KindTransfer)
	}
	browsing, err := measure.Read(c.Browsing)
	if err != nil {
		return errors.Trace(err)
	}
	_, done := measure.Quantile(browsing, 0.5, history.OutcomeAcknowledged, history.KindBrowse)
	half, refused := measure.Quantile(browsing, 0.5, history.OutcomeRefused, history.KindBrowse)
	most, _ := measure.Quantile(browsing, 0.99, history.OutcomeRefused, history.KindBrowse)
	rows := map[string]float64{
		"p99-unloaded": inMS(p99[0]), "p99-loaded": inMS(p99[1]),
		"p99-ratio":      float64(p99[1]) / float64(max(p99[0], 1)),
		"browse-offered": float64(len(browsing)) / float64(max(done, 1)),
	}
	if refused > 0 {
		rows["browse-refused-p50"], rows["browse-refused-p99"] = inMS(half), inMS(most)
	}
	for row, value := range rows {
		if err := c.add(row, value); err != nil {
			return err
		}
	}
	return nil
}
