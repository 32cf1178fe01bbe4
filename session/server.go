package session

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/node"
)

// Startup is the message with which a caller opens its session.
type Startup struct {
	// Database is the name of the database that the caller asks for.
	Database string
	// Key identifies the caller. It is empty if the caller gave none.
	Key string
}

// CallerConn is the connection to one caller. The platform decodes and encodes
// its messages.
type CallerConn struct {
	// ReceiveStartup reads the startup message.
	ReceiveStartup func() (Startup, error)
	// Receive reads one statement. It fails with ErrInterrupted once the time
	// set by InterruptAt has passed, and can then be called again.
	Receive func() (Statement, error)
	// Answer writes the answer to one statement.
	Answer func(Answer) error
	// Refuse sends an error that no statement needs to have asked for. It answers
	// the startup message, or ends the session.
	Refuse func(Code, string)
	// InterruptAt sets the time at which Receive is interrupted. The zero time
	// means never.
	InterruptAt func(at time.Time)
	Close       func()
}

// Options are the options of a Server.
type Options struct {
	// Feed submits an input to the reducer.
	Feed func(node.Input)
	Now  func() catalog.Instant
	Pool *Pool
	// AcquirePeer returns a connection to another entry, new or reused.
	AcquirePeer func(to catalog.VMID) (*PeerConn, error)
	// LogDecision is called with every decision on a request.
	LogDecision func(Decision)
	// MaxCallers bounds the number of connected callers. Zero means no bound.
	MaxCallers int
}

// Server runs the sessions of callers.
type Server struct {
	options Options
	routes  *routes

	mutex       sync.Mutex
	lastRequest catalog.RequestID
	effects     map[catalog.RequestID]chan node.Effect
	sessions    map[*session]bool

	// stop is set by Drain. Its times have monotonic clock readings, so that
	// changes of the wall clock don't affect them.
	stop atomic.Pointer[plannedStop]
	// isolated is set while callers should connect to other entries.
	isolated atomic.Bool
	// rejectsForwards is set once a planned stop has begun.
	rejectsForwards atomic.Bool
	// activeForwards counts the requests of other entries that are in flight at
	// this entry.
	activeForwards atomic.Int64
}

// NewServer returns a server without callers.
func NewServer(o Options) *Server {
	return &Server{
		options: o, routes: newRoutes(),
		effects: map[catalog.RequestID]chan node.Effect{}, sessions: map[*session]bool{},
	}
}

// SetRoutes puts the routes of a new configuration in force.
func (s *Server) SetRoutes(e node.RoutesChanged) {
	s.routes.set(e)
}

// Deliver passes a RunRequest, ForwardRequest or AnswerRequest effect to the
// goroutine of the request. It doesn't block.
func (s *Server) Deliver(id catalog.RequestID, e node.Effect) {
	s.mutex.Lock()
	c := s.effects[id]
	s.mutex.Unlock()
	if c != nil {
		c <- e
	}
}

// effectQueueSize is how many effects may be queued for the goroutine of a
// request. The reducer sends at most one run and one answer before it gets the
// result of the run.
const effectQueueSize = 4

// register returns a new request id and the queue for its effects.
func (s *Server) register() (catalog.RequestID, chan node.Effect) {
	c := make(chan node.Effect, effectQueueSize)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.lastRequest++
	s.effects[s.lastRequest] = c
	return s.lastRequest, c
}

func (s *Server) unregister(id catalog.RequestID) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.effects, id)
}

// Serve runs the session of one caller until it ends.
func (s *Server) Serve(l CallerConn) {
	c := &session{server: s, caller: l, values: map[string]string{}, statements: map[string]preparedStatement{}}
	if !s.addSession(c) {
		l.Refuse(CodeBusy, "too many callers are connected")
		l.Close()
		return
	}
	defer s.removeSession(c)
	c.run()
}

func (s *Server) addSession(c *session) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.options.MaxCallers > 0 && len(s.sessions) >= s.options.MaxCallers {
		return false
	}
	s.sessions[c] = true
	return true
}

func (s *Server) removeSession(c *session) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.sessions, c)
}

// IsIdle reports whether no caller is connected and no request of another entry
// is in flight.
func (s *Server) IsIdle() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.sessions) == 0 && s.activeForwards.Load() == 0
}

// RejectForwards begins a planned stop: new requests of other entries are
// declined from now on.
func (s *Server) RejectForwards() {
	s.rejectsForwards.Store(true)
}

// Drain continues a planned stop: sessions end when they are between operations,
// and open transactions are rolled back at the given time.
func (s *Server) Drain(by time.Time) {
	s.stop.Store(&plannedStop{busyDeadline: time.Now().Add(busySessionGrace), transactionDeadline: by})
	s.interruptSessions()
}

// plannedStop holds the deadlines of a planned stop.
type plannedStop struct {
	// busyDeadline is when sessions are ended even if they never become idle,
	// transactionDeadline when open transactions are rolled back.
	busyDeadline, transactionDeadline time.Time
}

// SetIsolated marks this entry as unable to serve callers. While it is isolated,
// sessions that are between operations end, so that their callers connect to
// another entry, and new callers are refused.
func (s *Server) SetIsolated(on bool) {
	s.isolated.Store(on)
	if on {
		s.interruptSessions()
	}
}

// interruptSessions interrupts all sessions after minIdleTime, so that they check
// whether they must end.
func (s *Server) interruptSessions() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for c := range s.sessions {
		c.caller.InterruptAt(time.Now().Add(minIdleTime))
	}
}
