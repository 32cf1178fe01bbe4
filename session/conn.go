package session

import (
	"strconv"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/wire"
)

// Transport is the platform's connection to an upstream.
type Transport struct {
	// Send writes all commands in one packet, without waiting for replies.
	Send func(commands []Command) error
	// Receive reads one reply and blocks until it has arrived.
	Receive func() (Reply, error)
	// Close closes the connection. A pending Receive returns an error.
	Close func()
}

const (
	// errDeadlineExceeded reports that a reply did not arrive by the deadline.
	// The reply may still arrive later.
	errDeadlineExceeded = errors.ConstError("the upstream did not answer by the deadline")
	// errNoResponse reports that a late reply did not arrive within
	// lateReplyTimeout either.
	errNoResponse = errors.ConstError("the upstream did not answer")
)

// errConnUnneeded is the reason for closing an idle connection that is no longer
// needed.
const errConnUnneeded = errors.ConstError("the connection is not needed")

// replyQueueSize is how many replies a connection buffers. An exchange gets one
// reply to each of its commands. The preparation of a statement has the most: one
// for each session value, and those that prepare the statement and begin.
const replyQueueSize = 64

// preparedStatement identifies a prepared statement by its content.
type preparedStatement struct {
	mayWrite bool
	template string
}

// Conn is an open upstream connection. One goroutine uses it at a time.
type Conn struct {
	id        catalog.ConnID
	instance  catalog.InstanceID
	transport Transport
	replies   chan Reply
	// closed is closed once the connection has ended. err is the reason and is
	// set before closed is closed.
	closed chan struct{}
	err    error
	once   sync.Once
	onLost func(wire.Evidence)

	// values are the session values that are set on this connection at the
	// upstream.
	values map[string]string
	// statements holds the names of the statements prepared at the upstream.
	statements    map[preparedStatement]string
	lastStatement int
	timer         *time.Timer
	// lateReplies counts the replies that had not arrived when Exchange reached
	// its deadline.
	lateReplies int
}

func newConn(id catalog.ConnID, instance catalog.InstanceID, transport Transport, onLost func(wire.Evidence)) *Conn {
	c := &Conn{
		id: id, instance: instance, transport: transport, onLost: onLost,
		replies: make(chan Reply, replyQueueSize), closed: make(chan struct{}),
		values: map[string]string{}, statements: map[preparedStatement]string{},
	}
	go c.receive()
	return c
}

func (c *Conn) receive() {
	for {
		r, err := c.transport.Receive()
		if err != nil {
			c.end(err, evidenceOf(err))
			return
		}
		select {
		case c.replies <- r:
		case <-c.closed:
			return
		}
	}
}

// end closes the connection and reports its loss. Calls after the first one have
// no effect.
func (c *Conn) end(err error, evidence wire.Evidence) {
	c.once.Do(func() {
		c.err = err
		close(c.closed)
		c.transport.Close()
		c.onLost(evidence)
	})
}

// Exchange sends commands and waits for their replies until the deadline. If it
// fails with errDeadlineExceeded, DrainLateReplies must be called before the
// next use of the connection.
func (c *Conn) Exchange(deadline time.Time, commands ...Command) ([]Reply, error) {
	if err := c.transport.Send(commands); err != nil {
		c.end(err, evidenceOf(err))
		return nil, errors.Trace(err)
	}
	remaining := time.Until(deadline)
	if c.timer == nil {
		c.timer = time.NewTimer(remaining)
	} else {
		c.timer.Reset(remaining)
	}
	defer c.timer.Stop()
	out := make([]Reply, 0, len(commands))
	for len(out) < len(commands) {
		select {
		case r := <-c.replies:
			out = append(out, r)
		case <-c.closed:
			return c.collectReceived(out, len(commands))
		case <-c.timer.C:
			c.lateReplies = len(commands) - len(out)
			return out, errDeadlineExceeded
		}
	}
	return out, nil
}

// DrainLateReplies waits for the replies that did not arrive by the deadline and
// rolls back a transaction that they left open. It reports whether the connection
// can be used again.
func (c *Conn) DrainLateReplies(rollback Command) bool {
	end := time.NewTimer(lateReplyTimeout)
	defer end.Stop()
	var last Reply
	for ; c.lateReplies > 0; c.lateReplies-- {
		select {
		case last = <-c.replies:
		case <-c.closed:
			return false
		case <-end.C:
			c.end(errNoResponse, wire.EvidenceNone)
			return false
		}
	}
	if last.State == StateIdle {
		return true
	}
	replies, err := c.Exchange(rollbackDeadline(), rollback)
	if err != nil || replies[0].State != StateIdle {
		c.end(errors.New("the transaction on the connection could not be rolled back"), wire.EvidenceNone)
		return false
	}
	return true
}

// lateReplyTimeout bounds the wait for late replies. The wait is worthwhile since
// opening another connection costs the upstream more than a statement does.
const lateReplyTimeout = 2 * time.Second

// collectReceived adds to out the replies that arrived before the connection was
// lost. It fails if there are fewer than count in all.
func (c *Conn) collectReceived(out []Reply, count int) ([]Reply, error) {
	for len(out) < count {
		select {
		case r := <-c.replies:
			out = append(out, r)
		default:
			return out, errors.Trace(c.err)
		}
	}
	return out, nil
}

// clearState removes the record of the values and prepared statements at the
// upstream. It sends nothing.
func (c *Conn) clearState() {
	c.values, c.statements = map[string]string{}, map[preparedStatement]string{}
}

// hasNoValuesBeyond reports whether the session has a value for every name that
// is set at the upstream. If not, the connection must be reset: a single value
// can be changed, but not unset.
func (c *Conn) hasNoValuesBeyond(values map[string]string) bool {
	for name := range c.values {
		if _, ok := values[name]; !ok {
			return false
		}
	}
	return true
}

// statementName returns the name of a prepared statement at the upstream. isNew
// is set if the upstream doesn't have the statement yet.
func (c *Conn) statementName(p preparedStatement) (name string, isNew bool) {
	if n, ok := c.statements[p]; ok {
		return n, false
	}
	c.lastStatement++
	return "k" + strconv.Itoa(c.lastStatement), true
}
