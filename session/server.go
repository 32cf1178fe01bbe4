package session

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/node"
)

// CallerConn is one caller's connection, decoded by a platform.
type CallerConn struct {
	// ReceiveStartup reads the name of the database that the caller asks for.
	ReceiveStartup func() (string, error)
	// Receive reads one statement. It fails with ErrInterrupted, and can be
	// called again, after Interrupt or the instant of WakeAt.
	Receive func() (Statement, error)
	// Answer writes one answer.
	Answer func(Answer) error
	// Refuse answers Start with an error.
	Refuse func(Code, string)
	// InterruptAt has Receive return at a time; the zero time never.
	InterruptAt func(at time.Time)
	// IsBetweenStatements reports whether no byte of a statement has arrived.
	IsBetweenStatements func() bool
	Close               func()
}

// Options are what a Server is made of.
type Options struct {
	Feed func(node.Input)
	Now  func() catalog.Instant
	Pool *Pool
	// AcquirePeer opens a way to another entry, or takes one that rests.
	AcquirePeer func(to catalog.VMID) (*PeerConn, error)
	// LogDecision is told of every decision on a request, for the log.
	LogDecision func(Decision)
	// MaxCallers bounds the callers connected at a time.
	MaxCallers int
}

// Server holds the conversations with callers.
type Server struct {
	options Options
	routes  *routes

	mutex       sync.Mutex
	lastRequest catalog.RequestID
	effects     map[catalog.RequestID]chan node.Effect
	sessions    map[*session]bool

	// stop is set once a planned stop ends sessions. Its times hold readings of
	// the steady clock, which the time of day does not move.
	stop atomic.Pointer[plannedStop]
	// isolated is set while callers should connect elsewhere.
	isolated atomic.Bool
	// rejectsForwards is set once a planned stop has begun.
	rejectsForwards atomic.Bool
	// activeForwards counts the requests that run here for other entries.
	activeForwards atomic.Int64
}

// NewServer returns a server without callers.
func NewServer(o Options) *Server {
	return &Server{
		options: o, routes: newRoutes(),
		effects: map[catalog.RequestID]chan node.Effect{}, sessions: map[*session]bool{},
	}
}

// SetRoutes carries out the effect.
func (s *Server) SetRoutes(e node.RoutesChanged) {
	s.routes.set(e)
}

// Deliver carries out RunRequest, ForwardRequest and AnswerRequest. It does not block.
func (s *Server) Deliver(id catalog.RequestID, e node.Effect) {
	s.mutex.Lock()
	c := s.effects[id]
	s.mutex.Unlock()
	if c != nil {
		c <- e
	}
}

// effectQueueSize is how many effects may wait for the goroutine of a request; the
// reducer sends at most one run and one answer before it hears back.
const effectQueueSize = 4

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

// Serve holds the conversation with one caller until it ends.
func (s *Server) Serve(l CallerConn) {
	c := &session{server: s, link: l, values: map[string]string{}, statements: map[string]preparedStatement{}}
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

// IsIdle reports whether no caller is connected.
func (s *Server) IsIdle() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.sessions) == 0 && s.activeForwards.Load() == 0
}

// RejectForwards begins a planned stop: other entries get no work done here any more.
func (s *Server) RejectForwards() {
	s.rejectsForwards.Store(true)
}

// Drain goes on with it: sessions end when they are between operations, and
// transactions at the time given.
func (s *Server) Drain(by time.Time) {
	s.stop.Store(&plannedStop{busyDeadline: time.Now().Add(busySessionGrace), transactionDeadline: by})
	s.interruptSessions()
}

// plannedStop is the end of a planned stop.
type plannedStop struct {
	// busyDeadline is when sessions are ended that do not rest, transactionDeadline when
	// open transactions are rolled back.
	busyDeadline, transactionDeadline time.Time
}

// SetIsolated asks the callers that are between operations to connect again, since
// this entry can't serve them, until it is called with false.
func (s *Server) SetIsolated(on bool) {
	s.isolated.Store(on)
	if on {
		s.interruptSessions()
	}
}

func (s *Server) interruptSessions() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for c := range s.sessions {
		c.link.InterruptAt(time.Now().Add(minIdleTime))
	}
}
