// Package workload runs callers against entries, records what they were told
// and checks it afterwards.
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

// SessionMode says how a caller tells entries who it is.
type SessionMode string

// Session modes.
const (
	// SessionToken gives the session's id and the token last received.
	SessionToken SessionMode = "token"
	// SessionID gives the session's id alone.
	SessionID SessionMode = "id"
	// SessionConnection gives nothing; the session is the connection.
	SessionConnection SessionMode = "connection"
)

const (
	// requestTimeout bounds a request; the hint to the entry is shorter.
	requestTimeout = 5 * time.Second
	// settleDelay is the wait between the last request and reading back.
	settleDelay = time.Second
	// tableTimeout bounds setting up and reading back.
	tableTimeout = 30 * time.Second
	// initialBalance is what each account starts with.
	initialBalance = 1000
)

// Options set up a run.
type Options struct {
	// Entries are the IP:PORT addresses to connect to.
	Entries  []string
	Services []string
	Duration time.Duration
	// Rate is how many requests start each second, over all callers.
	Rate    float64
	Callers int
	// BrowseShare is the share of requests that are browsing reads, 0 to 1.
	BrowseShare float64
	// ReadShare is the share of the requests other than browsing that only read
	// what the session wrote, 0 for the usual mix.
	ReadShare float64
	// MaxAge is the age that browsing reads accept.
	MaxAge time.Duration
	// Deadline is what requests tell the entry, zero for the usual one.
	Deadline time.Duration
	// SwitchEntries sends each request of a session to a random entry.
	SwitchEntries bool
	Mode          SessionMode
	Seed          uint64
	User          string
	Password      string
}

// Result is what a run gave.
type Result struct {
	// Start is the instant that the operations' times count from.
	Start time.Time
	// Resends counts sendings beyond the first of a request, Hinted the
	// refusals that said when to come back.
	Resends    int
	RetryHints int
	Operations []history.Operation
	Verdict    history.Verdict
}

// run is one run in progress.
type run struct {
	options Options
	// id keeps the rows of two runs apart.
	id    string
	start time.Time

	resends    atomic.Int64
	retryHints atomic.Int64

	mu         sync.Mutex
	operations []history.Operation
}

// Run sets up the rows, runs the callers, and checks what they were told.
func Run(ctx context.Context, o Options) (Result, error) {
	if len(o.Entries) == 0 || len(o.Services) == 0 || o.Callers < 1 || o.Rate <= 0 {
		return Result{}, errors.New("entries, services, callers and a rate are needed")
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

// forEachCaller runs do for all callers side by side and returns the first error.
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
