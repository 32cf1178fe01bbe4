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

// ErrConnClosed is returned for a connection that this process has closed,
// whether by choice or after a failure.
var ErrConnClosed = errors.New("connection to the upstream is closed")

// Conn is one connection to an upstream. It has at most one user at a time,
// from Acquire to Release or Discard. While it has no user, a goroutine reads
// from it, so that a lost connection is noticed at once.
type Conn struct {
	// ID is the number that the reducer assigned to the connection.
	ID catalog.ConnID
	// Statements are the statements prepared on the connection. Invariant:
	// only the user accesses them.
	Statements *PreparedStatements

	// Retiring is set if the connection must not serve another caller after
	// the transaction that uses it now. Invariant: only the user accesses it.
	Retiring bool

	netConn net.Conn
	// writeBuffer holds the encoded messages that Flush will write.
	writeBuffer []byte
	// encodeErr is the last error of Send. Flush returns it.
	encodeErr error
	frontend  *pgproto3.Frontend
	address   string
	// pid and secretKey identify the connection in a cancel request.
	pid       uint32
	secretKey []byte
	// onClosed is called exactly once, by Discard.
	onClosed func(wire.Evidence)

	// available holds one element while the connection has no user.
	available chan struct{}
	// handoff passes the last result of watchIdle to the user.
	handoff chan receiveResult
	// done is closed by Discard.
	done chan struct{}

	mu sync.Mutex
	// watched is true from the start of watchIdle until the user receives its
	// last result.
	watched bool
	// inUse is true while the connection has a user.
	inUse bool
	// closed is true once Discard has run.
	closed bool
	// closing is true once this process has begun to close the connection.
	closing bool
}

// maxRetainedBufferBytes is the largest write buffer that Flush keeps for reuse.
const maxRetainedBufferBytes = 64 << 10

// receiveResult is the result of one read from an upstream.
type receiveResult struct {
	message pgproto3.BackendMessage
	err     error
}

func newConn(id catalog.ConnID, h *pgconn.HijackedConn, address string, onClosed func(wire.Evidence)) *Conn {
	return &Conn{
		ID:         id,
		Statements: newPreparedStatements(),
		netConn:    h.Conn,
		frontend:   h.Frontend,
		address:    address,
		pid:        h.PID,
		secretKey:  h.SecretKey,
		onClosed:   onClosed,
		available:  make(chan struct{}, 1),
		handoff:    make(chan receiveResult, 1),
		done:       make(chan struct{}),
		inUse:      true,
	}
}

// Acquire makes the calling goroutine the user of the connection. It waits
// until the previous user calls Release, and returns ErrConnClosed if the
// connection is closed.
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

// Release ends the use of the connection. The user must have read up to a
// ReadyForQuery before.
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
	// The connection must be available before watchIdle can notice a failure,
	// because watchIdle removes the element from available in order to discard
	// the connection.
	c.available <- struct{}{}
	c.mu.Unlock()
	if start {
		go c.watchIdle()
	}
}

// Discard closes the connection and reports to onClosed what err says about the
// upstream's state. A nil error means that this process closes the connection by
// choice. Further calls do nothing.
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

// Interrupt closes the connection, so that the user's reads and writes fail at
// once; the user must then call Discard. If the connection has no user,
// Interrupt discards it.
func (c *Conn) Interrupt() {
	c.mu.Lock()
	c.closing = true
	inUse := c.inUse
	c.mu.Unlock()
	if !inUse {
		c.Discard(nil)
		return
	}
	_ = c.netConn.Close()
}

// Done returns a channel that is closed once the connection is discarded.
func (c *Conn) Done() <-chan struct{} {
	return c.done
}

// Send encodes a message into the write buffer. Flush reports its errors.
func (c *Conn) Send(m pgproto3.FrontendMessage) {
	extended, err := m.Encode(c.writeBuffer)
	if err != nil {
		c.encodeErr = err
		return
	}
	c.writeBuffer = extended
}

// UnsentBytes returns the number of bytes in the write buffer.
func (c *Conn) UnsentBytes() int {
	return len(c.writeBuffer)
}

// Flush writes the write buffer in one call, empties it, and returns the number
// of bytes written. If Send failed to encode a message, Flush writes nothing and
// returns that error.
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

// Receive reads the next message, which stays valid until the next call.
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

// SetDeadline sets the deadline of the user's reads and writes; the zero time
// removes it.
func (c *Conn) SetDeadline(at time.Time) {
	_ = c.netConn.SetDeadline(at)
}

// watchIdle reads from the connection until it has a user, and passes the last
// result to that user. If the connection fails while it has no user, watchIdle
// discards it.
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
		// Removing the element from available keeps others from acquiring
		// the failed connection.
		c.mu.Unlock()
		select {
		case <-c.available:
			c.Discard(err)
			return
		default:
		}
		// A user acquired the connection meanwhile and gets the error from
		// Receive.
		c.handoff <- receiveResult{nil, err}
		return
	}
}

// errorFromMessage converts an ErrorResponse to an error. It returns nil for
// other messages.
func errorFromMessage(m pgproto3.BackendMessage) error {
	e, ok := m.(*pgproto3.ErrorResponse)
	if !ok {
		return nil
	}
	return pgconn.ErrorResponseToPgError(e)
}

// HasBufferedInput reports whether bytes of the next message are in the read
// buffer already. It returns false while the user has yet to receive the result
// of watchIdle.
func (c *Conn) HasBufferedInput() bool {
	c.mu.Lock()
	watched := c.watched
	c.mu.Unlock()
	return !watched && c.frontend.ReadBufferLen() > 0
}
