// Package listener takes the connections of callers. It cuts what they send
// into requests, asks the entry reducer about each, carries the bytes to the
// connection that the reducer names, and holds back what it has not yet
// allowed to be told.
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

// Options are what a Server is made of.
type Options struct {
	// Address is the IP and port to listen on.
	Address string
	// Feed gives an input to the reducer. It may be called from any
	// goroutine.
	Feed func(node.Input)
	Now  func() catalog.Instant
	// TokenKey signs the tokens of sessions, the same at every entry.
	TokenKey []byte
	// Callers holds the SCRAM-SHA-256 verifiers by user; nil trusts everyone.
	Callers map[string]scram.StoredCredentials
	// MaxMessage bounds a request, and what is held back of its answer.
	MaxMessage int
	MaxCallers int
	// DefaultDeadline is how long a request waits for an upstream if its
	// caller states no deadline.
	DefaultDeadline time.Duration
	Pool            *upstream.Pool
	Log             logr.Logger
	// Span records a length of time for tracing; nil records none.
	RecordSpan func(name, traceparent string, start, end catalog.Instant)
}

// Server serves callers.
type Server struct {
	options  Options
	listener net.Listener
	// draining is closed at the start of a planned stop.
	draining chan struct{}

	// open counts network connections, of callers or not yet.
	open atomic.Int64

	mu       sync.Mutex
	requests map[catalog.RequestID]*request
	last     catalog.RequestID
	callers  map[uint32]*caller
	lastPID  uint32
	drained  bool
	closed   bool
}

// New listens for callers; Serve takes them.
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
		return nil, errors.Annotate(err, "address for callers")
	}
	return &Server{
		options:  o,
		listener: l,
		draining: make(chan struct{}),
		requests: make(map[catalog.RequestID]*request),
		callers:  make(map[uint32]*caller),
	}, nil
}

// Addr returns the address that callers connect to.
func (s *Server) Addr() net.Addr {
	return s.listener.Addr()
}

// Serve takes callers until Drain or Close.
func (s *Server) Serve() error {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			if s.stopping() {
				return nil
			}
			if temporary(err) {
				time.Sleep(acceptPause)
				continue
			}
			return errors.Annotate(err, "accept of callers")
		}
		if s.open.Add(1) > int64(s.options.MaxCallers)*strangers {
			s.open.Add(-1)
			_ = conn.Close()
			continue
		}
		go s.meet(conn)
	}
}

// strangers is how many network connections there may be for each caller that
// may be let in. Cancel requests and those that have yet to show who they are
// need some.
const strangers = 2

// acceptPause is the wait after an accept failed for lack of descriptors.
const acceptPause = 10 * time.Millisecond

func temporary(err error) bool {
	var failed *net.OpError
	return errors.As(err, &failed) && !errors.Is(err, net.ErrClosed)
}

func (s *Server) stopping() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.drained || s.closed
}

// Drain takes no new callers, closes the idle ones, and closes each busy one
// after its request or transaction.
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

// Idle reports whether no caller is connected.
func (s *Server) IsIdle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.callers) == 0
}

// Close cuts off all callers.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	_ = s.listener.Close()
	for _, c := range s.callers {
		_ = c.net.Close()
	}
}

// Run carries out the effect.
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

// Answer carries out the effect.
func (s *Server) DeliverAnswer(e node.AnswerRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r, ok := s.requests[e.Request]; ok {
		delete(s.requests, e.Request)
		r.answers <- e
	}
}

// enter numbers a request and makes it known to Run and Answer.
func (s *Server) enter(r *request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last++
	r.id = s.last
	s.requests[r.id] = r
}

// leave ends a request whose caller is gone. It reports whether the request
// was still waiting, so that the reducer must be told of its withdrawal.
func (s *Server) leave(r *request) (waiting bool, run *node.RunRequest) {
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
