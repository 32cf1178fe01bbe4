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
	// errLate says that no reply came by the deadline; it may yet come.
	errLate = errors.ConstError("the upstream did not answer by the deadline")
	// errSilent says that no reply came at all.
	errSilent = errors.ConstError("the upstream did not answer")
)

// errSpare says that a connection is not needed any more.
const errSpare = errors.ConstError("the connection is not needed any more")

// replyQueue is how many replies may wait for the user of a connection: a
// statement with the ones that prepare for it.
const replyQueue = 64

// prepared is what a prepared statement does.
type prepared struct {
	writes bool
	shape  string
}

// Conn is an open upstream connection. One goroutine uses it at a time.
type Conn struct {
	id       catalog.ConnID
	instance catalog.InstanceID
	wire     Transport
	replies  chan Reply
	// gone is closed once the connection is lost; err is set before.
	gone chan struct{}
	err  error
	once sync.Once
	lost func(wire.Evidence)

	// values are the session values in force at the upstream.
	values map[string]string
	// names finds the name of a prepared statement at the upstream.
	names map[prepared]string
	last  int
	timer *time.Timer
	// owed counts the replies that nobody waits for any more.
	owed int
}

func newConn(id catalog.ConnID, instance catalog.InstanceID, w Transport, lost func(wire.Evidence)) *Conn {
	c := &Conn{
		id: id, instance: instance, wire: w, lost: lost,
		replies: make(chan Reply, replyQueue), gone: make(chan struct{}),
		values: map[string]string{}, names: map[prepared]string{},
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
		case <-c.gone:
			return
		}
	}
}

// end closes the connection, once.
func (c *Conn) end(err error, evidence wire.Evidence) {
	c.once.Do(func() {
		c.err = err
		close(c.gone)
		c.wire.Close()
		c.lost(evidence)
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
		case <-c.gone:
			return c.drained(out, len(commands))
		case <-c.timer.C:
			c.owed = len(commands) - len(out)
			return out, errLate
		}
	}
	return out, nil
}

// Settle waits for replies that came too late, and rolls back what they left
// open. It reports whether the connection is clean.
func (c *Conn) Settle(rollback Command) bool {
	end := time.NewTimer(lateTime)
	defer end.Stop()
	var last Reply
	for ; c.owed > 0; c.owed-- {
		select {
		case last = <-c.replies:
		case <-c.gone:
			return false
		case <-end.C:
			c.end(errSilent, wire.EvidenceNone)
			return false
		}
	}
	if last.State == StateIdle {
		return true
	}
	replies, err := c.Exchange(settleBy(), rollback)
	if err != nil || replies[0].State != StateIdle {
		c.end(errors.New("its transaction could not be rolled back"), wire.EvidenceNone)
		return false
	}
	return true
}

// lateTime is how long a late reply is waited for. Opening another connection
// costs the upstream more than a statement does.
const lateTime = 2 * time.Second

// drained takes the replies that came before the connection was lost.
func (c *Conn) drained(out []Reply, want int) ([]Reply, error) {
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

// forget drops what the upstream is known to hold for sessions.
func (c *Conn) forget() {
	c.values, c.names = map[string]string{}, map[prepared]string{}
}

// matches reports whether the values in force are those of the session. Values
// are never unset one by one, only all together.
func (c *Conn) matches(values map[string]string) bool {
	for name := range c.values {
		if _, ok := values[name]; !ok {
			return false
		}
	}
	return true
}

// name returns the upstream's name of a prepared statement; isNew is set if it
// must be prepared first.
func (c *Conn) name(p prepared) (name string, isNew bool) {
	if n, ok := c.names[p]; ok {
		return n, false
	}
	c.last++
	return "k" + strconv.Itoa(c.last), true
}
