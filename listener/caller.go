package listener

import (
	"net"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/node"
	"github.com/kingcupknot/kingcupknot/upstream"
)

// Transaction states as ReadyForQuery gives them.
const (
	statusIdle   byte = 'I'
	statusOpen   byte = 'T'
	statusFailed byte = 'E'
)

// caller is one connected caller.
type caller struct {
	server  *Server
	net     net.Conn
	backend *pgproto3.Backend
	out     output
	pid     uint32
	secret  []byte
	service catalog.ServiceID
	// parameters are the settings that the entry remembers for the caller.
	parameters map[string]string
	settings   settings
	// floor is what the session has seen over this connection.
	floor catalog.Position
	// served is what the caller was last told about who answers.
	served string

	// messages brings what the caller sends, one at a time.
	messages chan pgproto3.FrontendMessage
	// gone is closed once nothing more comes from the caller.
	gone chan struct{}
	// left is closed once nobody takes messages any more.
	left chan struct{}
	// broken is why the reading ended, set before gone is closed.
	broken error

	// status is the state of the caller's transaction.
	status byte
	// held is the connection of the open transaction.
	held *upstream.Conn
	// statements are the caller's prepared statements by name.
	statements map[string]*prepared

	// flushing is set while the batch at hand was ended by Flush: no
	// ReadyForQuery ends its answer.
	flushing bool
	// faulted is set once the answer to the batch at hand holds an error.
	faulted bool
	// skipping is set after an error in a batch that was ended by Flush: what
	// comes before the next Sync is dropped.
	skipping bool

	// mu orders cancel requests against the start and end of runs.
	mu sync.Mutex
	// current is the request that waits or runs.
	current *request
	// running is the connection on which it runs, nil while it waits.
	running *upstream.Conn
	// stray is set if a cancel request may still be on its way to running.
	stray bool
}

func newCaller(s *Server, conn net.Conn) *caller {
	return &caller{
		server:     s,
		net:        conn,
		backend:    pgproto3.NewBackend(conn, conn),
		out:        output{conn: conn},
		parameters: make(map[string]string),
		settings:   settings{Class: node.ClassNormal},
		messages:   make(chan pgproto3.FrontendMessage),
		gone:       make(chan struct{}),
		left:       make(chan struct{}),
		status:     statusIdle,
		statements: make(map[string]*prepared),
	}
}

// serve handles one batch after the other until the caller leaves.
func (c *caller) serve() {
	defer c.leave()
	for {
		b, f := c.gather()
		if f != nil {
			c.say(f)
			if f.Linger {
				c.linger()
			}
			return
		}
		if b == nil {
			return
		}
		c.handle(b)
		if c.out.flush() != nil || c.isGone() {
			return
		}
	}
}

// linger lets the caller read the last word before the connection is closed. A
// connection closed with unread bytes is reset, and the caller would not know
// that its request was never begun.
func (c *caller) linger() {
	if half, ok := c.net.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	end := time.After(lingerTime)
	for {
		select {
		case <-c.messages:
		case <-c.gone:
			return
		case <-end:
			return
		}
	}
}

const (
	// lingerTime bounds the wait for a caller to close a connection that it
	// was told to leave.
	lingerTime = 500 * time.Millisecond
	// stopRetry is the hint of an entry that stops; others take over at once.
	stopRetry = 50 * time.Millisecond
)

// leave ends what the caller leaves behind.
func (c *caller) leave() {
	close(c.left)
	_ = c.net.Close()
	c.dropTransaction()
}

// dropTransaction closes the connection of an open transaction, which rolls it
// back.
func (c *caller) dropTransaction() {
	if c.held == nil {
		return
	}
	c.server.options.Feed(node.TransactionAbandoned{Conn: c.held.ID})
	c.held.Interrupt()
	c.held = nil
}

func (c *caller) isGone() bool {
	select {
	case <-c.gone:
		return true
	default:
		return false
	}
}

// say tells the caller of a fault at once.
func (c *caller) say(f *fault) {
	c.out.add(f.message())
	_ = c.out.flush()
}

// fail answers a batch with a fault.
func (c *caller) fail(f *fault) {
	c.faulted = true
	c.out.add(f.message())
	if c.status == statusOpen && c.held != nil {
		c.breakTransaction()
	}
	c.ready()
}

// ready ends the answer to a batch.
func (c *caller) ready() {
	if c.flushing {
		c.skipping = c.faulted
		return
	}
	c.out.add(&pgproto3.ReadyForQuery{TxStatus: c.status})
}

// breakTransaction rolls the transaction back after the entry refused a part
// of it, and leaves the caller in a failed one, as an upstream would.
func (c *caller) breakTransaction() {
	c.dropTransaction()
	c.status = statusFailed
}

// begin notes that a request was sent on a connection. A cancel request that
// came before is carried out now.
func (c *caller) begin(r *request, conn *upstream.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running = conn
	select {
	case <-r.canceled:
		go c.cancelRun(r)
	default:
	}
}

// cancelRun cancels the request if it still runs.
func (c *caller) cancelRun(r *request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current == r && c.running != nil && c.running.Cancel() != nil {
		c.stray = true
	}
}

// end waits for cancel requests on their way and reports whether none can
// hit the connection later.
func (c *caller) end() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	clean := !c.stray
	c.running, c.stray = nil, false
	return clean
}

// setCurrent notes the request that cancel requests mean.
func (c *caller) setCurrent(r *request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current = r
}

// cancel carries out a cancel request. It holds the lock until the upstream
// has taken it, so that the connection is not given to another meanwhile.
func (c *caller) cancel() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.running != nil {
		if c.running.Cancel() != nil {
			c.stray = true
		}
		return
	}
	if c.current == nil {
		return
	}
	select {
	case c.current.canceled <- struct{}{}:
	default:
	}
}
