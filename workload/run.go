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
	// requestTime bounds a request; the hint to the entry is shorter.
	requestTime = 5 * time.Second
	// quiet is the wait between the last request and reading back.
	quiet = time.Second
	// backTime bounds setting up and reading back.
	backTime = 30 * time.Second
	// deposit is what each account starts with.
	deposit = 1000
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
	// Browse is the share of requests that are browsing reads, 0 to 1.
	Browse float64
	// Reads is the share of the requests other than browsing that only read
	// what the session wrote, 0 for the usual mix.
	ReadShare float64
	// MaxAge is the age that browsing reads accept.
	MaxAge time.Duration
	// Deadline is what requests tell the entry, zero for the usual one.
	Deadline time.Duration
	// Move sends each request of a session to a random entry.
	Move     bool
	Mode     SessionMode
	Seed     uint64
	User     string
	Password string
}

// Result is what a run gave.
type Result struct {
	// Start is the instant that the operations' times count from.
	Start time.Time
	// Resent counts sendings beyond the first of a request, Hinted the
	// refusals that said when to come back.
	Resent     int
	Hinted     int
	Operations []history.Operation
	Verdict    history.Verdict
}

// run is one run in progress.
type run struct {
	options Options
	// name keeps the rows of two runs apart.
	name  string
	start time.Time

	resent atomic.Int64
	hinted atomic.Int64

	mu         sync.Mutex
	operations []history.Operation
}

// Run sets up the rows, runs the callers, and checks what they were told.
func Run(ctx context.Context, o Options) (Result, error) {
	if len(o.Entries) == 0 || len(o.Services) == 0 || o.Callers < 1 || o.Rate <= 0 {
		return Result{}, errors.New("entries, services, callers and a rate are needed")
	}
	r := &run{options: o, name: fmt.Sprintf("%d-%x", o.Seed, time.Now().UnixNano())}
	callers := make([]*caller, o.Callers)
	for i := range callers {
		callers[i] = newCaller(r, i)
	}
	if err := each(callers, func(c *caller) error { return c.setUp(ctx) }); err != nil {
		return Result{}, err
	}
	r.resent.Store(0)
	r.hinted.Store(0)
	r.start = time.Now()
	_ = each(callers, func(c *caller) error { c.loop(ctx); return nil })
	for _, c := range callers {
		c.close()
	}
	time.Sleep(quiet)
	final, err := r.readBack(ctx, callers)
	if err != nil {
		return Result{Operations: r.operations}, err
	}
	out := Result{Start: r.start, Operations: r.operations, Verdict: history.Check(r.operations, final)}
	out.Resent, out.Hinted = int(r.resent.Load()), int(r.hinted.Load())
	return out, nil
}

// each runs do for all callers side by side and returns the first error.
func each(callers []*caller, do func(*caller) error) error {
	failed := make(chan error, len(callers))
	var all sync.WaitGroup
	for _, c := range callers {
		all.Go(func() {
			if err := do(c); err != nil {
				failed <- err
			}
		})
	}
	all.Wait()
	close(failed)
	return <-failed
}

func (r *run) record(o history.Operation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.operations = append(r.operations, o)
}

func (r *run) now() time.Duration {
	return time.Since(r.start)
}

func (r *run) random(i int) *rand.Rand {
	return rand.New(rand.NewPCG(r.options.Seed, uint64(i)+1))
}
