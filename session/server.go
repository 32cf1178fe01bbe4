package session

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/node"
)

// Link is one caller's connection, decoded by a platform.
type Link struct {
	// Start reads the name of the database that the caller asks for.
	ReceiveStartup func() (string, error)
	// Receive reads one statement. It fails with ErrInterrupted, and can be
	// called again, after Interrupt or the instant of WakeAt.
	Receive func() (Statement, error)
	// Answer writes one answer.
	Answer func(Answer) error
	// Refuse answers Start with an error.
	Refuse func(Code, string)
	// Interrupt has Receive return at a time; the zero time never.
	Interrupt func(at time.Time)
	// IsWaiting reports whether no byte of a statement has arrived.
	IsWaiting func() bool
	Close     func()
}

// Options are what a Server is made of.
type Options struct {
	Feed func(node.Input)
	Now  func() catalog.Instant
	Pool *Pool
	// Way opens a way to another entry, or takes one that rests.
	Way func(to catalog.VMID) (*Way, error)
	// Decided is told of every decision on a request, for the log.
	Decided func(Decision)
	// MaxCallers bounds the callers connected at a time.
	MaxCallers int
}

// Server holds the conversations with callers.
type Server struct {
	options Options
	routes  *routes

	mutex    sync.Mutex
	last     catalog.RequestID
	waiting  map[catalog.RequestID]chan node.Effect
	sessions map[*session]bool

	// stop is set once a planned stop ends sessions. Its times hold readings of
	// the steady clock, which the time of day does not move.
	stop atomic.Pointer[plannedStop]
	// released is set while callers should connect elsewhere.
	released atomic.Bool
	// leaving is set once a planned stop has begun.
	leaving atomic.Bool
	// forwards counts the requests that run here for other entries.
	forwards atomic.Int64
}

// NewServer returns a server without callers.
func NewServer(o Options) *Server {
	return &Server{
		options: o, routes: newRoutes(),
		waiting: map[catalog.RequestID]chan node.Effect{}, sessions: map[*session]bool{},
	}
}

// SetRoutes carries out the effect.
func (s *Server) SetRoutes(e node.RoutesChanged) {
	s.routes.set(e)
}

// Deliver carries out RunRequest, ForwardRequest and AnswerRequest. It does not block.
func (s *Server) Deliver(id catalog.RequestID, e node.Effect) {
	s.mutex.Lock()
	c := s.waiting[id]
	s.mutex.Unlock()
	if c != nil {
		c <- e
	}
}

// effectQueue is how many effects may wait for the goroutine of a request; the
// reducer sends at most one run and one answer before it hears back.
const effectQueue = 4

func (s *Server) register() (catalog.RequestID, chan node.Effect) {
	c := make(chan node.Effect, effectQueue)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.last++
	s.waiting[s.last] = c
	return s.last, c
}

func (s *Server) unregister(id catalog.RequestID) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.waiting, id)
}

// Serve holds the conversation with one caller until it ends.
func (s *Server) Serve(l Link) {
	c := &session{server: s, link: l, values: map[string]string{}, names: map[string]prepared{}}
	if !s.add(c) {
		l.Refuse(CodeBusy, "too many callers are connected")
		l.Close()
		return
	}
	defer s.remove(c)
	c.run()
}

func (s *Server) add(c *session) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.options.MaxCallers > 0 && len(s.sessions) >= s.options.MaxCallers {
		return false
	}
	s.sessions[c] = true
	return true
}

func (s *Server) remove(c *session) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.sessions, c)
}

// Idle reports whether no caller is connected.
func (s *Server) IsIdle() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.sessions) == 0 && s.forwards.Load() == 0
}

// Leave begins a planned stop: other entries get no work done here any more.
func (s *Server) Leave() {
	s.leaving.Store(true)
}

// Drain goes on with it: sessions end when they are between operations, and
// transactions at the time given.
func (s *Server) Drain(by time.Time) {
	s.stop.Store(&plannedStop{busyBy: time.Now().Add(busyTime), transactionsBy: by})
	s.interrupt()
}

// plannedStop is the end of a planned stop.
type plannedStop struct {
	// busyBy is when sessions are ended that do not rest, transactionsBy when
	// open transactions are rolled back.
	busyBy, transactionsBy time.Time
}

// Release asks the callers that are between operations to connect again, since
// this entry can't serve them, until it is called with false.
func (s *Server) Release(on bool) {
	s.released.Store(on)
	if on {
		s.interrupt()
	}
}

func (s *Server) interrupt() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for c := range s.sessions {
		c.link.Interrupt(time.Now().Add(restTime))
	}
}
