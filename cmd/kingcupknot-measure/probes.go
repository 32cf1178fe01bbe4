package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/juju/errors"

	"github.com/kingcupknot/kingcupknot/measure"
)

type statsCommand struct {
	factOptions
	Upstream    []string `long:"upstream" required:"true" description:"IP:PORT of an instance's HTTP; repeatable"`
	Entry       []string `long:"entry" description:"IP:PORT of an entry's HTTP; repeatable"`
	Connections int      `long:"connections" required:"true" description:"Limit of connections"`
	Slots       int      `long:"slots" required:"true" description:"Limit of statements"`
}

// Execute adds by how much the highest counts of connections and of statements
// among all instances exceed the limits; a negative value is below the limit.
// It also adds the count of refused connections and the ratio of executions to
// requests. It skips instances that do not answer, and adds no figure of them if
// none does.
func (c *statsCommand) Execute([]string) error {
	connections, executing, refused, answered := -c.Connections, -c.Slots, uint64(0), 0
	for _, a := range c.Upstream {
		s, err := measure.FetchStats(a)
		if err != nil {
			fmt.Fprintln(os.Stderr, a, "does not answer")
			continue
		}
		answered++
		connections = max(connections, s.PeakConnections-c.Connections)
		executing = max(executing, s.PeakExecuting-c.Slots)
		refused += s.RefusedConnections
	}
	if answered == 0 {
		return c.addRunRatio()
	}
	if err := c.addFact("connections-over", float64(connections)); err != nil {
		return err
	}
	if err := c.addFact("connections-refused", float64(refused)); err != nil {
		return err
	}
	if err := c.addFact("executing-over", float64(executing)); err != nil {
		return err
	}
	return c.addRunRatio()
}

// addRunRatio adds the ratio of executions, retries included, to requests of
// all entries that answer.
func (c *statsCommand) addRunRatio() error {
	requests, retries := 0.0, 0.0
	for _, a := range c.Entry {
		n, err := measure.FetchCounter(a, "requests")
		if err != nil {
			fmt.Fprintln(os.Stderr, a, "does not answer")
			continue
		}
		retried, err := measure.FetchCounter(a, "retries")
		if err != nil {
			return errors.Trace(err)
		}
		requests, retries = requests+n, retries+retried
	}
	if requests == 0 {
		return nil
	}
	return c.addFact("run-ratio", (requests+retries)/requests)
}

type holdCommand struct {
	factOptions
	Entry       string        `long:"entry" required:"true" description:"IP:PORT of the entry"`
	Service     string        `long:"service" required:"true" description:"Service to use"`
	Upstream    string        `long:"upstream" required:"true" description:"IP:PORT of the primary's HTTP"`
	Connections int           `long:"connections" required:"true" description:"Limit of connections"`
	Duration    time.Duration `long:"duration" default:"3s" description:"How long they are held"`
}

// Execute opens twice as many transactions as the limit of connections allows,
// holds them, and reads the primary's count of connections shortly before they
// end.
func (c *holdCommand) Execute([]string) error {
	startedCount := make(chan int, 1)
	go func() {
		startedCount <- measure.HoldTransactions(context.Background(), c.Entry, c.Service, 2*c.Connections, c.Duration)
	}()
	time.Sleep(c.Duration * 9 / 10)
	s, err := measure.FetchStats(c.Upstream)
	if err != nil {
		return errors.Trace(err)
	}
	started := <-startedCount
	fmt.Fprintf(os.Stderr, "%d transactions began, %d connections of %d\n", started, s.Connections, c.Connections)
	if err := c.addFact("limit-open", float64(s.Connections)/float64(c.Connections)*percent); err != nil {
		return err
	}
	return c.addFact("limit-use", float64(started)/float64(c.Connections)*percent)
}

type latencyCommand struct {
	factOptions
	Entry    string        `long:"entry" required:"true" description:"IP:PORT of the entry"`
	Direct   string        `long:"direct" required:"true" description:"IP:PORT of an instance"`
	Service  string        `long:"service" required:"true" description:"Service to use"`
	PID      int           `long:"pid" required:"true" description:"Process of the entry"`
	Conns    int           `long:"conns" default:"8" description:"Connections for the throughput"`
	Duration time.Duration `long:"duration" default:"1s" description:"How long each is measured"`
}

// Execute measures the latency that the entry adds to reads, as the difference
// of the medians through the entry and directly at the instance, and the
// entry's reads per second of processor time.
func (c *latencyCommand) Execute([]string) error {
	ctx := context.Background()
	for row, mode := range map[string]pgx.QueryExecMode{
		"added-simple": pgx.QueryExecModeSimpleProtocol, "added-extended": pgx.QueryExecModeCacheStatement,
	} {
		direct, err := measure.TimeReads(ctx, c.Direct, c.Service, mode, c.Duration)
		if err != nil {
			return errors.Annotate(err, "direct")
		}
		viaEntry, err := measure.TimeReads(ctx, c.Entry, c.Service, mode, c.Duration)
		if err != nil {
			return errors.Annotate(err, "through the entry")
		}
		added := measure.MedianLatency(viaEntry) - measure.MedianLatency(direct)
		fmt.Fprintln(os.Stderr, row, measure.MedianLatency(direct), measure.MedianLatency(viaEntry))
		if err := c.addFact(row, float64(added)/float64(time.Microsecond)); err != nil {
			return err
		}
	}
	before, err := measure.CPUTime(c.PID)
	if err != nil {
		return errors.Trace(err)
	}
	n := measure.CountConcurrentReads(ctx, c.Entry, c.Service, c.Conns, c.Duration)
	after, err := measure.CPUTime(c.PID)
	if err != nil || after == before {
		return errors.Trace(err)
	}
	return c.addFact("per-core", float64(n)/(after-before).Seconds())
}

type factCommand struct {
	factOptions
	Row   string  `long:"row" required:"true" description:"Row of the table"`
	Value float64 `long:"value" required:"true" description:"The value"`
}

// Execute adds the value to the facts.
func (c *factCommand) Execute([]string) error {
	return c.addFact(c.Row, c.Value)
}

type tableCommand struct {
	Facts string   `long:"facts" required:"true" description:"File of facts"`
	Note  string   `long:"note" description:"First line of the table"`
	User  []string `long:"user" description:"User to print; repeatable"`
}

// Execute prints the facts as a table.
func (c *tableCommand) Execute([]string) error {
	facts, err := measure.ReadSamples(c.Facts)
	if err != nil {
		return errors.Trace(err)
	}
	return measure.NewTable(c.Note, facts, c.User...).Print(os.Stdout)
}
