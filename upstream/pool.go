// Package upstream keeps the connections to upstreams. It opens, probes and
// closes them as the entry reducer says and tells it what came of that.
package upstream

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/node"
	"github.com/kingcupknot/kingcupknot/wire"
)

// applicationName is how the connections show up at upstreams.
const applicationName = "kingcupknot"

// Options are what a Pool is made of.
type Options struct {
	// Feed gives an input to the reducer. It may be called from any
	// goroutine.
	Feed       func(node.Input)
	Now        func() catalog.Instant
	Statements catalog.Statements
	User       string
	Password   string
	// Database is the database at the upstreams; empty takes the service's
	// name.
	Database string
	Log      logr.Logger
}

// Pool holds the connections that the reducer asked for.
type Pool struct {
	options Options

	mu    sync.Mutex
	conns map[catalog.ConnID]*slot
}

// slot is a connection from OpenConn to ConnLost.
type slot struct {
	// conn is nil while the connection is being opened.
	conn *Conn
	// abort ends the attempt to open.
	abort context.CancelFunc
}

// NewPool returns a pool without connections.
func NewPool(o Options) *Pool {
	return &Pool{options: o, conns: make(map[catalog.ConnID]*slot)}
}

// Statements returns what the pool says to upstreams.
func (p *Pool) Statements() catalog.Statements {
	return p.options.Statements
}

// Open carries out the effect.
func (p *Pool) Open(e node.OpenConn) {
	ctx, cancel := p.until(e.Deadline)
	p.mu.Lock()
	p.conns[e.Conn] = &slot{abort: cancel}
	p.mu.Unlock()
	go p.open(ctx, cancel, e)
}

func (p *Pool) open(ctx context.Context, cancel context.CancelFunc, e node.OpenConn) {
	defer cancel()
	database := p.options.Database
	if database == "" {
		database = string(e.Service)
	}
	h, err := dial(ctx, login{e.Address, p.options.User, p.options.Password, database, applicationName})
	if err != nil {
		p.forget(e.Conn)
		evidence := evidenceOf(err)
		if ctx.Err() == context.Canceled {
			evidence = wire.EvidenceNone
		}
		p.options.Log.V(1).Info("upstream: connection failed", "instance", e.Instance, "error", err.Error())
		p.options.Feed(node.ConnLost{Conn: e.Conn, Evidence: evidence})
		return
	}
	c := newConn(e.Conn, h, e.Address, func(evidence wire.Evidence) {
		p.forget(e.Conn)
		p.options.Feed(node.ConnLost{Conn: e.Conn, Evidence: evidence})
	})
	p.mu.Lock()
	aborted := ctx.Err() == context.Canceled
	p.conns[e.Conn].conn = c
	p.mu.Unlock()
	if aborted {
		c.Discard(nil)
		return
	}
	p.options.Feed(node.ConnOpened{Conn: e.Conn})
	c.Park()
}

// Close carries out the effect. A connection in use is interrupted; its user
// lets go of it.
func (p *Pool) Close(e node.CloseConn) {
	p.mu.Lock()
	s, ok := p.conns[e.Conn]
	if ok && s.conn == nil {
		s.abort()
	}
	p.mu.Unlock()
	if ok && s.conn != nil {
		go s.conn.Interrupt()
	}
}

// Conn returns a connection, or nil if it is not open.
func (p *Pool) Conn(id catalog.ConnID) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.conns[id]
	if !ok {
		return nil
	}
	return s.conn
}

// Probe carries out the effect.
func (p *Pool) Probe(e node.Probe) {
	go p.probe(e)
}

func (p *Pool) probe(e node.Probe) {
	done := node.ProbeDone{Conn: e.Conn, SentAt: p.options.Now()}
	c := p.Conn(e.Conn)
	if c == nil || c.Take() != nil {
		// ConnLost tells the reducer what is known.
		p.options.Feed(done)
		return
	}
	c.SetDeadline(p.wallTime(e.Deadline))
	done.SentAt = p.options.Now()
	c.Send(&pgproto3.Query{String: p.options.Statements.Status})
	_, err := c.Flush()
	var status Status
	var refused error
	if err == nil {
		status, err, refused = c.ReceiveStatus()
	}
	if err != nil {
		done.Evidence = evidenceOf(err)
		p.options.Feed(done)
		c.Discard(err)
		return
	}
	c.SetDeadline(time.Time{})
	done.Evidence = wire.EvidenceAlive
	if refused == nil {
		done.Role, done.Position, done.Received = status.Role, status.Position, status.ReceivedOffset
	}
	p.options.Feed(done)
	c.Park()
}

// Shut closes all connections.
func (p *Pool) Shut() {
	p.mu.Lock()
	ids := make([]catalog.ConnID, 0, len(p.conns))
	for id := range p.conns {
		ids = append(ids, id)
	}
	p.mu.Unlock()
	for _, id := range ids {
		p.Close(node.CloseConn{Conn: id})
	}
}

func (p *Pool) forget(id catalog.ConnID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, id)
}

// wallTime turns an instant into the time that the network library wants.
func (p *Pool) wallTime(at catalog.Instant) time.Time {
	return time.Now().Add(at.Sub(p.options.Now()))
}

func (p *Pool) until(at catalog.Instant) (context.Context, context.CancelFunc) {
	return context.WithDeadline(context.Background(), p.wallTime(at))
}
