// Package listener serves callers over the PostgreSQL protocol. It splits their
// messages into requests, submits each request to the entry's reducer, and
// forwards it to the upstream connection that the reducer chooses. Parts of an
// answer that depend on the reducer's verdict are held back until the verdict.
package listener

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"
	"github.com/xdg-go/scram"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/node"
	"github.com/kingcupknot/kingcupknot/upstream"
)

// Defaults of the options.
const (
	defaultMaxMessage = 16 << 20 // bytes
	defaultMaxCallers = 10_000
	defaultDeadline   = 10 * time.Second
)

// Options are the options of a Server.
type Options struct {
	// Address is the IP and port to listen on.
	Address string
	// Feed submits an input to the reducer. It may be called from any
	// goroutine.
	Feed func(node.Input)
	Now  func() catalog.Instant
	// TokenKey signs session tokens. It is the same at all entries.
	TokenKey []byte
	// Callers holds the SCRAM-SHA-256 verifiers by user. If it is nil, callers
	// are not authenticated.
	Callers map[string]scram.StoredCredentials
	// MaxMessage bounds a request, and the part of its answer that is held back,
	// in bytes. Zero means 16 MiB.
	MaxMessage int
	// MaxCallers bounds the number of connected callers. Zero means 10,000.
	MaxCallers int
	// DefaultDeadline is how long a request waits for an upstream if its caller
	// sets no deadline. Zero means 10 seconds.
	DefaultDeadline time.Duration
	Pool            *upstream.Pool
	Log             logr.Logger
	// RecordSpan records a span for tracing. If it is nil, no spans are recorded.
	RecordSpan func(name, traceparent string, start, end catalog.Instant)
}

// Server accepts and serves callers.
type Server struct {
	options  Options
	listener net.Listener
	// draining is closed at the start of a planned stop.
	draining chan struct{}

	// openConns counts network connections, including those that have not been
	// admitted as callers.
	openConns atomic.Int64

	mu          sync.Mutex
	requests    map[catalog.RequestID]*request
	lastRequest catalog.RequestID
	callers     map[uint32]*caller
	lastPID     uint32
	drained     bool
	closed      bool
}

// New returns a server that listens on its address. Callers are accepted by
// Serve.
func New(o Options) (*Server, error) {
	if o.MaxMessage == 0 {
		o.MaxMessage = defaultMaxMessage
	}
	if o.MaxCallers == 0 {
		o.MaxCallers = defaultMaxCallers
	}
	if o.DefaultDeadline == 0 {
		o.DefaultDeadline = defaultDeadline
	}
	if o.RecordSpan == nil {
		o.RecordSpan = func(string, string, catalog.Instant, catalog.Instant) {}
	}
	l, err := net.Listen("tcp", o.Address)
	if err != nil {
		return nil, errors.Annotate(err, "listen for callers")
	}
	return &Server{
		options:  o,
		listener: l,
		draining: make(chan struct{}),
		requests: make(map[catalog.RequestID]*request),
		callers:  make(map[uint32]*caller),
	}, nil
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() net.Addr {
	return s.listener.Addr()
}

// Serve accepts callers until Drain or Close.
func (s *Server) Serve() error {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			if s.isStopping() {
				return nil
			}
			if isTemporary(err) {
				time.Sleep(acceptRetryDelay)
				continue
			}
			return errors.Annotate(err, "accept a caller's connection")
		}
		if s.openConns.Add(1) > int64(s.options.MaxCallers)*maxConnsPerCaller {
			s.openConns.Add(-1)
			_ = conn.Close()
			continue
		}
		go s.serveConn(conn)
	}
}

// maxConnsPerCaller is the limit of network connections as a multiple of
// MaxCallers. Cancel requests and connections that are not authenticated yet need
// some in addition to those of callers.
const maxConnsPerCaller = 2

// acceptRetryDelay is the delay after a temporary failure of accept, such as a
// lack of file descriptors.
const acceptRetryDelay = 10 * time.Millisecond

// isTemporary reports whether accept may succeed later.
func isTemporary(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && !errors.Is(err, net.ErrClosed)
}

func (s *Server) isStopping() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.drained || s.closed
}

// Drain begins a planned stop: the server accepts no new callers, disconnects idle
// callers at once, and disconnects each of the others after its request or
// transaction.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.drained {
		return
	}
	s.drained = true
	_ = s.listener.Close()
	close(s.draining)
}

// isDraining reports whether a planned stop has begun.
func (s *Server) isDraining() bool {
	select {
	case <-s.draining:
		return true
	default:
		return false
	}
}

// IsIdle reports whether no caller is connected.
func (s *Server) IsIdle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.callers) == 0
}

// Close closes the connections of all callers and stops listening.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	_ = s.listener.Close()
	for _, c := range s.callers {
		_ = c.conn.Close()
	}
}

// DeliverRun passes a RunRequest effect to the goroutine of its caller. If the
// request was withdrawn, it reports to the reducer that the request was not sent.
func (s *Server) DeliverRun(e node.RunRequest) {
	s.mu.Lock()
	r, ok := s.requests[e.Request]
	if ok {
		r.runs <- e
	}
	s.mu.Unlock()
	if !ok {
		go s.options.Feed(node.RequestDone{
			Request: e.Request, Conn: e.Conn, Outcome: node.OutcomeNotSent, CallerDisconnected: true, Reusable: true,
		})
	}
}

// DeliverAnswer passes an AnswerRequest effect to the goroutine of its caller.
func (s *Server) DeliverAnswer(e node.AnswerRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r, ok := s.requests[e.Request]; ok {
		delete(s.requests, e.Request)
		r.answers <- e
	}
}

// addRequest assigns an id to a request and registers it for DeliverRun and
// DeliverAnswer.
func (s *Server) addRequest(r *request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastRequest++
	r.id = s.lastRequest
	s.requests[r.id] = r
}

// removeRequest unregisters a request that its caller has withdrawn. It returns a
// run of the request that was delivered but not started, if any. Otherwise
// waiting is set if the reducer has not answered the request.
func (s *Server) removeRequest(r *request) (waiting bool, run *node.RunRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, waiting = s.requests[r.id]
	delete(s.requests, r.id)
	select {
	case e := <-r.runs:
		return false, &e
	default:
		return waiting, nil
	}
}
