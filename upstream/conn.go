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

// ErrLost is the error of a connection that was closed by this process.
var ErrLost = errors.New("the connection to the upstream is lost")

// Conn is one connection to an upstream. At most one user has it at a time,
// between Take and either Park or Discard. While nobody has it, a goroutine
// reads from it so that its loss is noticed at once.
type Conn struct {
	// ID is the number the reducer gave to the connection.
	ID catalog.ConnID
	// Statements are the statements prepared there. Invariant: only the
	// user touches them.
	Statements *Prepared

	// Retire is set if the connection must not serve another caller, but may
	// finish the transaction that holds it. Invariant: only the user
	// touches it.
	Retiring bool

	net net.Conn
	// out gathers what Flush writes.
	out []byte
	// encode is the first error of Send.
	encode   error
	frontend *pgproto3.Frontend
	address  string
	pid      uint32
	secret   []byte
	// onLost is called exactly once.
	onLost func(wire.Evidence)

	// free holds one element while nobody has the connection.
	free chan struct{}
	// first hands what the watching goroutine reads to the user.
	first chan received
	// lost is closed with the connection.
	lost chan struct{}

	mu sync.Mutex
	// watched is true while the watching goroutine reads.
	watched bool
	// taken is true while there is a user.
	taken bool
	// closed is true once the loss was told.
	closed bool
	// closing is true once this process closed the connection.
	closing bool
}

// maxKept is the largest write buffer that is kept, in bytes.
const maxKept = 64 << 10

type received struct {
	message pgproto3.BackendMessage
	err     error
}

func newConn(id catalog.ConnID, h *pgconn.HijackedConn, address string, onLost func(wire.Evidence)) *Conn {
	return &Conn{
		ID:         id,
		Statements: newPrepared(),
		net:        h.Conn,
		frontend:   h.Frontend,
		address:    address,
		pid:        h.PID,
		secret:     h.SecretKey,
		onLost:     onLost,
		free:       make(chan struct{}, 1),
		first:      make(chan received, 1),
		lost:       make(chan struct{}),
		taken:      true,
	}
}

// Take makes the caller the user of the connection. It waits for the user
// before, who is about to let go, and fails once the connection is lost.
func (c *Conn) Take() error {
	select {
	case <-c.free:
	case <-c.lost:
		return ErrLost
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.closing {
		return ErrLost
	}
	c.taken = true
	return nil
}

// Park lets go of the connection, which must be read to a ReadyForQuery.
func (c *Conn) Park() {
	c.mu.Lock()
	if c.closing {
		c.mu.Unlock()
		c.Discard(nil)
		return
	}
	c.taken = false
	start := !c.watched
	c.watched = true
	// The element stands before the watching goroutine can see a loss.
	c.free <- struct{}{}
	c.mu.Unlock()
	if start {
		go c.watch()
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
		evidence = evidenceOf(err)
	}
	c.closing = true
	c.mu.Unlock()
	close(c.lost)
	_ = c.net.Close()
	c.onLost(evidence)
}

// Interrupt makes the user's reads and writes fail at once.
func (c *Conn) Interrupt() {
	c.mu.Lock()
	c.closing = true
	taken := c.taken
	c.mu.Unlock()
	if !taken {
		c.Discard(nil)
		return
	}
	_ = c.net.Close()
}

// Lost is closed once the connection is lost.
func (c *Conn) Lost() <-chan struct{} {
	return c.lost
}

// Send adds a message to what Flush writes.
func (c *Conn) Send(m pgproto3.FrontendMessage) {
	next, err := m.Encode(c.out)
	if err != nil {
		c.encode = err
		return
	}
	c.out = next
}

// Unsent returns how many bytes Flush would write.
func (c *Conn) Unsent() int {
	return len(c.out)
}

// Flush writes what was sent in one write, and returns how much left.
func (c *Conn) Flush() (int, error) {
	if c.encode != nil {
		return 0, c.encode
	}
	n, err := c.net.Write(c.out)
	if cap(c.out) > maxKept {
		c.out = nil
	}
	c.out = c.out[:0]
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
	r := <-c.first
	c.mu.Lock()
	c.watched = false
	c.mu.Unlock()
	return r.message, r.err
}

// SetDeadline bounds the reads and writes of the user; zero ends the bound.
func (c *Conn) SetDeadline(at time.Time) {
	_ = c.net.SetDeadline(at)
}

// watch reads until there is a user to hand the message to.
func (c *Conn) watch() {
	for {
		message, err := c.frontend.Receive()
		c.mu.Lock()
		if c.taken {
			c.mu.Unlock()
			c.first <- received{message, err}
			return
		}
		if err == nil {
			err = refusal(message)
		}
		if err == nil {
			c.mu.Unlock()
			continue
		}
		// Nobody may take the connection from here on.
		c.mu.Unlock()
		select {
		case <-c.free:
			c.Discard(err)
			return
		default:
		}
		// A user took it meanwhile and learns of the loss by reading.
		c.first <- received{nil, err}
		return
	}
}

// refusal turns an error message into an error.
func refusal(m pgproto3.BackendMessage) error {
	e, ok := m.(*pgproto3.ErrorResponse)
	if !ok {
		return nil
	}
	return pgconn.ErrorResponseToPgError(e)
}

// Buffered reports whether bytes of the next message were already read.
func (c *Conn) Buffered() bool {
	c.mu.Lock()
	watched := c.watched
	c.mu.Unlock()
	return !watched && c.frontend.ReadBufferLen() > 0
}
