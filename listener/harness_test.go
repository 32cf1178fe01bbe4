package listener

import (
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/node"
	"github.com/kingcupknot/kingcupknot/upstream"
)

// Names that the tests use.
const (
	testUser    = "postgres"
	testService = "postgres"
)

// driver stands in for the entry reducer: it opens a fixed number of
// connections to one upstream and runs requests on them in turn.
type driver struct {
	t       *testing.T
	address string
	size    int
	server  *Server
	pool    *upstream.Pool
	start   time.Time

	mu      sync.Mutex
	last    catalog.ConnID
	opening int
	idle    []catalog.ConnID
	known   map[catalog.ConnID]bool
	waiting []node.RequestArrived
	inputs  []node.Input
	// order changes a run, and verdict an answer, before it is carried out.
	order   func(*node.RunRequest)
	verdict func(node.RequestDone, *node.AnswerRequest)
}

func newDriver(t *testing.T, address string, size int, change func(*Options)) *driver {
	t.Helper()
	d := &driver{t: t, address: address, size: size, start: time.Now(), known: make(map[catalog.ConnID]bool)}
	now := func() catalog.Instant { return catalog.Instant(time.Since(d.start)) }
	d.pool = upstream.NewPool(upstream.Options{
		Feed: d.feed, Now: now, Statements: catalog.DefaultStatements(), User: testUser, Log: logr.Discard(),
	})
	o := Options{
		Address: "127.0.0.1:0", Feed: d.feed, Now: now, TokenKey: []byte("test key"),
		Pool: d.pool, Log: logr.Discard(),
	}
	if change != nil {
		change(&o)
	}
	server, err := New(o)
	if err != nil {
		t.Fatal(err)
	}
	d.server = server
	go func() { _ = server.Serve() }()
	t.Cleanup(func() { server.Close(); d.pool.CloseAll() })
	return d
}

func (d *driver) feed(in node.Input) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.inputs = append(d.inputs, in)
	switch e := in.(type) {
	case node.RequestArrived:
		d.arrived(e)
	case node.RequestDone:
		d.done(e)
	case node.RequestCanceled:
		d.withdrawn(e.Request)
	case node.ConnOpened:
		d.opening--
		d.known[e.Conn] = true
		d.idle = append(d.idle, e.Conn)
	case node.ConnLost:
		if !d.known[e.Conn] {
			d.opening--
		}
		delete(d.known, e.Conn)
		d.unidle(e.Conn)
	}
	d.dispatch()
}

func (d *driver) arrived(e node.RequestArrived) {
	if e.Kind != node.KindInTransaction {
		d.waiting = append(d.waiting, e)
		return
	}
	d.run(e.Request, e.HeldConn)
}

func (d *driver) run(r catalog.RequestID, c catalog.ConnID) {
	e := node.RunRequest{Request: r, Conn: c}
	if d.order != nil {
		d.order(&e)
	}
	d.server.DeliverRun(e)
}

func (d *driver) done(e node.RequestDone) {
	a := node.AnswerRequest{Request: e.Request, Floor: e.Position}
	if e.Outcome != node.OutcomeCompleted {
		a.Verdict, a.Reason = node.VerdictUnknown, "the upstream was lost"
	}
	if e.Outcome == node.OutcomeNotSent {
		a.Verdict, a.Reason, a.RetryAfter = node.VerdictNotRun, "no upstream", 120*time.Millisecond
	}
	if d.verdict != nil {
		d.verdict(e, &a)
	}
	if e.Reusable && !e.InTransaction && d.known[e.Conn] {
		d.idle = append(d.idle, e.Conn)
	}
	d.server.DeliverAnswer(a)
}

func (d *driver) withdrawn(id catalog.RequestID) {
	for i, w := range d.waiting {
		if w.Request == id {
			d.waiting = append(d.waiting[:i], d.waiting[i+1:]...)
			return
		}
	}
}

func (d *driver) unidle(id catalog.ConnID) {
	for i, c := range d.idle {
		if c == id {
			d.idle = append(d.idle[:i], d.idle[i+1:]...)
			return
		}
	}
}

func (d *driver) dispatch() {
	for len(d.waiting) > 0 && len(d.idle) > 0 {
		w, c := d.waiting[0], d.idle[0]
		d.waiting, d.idle = d.waiting[1:], d.idle[1:]
		d.run(w.Request, c)
	}
	for len(d.waiting) > d.opening && d.opening+len(d.known) < d.size {
		d.last++
		d.opening++
		d.pool.Open(node.OpenConn{
			Conn: d.last, Service: testService, Instance: "a", Address: d.address,
			Deadline: catalog.Instant(time.Since(d.start) + 5*time.Second),
		})
	}
}

// seen returns the inputs of one type that came so far.
func seen[T node.Input](d *driver) []T {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []T
	for _, in := range d.inputs {
		if e, ok := in.(T); ok {
			out = append(out, e)
		}
	}
	return out
}

// eventually waits until the condition holds.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatalf("not in time: %s", what)
}
