package upstream

import (
	"net"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/juju/errors"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/wire"
)

// ErrConnClosed is the error of a connection that was closed by this process.
var ErrConnClosed = errors.New("the connection to the upstream is lost")

// Conn is one connection to an upstream. At most one user has it at a time,
// between Take and either Park or Discard. While nobody has it, a goroutine
// reads from it so that its loss is noticed at once.
type Conn struct {
	// ID is the number the reducer gave to the connection.
	ID catalog.ConnID
	// Statements are the statements prepared there. Invariant: only the
	// user touches them.
	Statements *PreparedStatements

	// Retiring is set if the connection must not serve another caller, but may
	// finish the transaction that holds it. Invariant: only the user
	// touches it.
	Retiring bool

	netConn net.Conn
	// writeBuffer gathers what Flush writes.
	writeBuffer []byte
	// encodeErr is the first error of Send.
	encodeErr error
	frontend  *pgproto3.Frontend
	address   string
	pid       uint32
	secretKey []byte
	// onClosed is called exactly once.
	onClosed func(wire.Evidence)

	// available holds one element while nobody has the connection.
	available chan struct{}
	// handoff hands what the watching goroutine reads to the user.
	handoff chan receiveResult
	// done is closed with the connection.
	done chan struct{}

	mu sync.Mutex
	// watched is true while the watching goroutine reads.
	watched bool
	// inUse is true while there is a user.
	inUse bool
	// closed is true once the loss was told.
	closed bool
	// closing is true once this process closed the connection.
	closing bool
}

// maxRetainedBufferBytes is the largest write buffer that is kept, in bytes.
const maxRetainedBufferBytes = 64 << 10

type receiveResult struct {
	message pgproto3.BackendMessage
	err     error
}

func newConn(id catalog.ConnID, h *pgconn.HijackedConn, address string, onLost func(wire.Evidence)) *Conn {
	return &Conn{
		ID:         id,
		Statements: newPreparedStatements(),
		netConn:    h.Conn,
		frontend:   h.Frontend,
		address:    address,
		pid:        h.PID,
		secretKey:  h.SecretKey,
		onClosed:   onLost,
		available:  make(chan struct{}, 1),
		handoff:    make(chan receiveResult, 1),
		done:       make(chan struct{}),
		inUse:      true,
	}
}

// Acquire makes the caller the user of the connection. It waits for the user
// before, who is about to let go, and fails once the connection is lost.
func (c *Conn) Acquire() error {
	select {
	case <-c.available:
	case <-c.done:
		return ErrConnClosed
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.closing {
		return ErrConnClosed
	}
	c.inUse = true
	return nil
}

// Release lets go of the connection, which must be read to a ReadyForQuery.
func (c *Conn) Release() {
	c.mu.Lock()
	if c.closing {
		c.mu.Unlock()
		c.Discard(nil)
		return
	}
	c.inUse = false
	start := !c.watched
	c.watched = true
	// The element stands before the watching goroutine can see a loss.
	c.available <- struct{}{}
	c.mu.Unlock()
	if start {
		go c.watchIdle()
	}
}

// Discard closes the connection for good. The error tells what is known of the
// upstream; nil if this process chose to close it.
func (c *Conn) Discard(err error) {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return
	}
	c.closed = true
	evidence := wire.EvidenceNone
	if err != nil && !c.closing {
		evidence = evidenceFromError(err)
	}
	c.closing = true
	c.mu.Unlock()
	close(c.done)
	_ = c.netConn.Close()
	c.onClosed(evidence)
}

// Interrupt makes the user's reads and writes fail at once.
func (c *Conn) Interrupt() {
	c.mu.Lock()
	c.closing = true
	taken := c.inUse
	c.mu.Unlock()
	if !taken {
		c.Discard(nil)
		return
	}
	_ = c.netConn.Close()
}

// Done is closed once the connection is lost.
func (c *Conn) Done() <-chan struct{} {
	return c.done
}

// Send adds a message to what Flush writes.
func (c *Conn) Send(m pgproto3.FrontendMessage) {
	extended, err := m.Encode(c.writeBuffer)
	if err != nil {
		c.encodeErr = err
		return
	}
	c.writeBuffer = extended
}

// UnsentBytes returns how many bytes Flush would write.
func (c *Conn) UnsentBytes() int {
	return len(c.writeBuffer)
}

// Flush writes what was sent in one write, and returns how much left.
func (c *Conn) Flush() (int, error) {
	if c.encodeErr != nil {
		return 0, c.encodeErr
	}
	n, err := c.netConn.Write(c.writeBuffer)
	if cap(c.writeBuffer) > maxRetainedBufferBytes {
		c.writeBuffer = nil
	}
	c.writeBuffer = c.writeBuffer[:0]
	return n, err
}

// Receive reads the next message, valid until the next call.
func (c *Conn) Receive() (pgproto3.BackendMessage, error) {
	c.mu.Lock()
	watched := c.watched
	c.mu.Unlock()
	if !watched {
		return c.frontend.Receive()
	}
	r := <-c.handoff
	c.mu.Lock()
	c.watched = false
	c.mu.Unlock()
	return r.message, r.err
}

// SetDeadline bounds the reads and writes of the user; zero ends the bound.
func (c *Conn) SetDeadline(at time.Time) {
	_ = c.netConn.SetDeadline(at)
}

// watchIdle reads until there is a user to hand the message to.
func (c *Conn) watchIdle() {
	for {
		message, err := c.frontend.Receive()
		c.mu.Lock()
		if c.inUse {
			c.mu.Unlock()
			c.handoff <- receiveResult{message, err}
			return
		}
		if err == nil {
			err = errorFromMessage(message)
		}
		if err == nil {
			c.mu.Unlock()
			continue
		}
		// Nobody may take the connection from here on.
		c.mu.Unlock()
		select {
		case <-c.available:
			c.Discard(err)
			return
		default:
		}
		// A user took it meanwhile and learns of the loss by reading.
		c.handoff <- receiveResult{nil, err}
		return
	}
}

// errorFromMessage turns an error message into an error.
func errorFromMessage(m pgproto3.BackendMessage) error {
	e, ok := m.(*pgproto3.ErrorResponse)
	if !ok {
		return nil
	}
	return pgconn.ErrorResponseToPgError(e)
}

// HasBufferedInput reports whether bytes of the next message were already read.
func (c *Conn) HasBufferedInput() bool {
	c.mu.Lock()
	watched := c.watched
	c.mu.Unlock()
	return !watched && c.frontend.ReadBufferLen() > 0
}
