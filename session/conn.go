package session

import (
	"strconv"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/wire"
)

// Transport is an upstream connection that a platform has opened.
type Transport struct {
	// Send writes commands in one packet.
	Send func(commands []Command) error
	// Receive reads one reply. It blocks.
	Receive func() (Reply, error)
	// Close ends the connection; Receive returns.
	Close func()
}

const (
	// errDeadlineExceeded says that no reply came by the deadline; it may yet come.
	errDeadlineExceeded = errors.ConstError("the upstream did not answer by the deadline")
	// errNoResponse says that no reply came at all.
	errNoResponse = errors.ConstError("the upstream did not answer")
)

// errConnUnneeded says that a connection is not needed any more.
const errConnUnneeded = errors.ConstError("the connection is not needed any more")

// replyQueueSize is how many replies may wait for the user of a connection: a
// statement with the ones that prepare for it.
const replyQueueSize = 64

// preparedStatement is what a preparedStatement statement does.
type preparedStatement struct {
	mayWrite bool
	template string
}

// Conn is an open upstream connection. One goroutine uses it at a time.
type Conn struct {
	id       catalog.ConnID
	instance catalog.InstanceID
	wire     Transport
	replies  chan Reply
	// closed is closed once the connection is lost; err is set before.
	closed chan struct{}
	err    error
	once   sync.Once
	onLost func(wire.Evidence)

	// values are the session values in force at the upstream.
	values map[string]string
	// statements finds the name of a prepared statement at the upstream.
	statements    map[preparedStatement]string
	lastStatement int
	timer         *time.Timer
	// lateReplies counts the replies that nobody waits for any more.
	lateReplies int
}

func newConn(id catalog.ConnID, instance catalog.InstanceID, w Transport, lost func(wire.Evidence)) *Conn {
	c := &Conn{
		id: id, instance: instance, wire: w, onLost: lost,
		replies: make(chan Reply, replyQueueSize), closed: make(chan struct{}),
		values: map[string]string{}, statements: map[preparedStatement]string{},
	}
	go c.receive()
	return c
}

func (c *Conn) receive() {
	for {
		r, err := c.wire.Receive()
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

// end closes the connection, once.
func (c *Conn) end(err error, evidence wire.Evidence) {
	c.once.Do(func() {
		c.err = err
		close(c.closed)
		c.wire.Close()
		c.onLost(evidence)
	})
}

// Exchange sends commands and waits for their replies until the deadline. After
// errLate, Settle must come before the next use.
func (c *Conn) Exchange(deadline time.Time, commands ...Command) ([]Reply, error) {
	if err := c.wire.Send(commands); err != nil {
		c.end(err, evidenceOf(err))
		return nil, errors.Trace(err)
	}
	left := time.Until(deadline)
	if c.timer == nil {
		c.timer = time.NewTimer(left)
	} else {
		c.timer.Reset(left)
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

// DrainLateReplies waits for replies that came too late, and rolls back what they left
// open. It reports whether the connection is clean.
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
		c.end(errors.New("its transaction could not be rolled back"), wire.EvidenceNone)
		return false
	}
	return true
}

// lateReplyTimeout is how long a late reply is waited for. Opening another connection
// costs the upstream more than a statement does.
const lateReplyTimeout = 2 * time.Second

// collectReceived takes the replies that came before the connection was lost.
func (c *Conn) collectReceived(out []Reply, want int) ([]Reply, error) {
	for len(out) < want {
		select {
		case r := <-c.replies:
			out = append(out, r)
		default:
			return out, errors.Trace(c.err)
		}
	}
	return out, nil
}

// clearState drops what the upstream is known to hold for sessions.
func (c *Conn) clearState() {
	c.values, c.statements = map[string]string{}, map[preparedStatement]string{}
}

// hasNoValuesBeyond reports whether the values in force are those of the session. Values
// are never unset one by one, only all together.
func (c *Conn) hasNoValuesBeyond(values map[string]string) bool {
	for name := range c.values {
		if _, ok := values[name]; !ok {
			return false
		}
	}
	return true
}

// statementName returns the upstream's statementName of a prepared statement; isNew is set if it
// must be prepared first.
func (c *Conn) statementName(p preparedStatement) (name string, isNew bool) {
	if n, ok := c.statements[p]; ok {
		return n, false
	}
	c.lastStatement++
	return "k" + strconv.Itoa(c.lastStatement), true
}
