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

// errGone ends a connection whose client is gone.
var errGone = errors.New("connection lost")

// conn is one client connection.
type conn struct {
	server *Server
	net    net.Conn
	back   *pgproto3.Backend
	pid    uint32
	secret []byte
	// internal is set for another instance that follows this one.
	internal bool

	vars    map[string]string
	initial map[string]string
	// local holds what SET LOCAL replaced.
	local map[string]string
	txn   *txn
	// block is set between BEGIN and the end of its transaction.
	block bool
	// failed is set from an error in a block to the block's end.
	failed bool
	// holding is set while the connection has a slot.
	holding  bool
	prepared map[string]*prepared
	portals  map[string]*portal
	// skipping is set from an error to the next Sync.
	skipping bool
	// busy is set while a message is handled or a block is open.
	busy atomic.Bool

	mu sync.Mutex
	// cancel ends the running statement, nil between statements.
	cancel context.CancelFunc
	// ending is set once the connection must close.
	ending bool
}

func newConn(s *Server, n net.Conn) *conn {
	return &conn{
		server: s, net: n, back: pgproto3.NewBackend(n, n),
		local:    map[string]string{},
		prepared: map[string]*prepared{},
		portals:  map[string]*portal{},
	}
}

func lower(s string) string {
	return strings.ToLower(s)
}

func (c *conn) flush() error {
	c.server.gate.pass()
	if err := c.back.Flush(); err != nil {
		return errGone
	}
	return nil
}

// loop handles messages until the client leaves.
func (c *conn) loop() {
	for {
		m, err := c.back.Receive()
		if err != nil {
			return
		}
		c.server.gate.pass()
		c.busy.Store(true)
		err = c.handle(m)
		c.busy.Store(c.block)
		if err != nil || c.isEnding() {
			return
		}
	}
}

func (c *conn) handle(m pgproto3.FrontendMessage) error {
	switch m := m.(type) {
	case *pgproto3.Query:
		return c.query(m.String)
	case *pgproto3.Sync:
		return c.sync()
	case *pgproto3.Flush:
		return c.flush()
	case *pgproto3.Terminate:
		return errGone
	case *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail:
		return nil
	}
	if c.skipping {
		return nil
	}
	err := c.extended(m)
	if err == nil || err == errGone {
		return err
	}
	c.abort()
	c.skipping = true
	c.back.Send(response("ERROR", err))
	return nil
}

// ready ends the answer to a query or a pipeline.
func (c *conn) ready() error {
	status := byte('I')
	if c.failed {
		status = 'E'
	} else if c.block {
		status = 'T'
	}
	c.back.Send(&pgproto3.ReadyForQuery{TxStatus: status})
	return c.flush()
}

// interrupt cancels the running statement, and closes the connection if end.
func (c *conn) interrupt(end bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancel != nil {
		c.cancel()
	}
	if !end || c.ending {
		return
	}
	c.ending = true
	if !c.busy.Load() {
		c.net.Close()
	}
}

func (c *conn) isEnding() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ending
}

// cancelStatement serves a cancel request.
func (s *Server) cancelStatement(pid uint32, secret []byte) {
	s.mu.Lock()
	c := s.conns[pid]
	s.mu.Unlock()
	if c != nil && subtle.ConstantTimeCompare(c.secret, secret) == 1 {
		c.interrupt(false)
	}
}

// execute runs one statement in its slot.
func (c *conn) execute(s *statement, args []string) (result, error) {
	if c.failed && !s.ends {
		return result{}, fail(codeFailed,
			"current transaction is aborted, commands ignored until end of transaction block")
	}
	c.server.stats.ran(s.kind)
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
	if !s.free {
		if err := c.takeSlot(ctx); err != nil {
			return result{}, err
		}
		defer c.giveSlot()
	}
	if s.works {
		if err := pause(ctx, c.server.options.ExecutionTime); err != nil {
			return result{}, err
		}
	}
	c.server.gate.pass()
	if s.stream != nil {
		tag, err := s.stream(ctx, c)
		return result{tag: tag}, err
	}
	return s.run(ctx, c, args)
}
