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
	server    *Server
	conn      net.Conn
	backend   *pgproto3.Backend
	out       output
	pid       uint32
	cancelKey []byte
	service   catalog.ServiceID
	// parameters are the settings that the entry remembers for the caller.
	parameters map[string]string
	settings   settings
	// floor is what the session has seen over this connection.
	floor catalog.Position
	// reportedRole is what the caller was last told about who answers.
	reportedRole string

	// messages brings what the caller sends, one at a time.
	messages chan pgproto3.FrontendMessage
	// disconnected is closed once nothing more comes from the caller.
	disconnected chan struct{}
	// stopped is closed once nobody takes messages any more.
	stopped chan struct{}
	// readErr is why the reading ended, set before gone is closed.
	readErr error

	// status is the state of the caller's transaction.
	status byte
	// transactionConn is the connection of the open transaction.
	transactionConn *upstream.Conn
	// statements are the caller's prepared statements by name.
	statements map[string]*prepared

	// endedByFlush is set while the batch at hand was ended by Flush: no
	// ReadyForQuery ends its answer.
	endedByFlush bool
	// hasFailed is set once the answer to the batch at hand holds an error.
	hasFailed bool
	// skipsToSync is set after an error in a batch that was ended by Flush: what
	// comes before the next Sync is dropped.
	skipsToSync bool

	// mu orders cancel requests against the start and end of runs.
	mu sync.Mutex
	// current is the request that waits or runs.
	current *request
	// running is the connection on which it runs, nil while it waits.
	running *upstream.Conn
	// cancelInFlight is set if a cancel request may still be on its way to running.
	cancelInFlight bool
}

func newCaller(s *Server, conn net.Conn) *caller {
	return &caller{
		server:       s,
		conn:         conn,
		backend:      pgproto3.NewBackend(conn, conn),
		out:          output{conn: conn},
		parameters:   make(map[string]string),
		settings:     settings{Class: node.ClassNormal},
		messages:     make(chan pgproto3.FrontendMessage),
		disconnected: make(chan struct{}),
		stopped:      make(chan struct{}),
		status:       statusIdle,
		statements:   make(map[string]*prepared),
	}
}

// serve handles one batch after the other until the caller leaves.
func (c *caller) serve() {
	defer c.cleanUp()
	for {
		b, f := c.nextBatch()
		if f != nil {
			c.sendFault(f)
			if f.DrainInput {
				c.drainInput()
			}
			return
		}
		if b == nil {
			return
		}
		c.handle(b)
		if c.out.flush() != nil || c.isDisconnected() {
			return
		}
	}
}

// drainInput lets the caller read the last word before the connection is closed. A
// connection closed with unread bytes is reset, and the caller would not know
// that its request was never begun.
func (c *caller) drainInput() {
	if half, ok := c.conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	end := time.After(drainTimeout)
	for {
		select {
		case <-c.messages:
		case <-c.disconnected:
			return
		case <-end:
			return
		}
	}
}

const (
	// drainTimeout bounds the wait for a caller to close a connection that it
	// was told to leave.
	drainTimeout = 500 * time.Millisecond
	// stopRetryDelay is the hint of an entry that stops; others take over at once.
	stopRetryDelay = 50 * time.Millisecond
)

// cleanUp ends what the caller leaves behind.
func (c *caller) cleanUp() {
	close(c.stopped)
	_ = c.conn.Close()
	c.dropTransaction()
}

// dropTransaction closes the connection of an open transaction, which rolls it
// back.
func (c *caller) dropTransaction() {
	if c.transactionConn == nil {
		return
	}
	c.server.options.Feed(node.TransactionDropped{Conn: c.transactionConn.ID})
	c.transactionConn.Interrupt()
	c.transactionConn = nil
}

func (c *caller) isDisconnected() bool {
	select {
	case <-c.disconnected:
		return true
	default:
		return false
	}
}

// sendFault tells the caller of a fault at once.
func (c *caller) sendFault(f *fault) {
	c.out.add(f.message())
	_ = c.out.flush()
}

// answerFault answers a batch with a fault.
func (c *caller) answerFault(f *fault) {
	c.hasFailed = true
	c.out.add(f.message())
	if c.status == statusOpen && c.transactionConn != nil {
		c.abortTransaction()
	}
	c.endAnswer()
}

// endAnswer ends the answer to a batch.
func (c *caller) endAnswer() {
	if c.endedByFlush {
		c.skipsToSync = c.hasFailed
		return
	}
	c.out.add(&pgproto3.ReadyForQuery{TxStatus: c.status})
}

// abortTransaction rolls the transaction back after the entry refused a part
// of it, and leaves the caller in a failed one, as an upstream would.
func (c *caller) abortTransaction() {
	c.dropTransaction()
	c.status = statusFailed
}

// startRun notes that a request was sent on a connection. A cancel request that
// came before is carried out now.
func (c *caller) startRun(r *request, conn *upstream.Conn) {
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
		c.cancelInFlight = true
	}
}

// endRun waits for cancel requests on their way and reports whether none can
// hit the connection later.
func (c *caller) endRun() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	clean := !c.cancelInFlight
	c.running, c.cancelInFlight = nil, false
	return clean
}

// setCurrentRequest notes the request that cancel requests mean.
func (c *caller) setCurrentRequest(r *request) {
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
			c.cancelInFlight = true
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
