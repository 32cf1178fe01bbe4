package session

import (
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/node"
	"github.com/kingcupknot/kingcupknot/wire"
)

// Target is an upstream to connect to.
type Target struct {
	Service  catalog.ServiceID
	Instance catalog.InstanceID
	Address  string
}

// ErrWrongUpstream says that another upstream listens at the address.
const ErrWrongUpstream = errors.ConstError("another upstream listens there")

// Status is an upstream's word of its place in its group.
type Status struct {
	Role     catalog.Role
	Position catalog.Position
	Received catalog.Offset
}

// PoolOptions are what a Pool is made of.
type PoolOptions struct {
	// Feed gives an input to the reducer, from any goroutine.
	Feed func(node.Input)
	Now  func() catalog.Instant
	Dial func(t Target, timeout time.Duration) (Transport, error)
	// ParseStatus reads the reply to the dialect's status question.
	ParseStatus func(Reply) (Status, error)
	Dialect     Dialect
	Log         logr.Logger
}

// Pool holds the upstream connections that the reducer asked for.
type Pool struct {
	options PoolOptions

	mutex sync.Mutex
	// conns holds nil for a connection that is being opened.
	conns map[catalog.ConnID]*Conn
}

// NewPool returns a pool without connections.
func NewPool(o PoolOptions) *Pool {
	return &Pool{options: o, conns: map[catalog.ConnID]*Conn{}}
}

// Open carries out the effect.
func (p *Pool) Open(e node.OpenConn) {
	p.mutex.Lock()
	p.conns[e.Conn] = nil
	p.mutex.Unlock()
	go p.open(e)
}

func (p *Pool) open(e node.OpenConn) {
	w, err := p.options.Dial(Target{Service: e.Service, Instance: e.Instance, Address: e.Address}, p.left(e.Deadline))
	if err != nil {
		evidence := evidenceOf(err)
		if !p.forget(e.Conn) {
			evidence = wire.EvidenceNone
		}
		p.options.Log.Info("An upstream connection failed.", "part", "upstream", "instance", e.Instance, "address", e.Address, "cause", err.Error())
		p.options.Feed(node.ConnLost{Conn: e.Conn, Evidence: evidence})
		return
	}
	p.mutex.Lock()
	_, wanted := p.conns[e.Conn]
	c := newConn(e.Conn, e.Instance, w, func(evidence wire.Evidence) {
		p.forget(e.Conn)
		p.options.Feed(node.ConnLost{Conn: e.Conn, Evidence: evidence})
	})
	if wanted {
		p.conns[e.Conn] = c
	}
	p.mutex.Unlock()
	if !wanted {
		c.end(errors.New("it is not wanted any more"), wire.EvidenceNone)
		return
	}
	p.options.Feed(node.ConnOpened{Conn: e.Conn})
}

// Close carries out the effect. A request in progress on the connection fails.
func (p *Pool) Close(e node.CloseConn) {
	p.mutex.Lock()
	c, ok := p.conns[e.Conn]
	if ok && c == nil {
		delete(p.conns, e.Conn)
	}
	p.mutex.Unlock()
	if c != nil {
		go c.end(errors.New("the entry closed it"), wire.EvidenceNone)
	}
}

// conn returns an open connection, or nil.
func (p *Pool) conn(id catalog.ConnID) *Conn {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.conns[id]
}

// settle waits for a late reply and gives the connection back.
func (p *Pool) settle(id catalog.ConnID) {
	if c := p.conn(id); c != nil && c.DrainLateReplies(Command{Text: p.options.Dialect.Rollback()}) {
		p.options.Feed(node.ConnReusable{Conn: id})
	}
}

// forget drops a connection and reports whether it was still wanted.
func (p *Pool) forget(id catalog.ConnID) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	_, ok := p.conns[id]
	delete(p.conns, id)
	return ok
}

// Probe carries out the effect.
func (p *Pool) Probe(e node.Probe) {
	go p.probe(e)
}

func (p *Pool) probe(e node.Probe) {
	done := node.ProbeDone{Conn: e.Conn, SentAt: p.options.Now()}
	c := p.conn(e.Conn)
	if c == nil {
		// ConnLost tells the reducer what is known.
		p.options.Feed(done)
		return
	}
	replies, err := c.Exchange(p.wallTime(e.Deadline), Command{Text: p.options.Dialect.StatusQuery()})
	if err != nil {
		done.Evidence = evidenceOf(err)
		p.options.Feed(done)
		c.end(err, wire.EvidenceNone)
		return
	}
	done.Evidence = wire.EvidenceAlive
	if status, err := p.options.ParseStatus(replies[0]); err == nil {
		done.Role, done.Position, done.Received = status.Role, status.Position, status.Received
	}
	p.options.Feed(done)
}

// wallTime turns an instant into the time that timers want.
func (p *Pool) wallTime(at catalog.Instant) time.Time {
	return time.Now().Add(p.left(at))
}

func (p *Pool) left(at catalog.Instant) time.Duration {
	return at.Sub(p.options.Now())
}

// evidenceOf says what an error tells about the upstream. The end of a
// connection says little: an upstream closes idle ones too.
func evidenceOf(err error) wire.Evidence {
	var timeout net.Error
	switch {
	case errors.Is(err, syscall.ECONNREFUSED), errors.Is(err, ErrWrongUpstream):
		return wire.EvidenceRefused
	case errors.Is(err, errSilent), errors.Is(err, errLate), errors.Is(err, syscall.ETIMEDOUT):
		return wire.EvidenceTimeout
	case errors.As(err, &timeout) && timeout.Timeout():
		return wire.EvidenceTimeout
	default:
		return wire.EvidenceNone
	}
}
