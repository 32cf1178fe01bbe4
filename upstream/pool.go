// Package upstream keeps the connections to upstreams. It opens, probes and
// closes them as the effects of the entry reducer request, and feeds the results
// back to the reducer as inputs.
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

// applicationName is the application_name of the pool's connections.
const applicationName = "kingcupknot"

// Options configure a Pool or a Surveyor.
type Options struct {
	// Feed passes an input to the reducer. It may be called from any
	// goroutine.
	Feed func(node.Input)
	// Now returns the current instant of the reducer's clock.
	Now func() catalog.Instant
	// Statements are the texts of the status query, the promotion and the
	// redirection of an upstream.
	Statements catalog.Statements
	User       string
	Password   string
	// Database is the name of the database at the upstreams. If it is empty,
	// the service's id is used.
	Database string
	Log      logr.Logger
}

// Pool holds the connections that the reducer has requested with OpenConn.
type Pool struct {
	options Options

	mu    sync.Mutex
	conns map[catalog.ConnID]*pooledConn
}

// pooledConn is a connection between OpenConn and ConnLost.
type pooledConn struct {
	// conn is nil while the connection is being opened.
	conn *Conn
	// cancelOpen cancels the attempt to open the connection.
	cancelOpen context.CancelFunc
}

// NewPool returns a pool without connections.
func NewPool(o Options) *Pool {
	return &Pool{options: o, conns: make(map[catalog.ConnID]*pooledConn)}
}

// Statements returns the statements of the options, such as the status query.
func (p *Pool) Statements() catalog.Statements {
	return p.options.Statements
}

// Open starts to open a connection. The reducer gets ConnOpened or ConnLost.
func (p *Pool) Open(e node.OpenConn) {
	ctx, cancel := p.contextWithDeadline(e.Deadline)
	p.mu.Lock()
	p.conns[e.Conn] = &pooledConn{cancelOpen: cancel}
	p.mu.Unlock()
	go p.open(ctx, cancel, e)
}

func (p *Pool) open(ctx context.Context, cancel context.CancelFunc, e node.OpenConn) {
	defer cancel()
	database := p.options.Database
	if database == "" {
		database = string(e.Service)
	}
	hijacked, err := dialAndHijack(ctx, loginParams{e.Address, p.options.User, p.options.Password, database, applicationName})
	if err != nil {
		p.remove(e.Conn)
		evidence := evidenceFromError(err)
		if ctx.Err() == context.Canceled {
			evidence = wire.EvidenceNone
		}
		p.options.Log.V(1).Info("Opening an upstream connection failed.", "instance", e.Instance, "error", err.Error())
		p.options.Feed(node.ConnLost{Conn: e.Conn, Evidence: evidence})
		return
	}
	c := newConn(e.Conn, hijacked, e.Address, func(evidence wire.Evidence) {
		p.remove(e.Conn)
		p.options.Feed(node.ConnLost{Conn: e.Conn, Evidence: evidence})
	})
	p.mu.Lock()
	canceled := ctx.Err() == context.Canceled
	p.conns[e.Conn].conn = c
	p.mu.Unlock()
	if canceled {
		c.Discard(nil)
		return
	}
	p.options.Feed(node.ConnOpened{Conn: e.Conn})
	c.Release()
}

// Close closes a connection or cancels the attempt to open it. A connection in
// use is interrupted and its user discards it. The reducer gets ConnLost.
func (p *Pool) Close(e node.CloseConn) {
	p.mu.Lock()
	pooled, ok := p.conns[e.Conn]
	if ok && pooled.conn == nil {
		pooled.cancelOpen()
	}
	p.mu.Unlock()
	if ok && pooled.conn != nil {
		go pooled.conn.Interrupt()
	}
}

// Conn returns the connection with the id, or nil if it is not open.
func (p *Pool) Conn(id catalog.ConnID) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	pooled, ok := p.conns[id]
	if !ok {
		return nil
	}
	return pooled.conn
}

// Probe starts a status query on an open connection. The reducer gets
// ProbeDone.
func (p *Pool) Probe(e node.Probe) {
	go p.probe(e)
}

func (p *Pool) probe(e node.Probe) {
	done := node.ProbeDone{Conn: e.Conn, SentAt: p.options.Now()}
	c := p.Conn(e.Conn)
	if c == nil || c.Acquire() != nil {
		// ProbeDone carries no evidence here, because ConnLost reports the
		// evidence for a lost connection.
		p.options.Feed(done)
		return
	}
	c.SetDeadline(p.wallTime(e.Deadline))
	done.SentAt = p.options.Now()
	c.Send(&pgproto3.Query{String: p.options.Statements.Status})
	_, err := c.Flush()
	var status Status
	var statusErr error
	if err == nil {
		status, err, statusErr = c.ReceiveStatus()
	}
	if err != nil {
		done.Evidence = evidenceFromError(err)
		p.options.Feed(done)
		c.Discard(err)
		return
	}
	c.SetDeadline(time.Time{})
	done.Evidence = wire.EvidenceAlive
	if statusErr == nil {
		done.Role, done.Position, done.Received = status.Role, status.Position, status.ReceivedOffset
	}
	p.options.Feed(done)
	c.Release()
}

// CloseAll starts to close all connections and returns before they are closed.
func (p *Pool) CloseAll() {
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

func (p *Pool) remove(id catalog.ConnID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, id)
}

// wallTime converts an instant of Options.Now to wall-clock time.
func (p *Pool) wallTime(at catalog.Instant) time.Time {
	return time.Now().Add(at.Sub(p.options.Now()))
}

func (p *Pool) contextWithDeadline(at catalog.Instant) (context.Context, context.CancelFunc) {
	return context.WithDeadline(context.Background(), p.wallTime(at))
}
