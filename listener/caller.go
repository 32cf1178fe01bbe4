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

// Transaction states as in ReadyForQuery.
const (
	statusIdle   byte = 'I'
	statusOpen   byte = 'T'
	statusFailed byte = 'E'
)

// caller is the state of one connected caller.
type caller struct {
	server    *Server
	conn      net.Conn
	backend   *pgproto3.Backend
	out       output
	pid       uint32
	cancelKey []byte
	service   catalog.ServiceID
	// parameters are the caller's settings by name, except those of kingcupknot
	// itself, which have statement.SettingPrefix.
	parameters map[string]string
	settings   settings
	// floor is the highest position that the session's requests over this
	// connection have reached.
	floor catalog.Position
	// reportedRole is the role of the upstream, primary or replica, that was last
	// reported to the caller.
	reportedRole string

	// messages delivers the caller's messages, one at a time.
	messages chan pgproto3.FrontendMessage
	// disconnected is closed once reading from the caller has ended.
	disconnected chan struct{}
	// stopped is closed by cleanUp. After that nothing receives from messages.
	stopped chan struct{}
	// readErr is the error that ended the reading. It is set before disconnected
	// is closed.
	readErr error

	// status is the state of the caller's transaction.
	status byte
	// transactionConn is the connection that runs the open transaction, nil if
	// there is none.
	transactionConn *upstream.Conn
	// statements are the caller's prepared statements by name.
	statements map[string]*prepared

	// endedByFlush is set if the current batch was ended by Flush, so that its
	// answer has no ReadyForQuery.
	endedByFlush bool
	// hasFailed is set once the answer to the current batch contains an error.
	hasFailed bool
	// skipsToSync is set after an error in a batch that was ended by Flush. The
	// messages up to the next Sync are then discarded.
	skipsToSync bool

	// mu serializes cancel requests with the start and end of runs.
	mu sync.Mutex
	// current is the caller's pending or running request.
	current *request
	// running is the connection on which current runs, nil while it is pending.
	running *upstream.Conn
	// cancelInFlight is set if sending a cancel request to the upstream failed,
	// so that the upstream may still receive it later.
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

// serve handles the caller's batches in order until the caller disconnects.
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

// drainInput discards the caller's messages until the caller closes the
// connection or drainTimeout has passed. If a connection with unread bytes were
// closed, it would be reset, and the caller would not learn that its request was
// not run.
func (c *caller) drainInput() {
	if halfCloser, ok := c.conn.(interface{ CloseWrite() error }); ok {
		_ = halfCloser.CloseWrite()
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
	// drainTimeout bounds the wait for a caller to close its connection after a
	// fatal error.
	drainTimeout = 500 * time.Millisecond
	// stopRetryDelay is the retry hint that a stopping entry gives. It is short,
	// since other entries accept callers at once.
	stopRetryDelay = 50 * time.Millisecond
)

// cleanUp closes the caller's connection and rolls back its open transaction.
func (c *caller) cleanUp() {
	close(c.stopped)
	_ = c.conn.Close()
	c.dropTransaction()
}

// dropTransaction closes the upstream connection of an open transaction, which
// rolls the transaction back.
func (c *caller) dropTransaction() {
	if c.transactionConn == nil {
		return
	}
	c.server.options.Feed(node.TransactionAbandoned{Conn: c.transactionConn.ID})
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

// sendFault sends a fault to the caller immediately.
func (c *caller) sendFault(f *fault) {
	c.out.add(f.message())
	_ = c.out.flush()
}

// answerFault answers a batch with a fault and aborts the open transaction.
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

// abortTransaction rolls the transaction back after the entry refused a part of
// it. The caller's transaction is then in the failed state, as it would be at an
// upstream.
func (c *caller) abortTransaction() {
	c.dropTransaction()
	c.status = statusFailed
}

// startRun records that a request was sent on a connection. If the request was
// canceled before, the cancel request is sent now.
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

// cancelRun cancels the request if it is still running.
func (c *caller) cancelRun(r *request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current == r && c.running != nil && c.running.Cancel() != nil {
		c.cancelInFlight = true
	}
}

// endRun waits for cancel requests in progress. It reports whether no cancel
// request can reach the connection later.
func (c *caller) endRun() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	isClean := !c.cancelInFlight
	c.running, c.cancelInFlight = nil, false
	return isClean
}

// setCurrentRequest sets the request that cancel requests apply to.
func (c *caller) setCurrentRequest(r *request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current = r
}

// cancel cancels the current request. It holds the lock until the upstream has
// received the cancel request, so that the connection is not reused for another
// request in the meantime.
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
