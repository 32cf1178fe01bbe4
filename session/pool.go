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

// Target identifies an upstream to connect to.
type Target struct {
	Service  catalog.ServiceID
	Instance catalog.InstanceID
	Address  string
	// Organisation is the organisation whose requests the connection is to run,
	// empty if it runs none of an organisation.
	Organisation catalog.OrganisationID
}

// ErrWrongUpstream reports that another upstream than the target listens at the
// address.
const ErrWrongUpstream = errors.ConstError("another upstream listens there")

// Status is an upstream's reply to a status query.
type Status struct {
	Role catalog.Role
	// Position is the last position that the upstream has applied, Received is
	// the last offset that it has received.
	Position catalog.Position
	Received catalog.Offset
}

// PoolOptions are the options of a Pool or a Surveyor.
type PoolOptions struct {
	// Feed submits an input to the reducer. It may be called from any goroutine.
	Feed func(node.Input)
	Now  func() catalog.Instant
	// Dial connects to an upstream. It fails with ErrWrongUpstream if another
	// upstream than the target listens at the address.
	Dial func(t Target, timeout time.Duration) (Transport, error)
	// ParseStatus parses the reply to the dialect's status query.
	ParseStatus func(Reply) (Status, error)
	Dialect     Dialect
	Log         logr.Logger
}

// Pool holds the upstream connections that the reducer opened.
type Pool struct {
	options PoolOptions

	mutex sync.Mutex
	// conns holds the connections by id. The value is nil while the connection is
	// being opened.
	conns map[catalog.ConnID]*Conn
}

// NewPool returns a pool without connections.
func NewPool(o PoolOptions) *Pool {
	return &Pool{options: o, conns: map[catalog.ConnID]*Conn{}}
}

// Open opens a connection in the background and reports ConnOpened or ConnLost
// to the reducer.
func (p *Pool) Open(e node.OpenConn) {
	p.mutex.Lock()
	p.conns[e.Conn] = nil
	p.mutex.Unlock()
	go p.open(e)
}

func (p *Pool) open(e node.OpenConn) {
	transport, err := p.options.Dial(Target{Service: e.Service, Instance: e.Instance, Address: e.Address, Organisation: e.Organisation}, p.timeUntil(e.Deadline))
	if err != nil {
		evidence := evidenceOf(err)
		if !p.remove(e.Conn) {
			evidence = wire.EvidenceNone
		}
		p.options.Log.Info("An upstream connection failed.", "part", "upstream", "instance", e.Instance, "address", e.Address, "cause", err.Error())
		p.options.Feed(node.ConnLost{Conn: e.Conn, Evidence: evidence})
		return
	}
	p.mutex.Lock()
	_, isRequested := p.conns[e.Conn]
	c := newConn(e.Conn, e.Instance, transport, func(evidence wire.Evidence) {
		p.remove(e.Conn)
		p.options.Feed(node.ConnLost{Conn: e.Conn, Evidence: evidence})
	})
	if isRequested {
		p.conns[e.Conn] = c
	}
	p.mutex.Unlock()
	if !isRequested {
		c.end(errors.New("the reducer closed the connection while it was being opened"), wire.EvidenceNone)
		return
	}
	p.options.Feed(node.ConnOpened{Conn: e.Conn})
}

// Close closes a connection. A request in progress on it fails.
func (p *Pool) Close(e node.CloseConn) {
	p.mutex.Lock()
	c, ok := p.conns[e.Conn]
	if ok && c == nil {
		delete(p.conns, e.Conn)
	}
	p.mutex.Unlock()
	if c != nil {
		go c.end(errors.New("the reducer closed the connection"), wire.EvidenceNone)
	}
}

// conn returns the connection with the id, or nil if it is not open.
func (p *Pool) conn(id catalog.ConnID) *Conn {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.conns[id]
}

// drainLateReplies waits for the late replies on a connection and reports
// ConnReusable to the reducer once the connection can be used again.
func (p *Pool) drainLateReplies(id catalog.ConnID) {
	if c := p.conn(id); c != nil && c.DrainLateReplies(Command{Text: p.options.Dialect.Rollback()}) {
		p.options.Feed(node.ConnReusable{Conn: id})
	}
}

// remove removes a connection and reports whether the pool still had it. The pool
// no longer has a connection that the reducer closed while it was being opened.
func (p *Pool) remove(id catalog.ConnID) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	_, ok := p.conns[id]
	delete(p.conns, id)
	return ok
}

// Probe queries the status of an upstream over its connection in the background
// and reports ProbeDone to the reducer.
func (p *Pool) Probe(e node.Probe) {
	go p.probe(e)
}

func (p *Pool) probe(e node.Probe) {
	done := node.ProbeDone{Conn: e.Conn, SentAt: p.options.Now()}
	c := p.conn(e.Conn)
	if c == nil {
		// If the connection was lost, ConnLost has reported the evidence.
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

// wallTime converts an instant to a time for timers.
func (p *Pool) wallTime(at catalog.Instant) time.Time {
	return time.Now().Add(p.timeUntil(at))
}

func (p *Pool) timeUntil(at catalog.Instant) time.Duration {
	return at.Sub(p.options.Now())
}

// evidenceOf returns the evidence that an error gives of the upstream's state. A
// closed connection is no evidence, since an upstream closes idle ones too.
func evidenceOf(err error) wire.Evidence {
	var timeout net.Error
	switch {
	case errors.Is(err, syscall.ECONNREFUSED), errors.Is(err, ErrWrongUpstream):
		return wire.EvidenceRefused
	case errors.Is(err, errNoResponse), errors.Is(err, errDeadlineExceeded), errors.Is(err, syscall.ETIMEDOUT):
		return wire.EvidenceTimeout
	case errors.As(err, &timeout) && timeout.Timeout():
		return wire.EvidenceTimeout
	default:
		return wire.EvidenceNone
	}
}
