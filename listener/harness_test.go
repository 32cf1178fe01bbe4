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

// The user and the service of the tests.
const (
	testUser    = "postgres"
	testService = "postgres"
)

// driver stands in for the entry's reducer. It opens a limited number of
// connections to one upstream and runs requests on them in order of arrival.
type driver struct {
	t        *testing.T
	address  string
	maxConns int
	server   *Server
	pool     *upstream.Pool
	start    time.Time

	mu       sync.Mutex
	lastConn catalog.ConnID
	opening  int
	idle     []catalog.ConnID
	opened   map[catalog.ConnID]bool
	waiting  []node.RequestArrived
	inputs   []node.Input
	// editRun changes a RunRequest before it is delivered, editAnswer an
	// AnswerRequest.
	editRun    func(*node.RunRequest)
	editAnswer func(node.RequestDone, *node.AnswerRequest)
}

func newDriver(t *testing.T, address string, maxConns int, change func(*Options)) *driver {
	t.Helper()
	d := &driver{t: t, address: address, maxConns: maxConns, start: time.Now(), opened: make(map[catalog.ConnID]bool)}
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
		d.handleArrival(e)
	case node.RequestDone:
		d.handleDone(e)
	case node.RequestCanceled:
		d.removeWaiting(e.Request)
	case node.ConnOpened:
		d.opening--
		d.opened[e.Conn] = true
		d.idle = append(d.idle, e.Conn)
	case node.ConnLost:
		if !d.opened[e.Conn] {
			d.opening--
		}
		delete(d.opened, e.Conn)
		d.removeIdle(e.Conn)
	}
	d.dispatch()
}

func (d *driver) handleArrival(e node.RequestArrived) {
	if e.Kind != node.KindInTransaction {
		d.waiting = append(d.waiting, e)
		return
	}
	d.run(e.Request, e.HeldConn)
}

func (d *driver) run(r catalog.RequestID, c catalog.ConnID) {
	e := node.RunRequest{Request: r, Conn: c}
	if d.editRun != nil {
		d.editRun(&e)
	}
	d.server.DeliverRun(e)
}

func (d *driver) handleDone(e node.RequestDone) {
	a := node.AnswerRequest{Request: e.Request, Floor: e.Position}
	if e.Outcome != node.OutcomeCompleted {
		a.Verdict, a.Reason = node.VerdictUnknown, "the upstream was lost"
	}
	if e.Outcome == node.OutcomeNotSent {
		a.Verdict, a.Reason, a.RetryAfter = node.VerdictNotRun, "no upstream", 120*time.Millisecond
	}
	if d.editAnswer != nil {
		d.editAnswer(e, &a)
	}
	if e.Reusable && !e.InTransaction && d.opened[e.Conn] {
		d.idle = append(d.idle, e.Conn)
	}
	d.server.DeliverAnswer(a)
}

func (d *driver) removeWaiting(id catalog.RequestID) {
	for i, w := range d.waiting {
		if w.Request == id {
			d.waiting = append(d.waiting[:i], d.waiting[i+1:]...)
			return
		}
	}
}

func (d *driver) removeIdle(id catalog.ConnID) {
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
	for len(d.waiting) > d.opening && d.opening+len(d.opened) < d.maxConns {
		d.lastConn++
		d.opening++
		d.pool.Open(node.OpenConn{
			Conn: d.lastConn, Service: testService, Instance: "a", Address: d.address,
			Deadline: catalog.Instant(time.Since(d.start) + 5*time.Second),
		})
	}
}

// inputsOf returns the inputs of one type that the driver has received.
func inputsOf[T node.Input](d *driver) []T {
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

// eventually waits until the condition holds and fails the test if it doesn't
// within five seconds.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("condition not met within five seconds: %s", what)
}
