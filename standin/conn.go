package standin

import (
	"context"
	"crypto/subtle"
	"net"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/juju/errors"
)

// errConnectionLost is returned when the client has closed the connection or
// the connection has failed.
var errConnectionLost = errors.New("connection lost")

// conn is one client connection.
type conn struct {
	server  *Server
	socket  net.Conn
	backend *pgproto3.Backend
	pid     uint32
	secret  []byte
	// internal is true if the client is an instance that replicates from this
	// one.
	internal bool

	vars        map[string]string
	initialVars map[string]string
	// savedVars holds the values that SET LOCAL replaced, until the block ends.
	savedVars map[string]string
	txn       *txn
	// inBlock is true between BEGIN and the end of its transaction.
	inBlock bool
	// blockFailed is true from an error in a block to the end of the block.
	blockFailed bool
	// hasSlot is true while the connection holds a slot.
	hasSlot  bool
	prepared map[string]*preparedStatement
	portals  map[string]*portal
	// skipToSync is true from an error in the extended protocol to the next
	// Sync.
	skipToSync bool
	// busy is true while a message is handled or a block is open.
	busy atomic.Bool

	mu sync.Mutex
	// cancel cancels the running statement. It is nil between statements.
	cancel context.CancelFunc
	// closing is true once the connection must close.
	closing bool
}

func newConn(s *Server, n net.Conn) *conn {
	return &conn{
		server: s, socket: n, backend: pgproto3.NewBackend(n, n),
		savedVars: map[string]string{},
		prepared:  map[string]*preparedStatement{},
		portals:   map[string]*portal{},
	}
}

func lower(s string) string {
	return strings.ToLower(s)
}

func (c *conn) flush() error {
	c.server.freeze.waitThawed()
	if err := c.backend.Flush(); err != nil {
		return errConnectionLost
	}
	return nil
}

// messageLoop handles messages until the connection must close.
func (c *conn) messageLoop() {
	for {
		m, err := c.backend.Receive()
		if err != nil {
			return
		}
		c.server.freeze.waitThawed()
		c.busy.Store(true)
		err = c.handleMessage(m)
		c.busy.Store(c.inBlock)
		if err != nil || c.isClosing() {
			return
		}
	}
}

func (c *conn) handleMessage(m pgproto3.FrontendMessage) error {
	switch m := m.(type) {
	case *pgproto3.Query:
		return c.handleQuery(m.String)
	case *pgproto3.Sync:
		return c.handleSync()
	case *pgproto3.Flush:
		return c.flush()
	case *pgproto3.Terminate:
		return errConnectionLost
	case *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail:
		return nil
	}
	if c.skipToSync {
		return nil
	}
	err := c.handleExtended(m)
	if err == nil || err == errConnectionLost {
		return err
	}
	c.abort()
	c.skipToSync = true
	c.backend.Send(errorResponse("ERROR", err))
	return nil
}

// sendReady sends ReadyForQuery, which ends the response to a query or a
// pipeline.
func (c *conn) sendReady() error {
	status := byte('I')
	if c.blockFailed {
		status = 'E'
	} else if c.inBlock {
		status = 'T'
	}
	c.backend.Send(&pgproto3.ReadyForQuery{TxStatus: status})
	return c.flush()
}

// interrupt cancels the running statement. If closeConn is true, the connection
// is closed, too: at once if the connection is idle, otherwise after the message
// that is handled now or received next.
func (c *conn) interrupt(closeConn bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancel != nil {
		c.cancel()
	}
	if !closeConn || c.closing {
		return
	}
	c.closing = true
	if !c.busy.Load() {
		c.socket.Close()
	}
}

func (c *conn) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing
}

// cancelStatement handles a cancel request. It ignores a request with a wrong
// process id or secret.
func (s *Server) cancelStatement(pid uint32, secret []byte) {
	s.mu.Lock()
	c := s.conns[pid]
	s.mu.Unlock()
	if c != nil && subtle.ConstantTimeCompare(c.secret, secret) == 1 {
		c.interrupt(false)
	}
}

// execute runs one statement. The statement holds a slot while it runs, unless
// s.noSlot is set.
func (c *conn) execute(s *statement, args []string) (result, error) {
	if c.blockFailed && !s.endsBlock {
		return result{}, newSQLError(codeFailedTransaction,
			"current transaction is aborted, commands ignored until end of transaction block")
	}
	c.server.stats.countStatement(s.kind)
	ctx, cancel := context.WithCancel(c.server.ctx)
	defer cancel()
	c.mu.Lock()
	c.cancel = cancel
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		c.cancel = nil
		c.mu.Unlock()
	}()
	if !s.noSlot {
		if err := c.acquireSlot(ctx); err != nil {
			return result{}, err
		}
		defer c.releaseSlot()
	}
	if s.delayed {
		if err := sleepContext(ctx, c.server.options.ExecutionTime); err != nil {
			return result{}, err
		}
	}
	c.server.freeze.waitThawed()
	if s.stream != nil {
		tag, err := s.stream(ctx, c)
		return result{tag: tag}, err
	}
	return s.run(ctx, c, args)
}
