package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/juju/errors"

	"github.com/kingcupknot/kingcupknot/measure"
	"github.com/kingcupknot/kingcupknot/workload"
)

type loadCommand struct {
	factOptions
	Out      string        `long:"out" required:"true" description:"File for the operations"`
	Entry    []string      `long:"entry" required:"true" description:"IP:PORT of an entry; repeatable"`
	Service  []string      `long:"service" required:"true" description:"Service to use; repeatable"`
	Duration time.Duration `long:"duration" default:"5s" description:"How long requests are started"`
	Rate     float64       `long:"rate" default:"200" description:"Requests a second over all callers"`
	Callers  int           `long:"callers" default:"20" description:"Callers, each with one session"`
	Browse   float64       `long:"browse" description:"Share of browsing reads, 0 to 1"`
	Reads    float64       `long:"reads" description:"Share of own reads among the others, 0 for the usual mix"`
	MaxAge   time.Duration `long:"max-age" default:"500ms" description:"Age that browsing reads accept"`
	Deadline time.Duration `long:"deadline" description:"Deadline of each request, 0 for the usual one"`
	Stay     bool          `long:"stay" description:"Keep each session at one entry"`
	Mode     string        `long:"session-mode" default:"token" choice:"token" choice:"id" description:"How sessions are told apart"`
	Seed     uint64        `long:"seed" default:"1" description:"Seed of the draws"`
}

// Execute runs the callers and writes the operations to a file. It adds the
// counts of violations and of lost writes to the facts, and the ratio of
// requests sent, resends included, to operations. If all requests are browsing
// reads, it also adds the percentage of refusals that had a retry hint.
func (c *loadCommand) Execute([]string) error {
	r, err := workload.Run(context.Background(), workload.Options{
		Entries: c.Entry, Services: c.Service, Duration: c.Duration, Rate: c.Rate, Callers: c.Callers,
		BrowseShare: c.Browse, ReadShare: c.Reads, MaxAge: c.MaxAge, SwitchEntries: !c.Stay,
		Deadline: c.Deadline,
		Mode:     workload.SessionMode(c.Mode), Seed: c.Seed, User: "caller",
	})
	if err != nil {
		return errors.Trace(err)
	}
	if err := r.WriteReport(os.Stderr, false); err != nil {
		return errors.Trace(err)
	}
	v := r.Verdict
	lost := v.LostWrites
	violations := v.DuplicateWrites + v.StaleReads + v.MaxAgeViolations + v.UnwrittenValues + v.RefusedButPresent
	if v.SumMismatch {
		// A failover can't change the sum: a transfer that no replica has
		// received is lost as a whole.
		violations++
	}
	if err := c.addFact("violations", float64(violations)); err != nil {
		return err
	}
	if err := c.addFact("lost", float64(lost)); err != nil {
		return err
	}
	operations := float64(len(r.Operations))
	if operations > 0 {
		if err := c.addFact("sent-ratio", (operations+float64(r.Resends))/operations); err != nil {
			return err
		}
	}
	fmt.Fprintf(os.Stderr, "hinted %d, resent %d\n", r.RetryHints, r.Resends)
	if s := r.Summary(); c.Browse == 1 && s.Refused > 0 {
		if err := c.addFact("browse-hinted", float64(r.RetryHints)/float64(s.Refused)*percent); err != nil {
			return err
		}
	}
	return measure.WriteOperations(c.Out, r)
}

const percent = 100
