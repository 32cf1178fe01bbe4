// Package workload runs callers against entries, records their operations with
// the outcomes, and checks them after the run.
package workload

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/kingcupknot/kingcupknot/history"
)

// SessionMode is how a caller identifies its session to entries.
type SessionMode string

const (
	// SessionToken sends the session's id and the token last received.
	SessionToken SessionMode = "token"
	// SessionID sends the session's id alone.
	SessionID SessionMode = "id"
	// SessionConnection sends nothing: the connection is the session.
	SessionConnection SessionMode = "connection"
)

const (
	// requestTimeout bounds a request at the caller. The default deadline in
	// the hint to the entry is shorter.
	requestTimeout = 5 * time.Second
	// settleDelay is the wait between the last request and the reading of the
	// final state.
	settleDelay = time.Second
	// tableTimeout bounds the setup of a caller's rows, and the reading of the
	// final state.
	tableTimeout = 30 * time.Second
	// initialBalance is the balance of each account before the run.
	initialBalance = 1000
)

// Options configure a run.
type Options struct {
	// Entries are the IP:PORT addresses to connect to.
	Entries  []string
	Services []string
	Duration time.Duration
	// Rate is the number of requests per second, over all callers.
	Rate    float64
	Callers int
	// BrowseShare is the share of browsing reads among all requests, 0 to 1.
	BrowseShare float64
	// ReadShare is the share of reads of the session's own register among the
	// requests other than browsing, 0 to 1. The others follow the usual mix.
	ReadShare float64
	// MaxAge is the maximum staleness that browsing reads accept.
	MaxAge time.Duration
	// Deadline is the time that requests give the entry to answer; zero means
	// 2 s.
	Deadline time.Duration
	// SwitchEntries sends each request of a session to a random entry. It has
	// no effect in the mode SessionConnection.
	SwitchEntries bool
	Mode          SessionMode
	Seed          uint64
	User          string
	Password      string
}

// Result is the result of a run.
type Result struct {
	// Start is the time that the operations' times count from.
	Start time.Time
	// Resends counts the repeated attempts at bookings.
	Resends int
	// RetryHints counts the refusals with a hint when to retry.
	RetryHints int
	Operations []history.Operation
	Verdict    history.Verdict
}

// run is the state of a run in progress.
type run struct {
	options Options
	// id is part of the keys of all rows, to keep those of two runs apart.
	id    string
	start time.Time

	resends    atomic.Int64
	retryHints atomic.Int64

	mu         sync.Mutex
	operations []history.Operation
}

// Run inserts the rows, runs the callers, and checks their operations. If it
// can't read the final state, it returns the operations with the error.
func Run(ctx context.Context, o Options) (Result, error) {
	if len(o.Entries) == 0 || len(o.Services) == 0 || o.Callers < 1 || o.Rate <= 0 {
		return Result{}, errors.New("run options lack entries, services, callers or a rate")
	}
	r := &run{options: o, id: fmt.Sprintf("%d-%x", o.Seed, time.Now().UnixNano())}
	callers := make([]*caller, o.Callers)
	for i := range callers {
		callers[i] = newCaller(r, i)
	}
	if err := forEachCaller(callers, func(c *caller) error { return c.insertRows(ctx) }); err != nil {
		return Result{}, err
	}
	r.resends.Store(0)
	r.retryHints.Store(0)
	r.start = time.Now()
	_ = forEachCaller(callers, func(c *caller) error { c.runSchedule(ctx); return nil })
	for _, c := range callers {
		c.closeConns()
	}
	time.Sleep(settleDelay)
	final, err := r.readFinalState(ctx, callers)
	if err != nil {
		return Result{Operations: r.operations}, err
	}
	out := Result{Start: r.start, Operations: r.operations, Verdict: history.Check(r.operations, final)}
	out.Resends, out.RetryHints = int(r.resends.Load()), int(r.retryHints.Load())
	return out, nil
}

// forEachCaller calls do for all callers concurrently, waits for all, and
// returns the first error.
func forEachCaller(callers []*caller, do func(*caller) error) error {
	errs := make(chan error, len(callers))
	var running sync.WaitGroup
	for _, c := range callers {
		running.Go(func() {
			if err := do(c); err != nil {
				errs <- err
			}
		})
	}
	running.Wait()
	close(errs)
	return <-errs
}

func (r *run) record(o history.Operation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.operations = append(r.operations, o)
}

func (r *run) elapsed() time.Duration {
	return time.Since(r.start)
}

func (r *run) newRandom(i int) *rand.Rand {
	return rand.New(rand.NewPCG(r.options.Seed, uint64(i)+1))
}
