package standin

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/kingcupknot/kingcupknot/catalog"
)

// drainTime bounds how long a planned stop waits for open work.
const drainTime = 5 * time.Second

// Server is one running instance.
type Server struct {
	// Address is where it takes PostgreSQL connections.
	Address string
	// AdminAddress is where it answers HTTP, empty for none.
	AdminAddress string

	options Options
	store   *store
	slots   *slots
	gate    *gate
	stats   statistics
	leaving atomic.Bool
	// sequence numbers the announcements of this life.
	sequence atomic.Uint64
	life     uint64
	// kick wakes the announcers early. One channel for each address.
	kick []chan struct{}

	listener net.Listener
	admin    *http.Server
	cancel   context.CancelFunc
	ctx      context.Context
	work     sync.WaitGroup
	stopOnce sync.Once

	mu    sync.Mutex
	conns map[uint32]*conn
	// sockets are all open connections, in use or not yet.
	sockets map[net.Conn]struct{}
	nextPID uint32
	// conninfo is the address to follow after the next reload.
	conninfo string
	// followed is the address that the present following is of.
	followed string
	// unfollow ends the present following.
	unfollow context.CancelFunc
	// following is closed when the present following has ended.
	following chan struct{}
}

// Start runs an instance until Stop or Shutdown.
func Start(o Options) (*Server, error) {
	l, err := net.Listen("tcp", o.Listen)
	if err != nil {
		return nil, errors.Annotate(err, "listen for PostgreSQL")
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{
		Address: l.Addr().String(), options: o, listener: l,
		store: newStore(string(o.Instance), o.FollowAddress == "", o.Lag),
		slots: &slots{limit: o.Slots}, gate: newGate(),
		life: uint64(now()), ctx: ctx, cancel: cancel,
		conns: map[uint32]*conn{}, sockets: map[net.Conn]struct{}{},
		nextPID: uint32(now() % 10000),
	}
	if err := s.startAdmin(); err != nil {
		cancel()
		_ = l.Close()
		return nil, err
	}
	for _, a := range o.Announce {
		k := make(chan struct{}, 1)
		s.kick = append(s.kick, k)
		s.spawn(func() { s.announceTo(a, k) })
	}
	s.spawn(s.accept)
	s.spawn(s.applyAll)
	if o.FollowAddress != "" {
		s.follow(o.FollowAddress)
	}
	return s, nil
}

func (s *Server) spawn(do func()) {
	s.work.Add(1)
	go func() {
		defer s.work.Done()
		do()
	}()
}

// Freeze stops the instance from answering and announcing, without closing
// anything, until it is called with false.
func (s *Server) Freeze(frozen bool) {
	s.gate.set(frozen)
}

// Leave announces from now on that the instance wants no new work.
func (s *Server) Leave() {
	s.leaving.Store(true)
	s.announceNow()
}

// SetLag changes how long after its commit a replica applies a record.
func (s *Server) SetLag(lag time.Duration) {
	s.store.setLag(lag)
}

// Status returns the role and the position.
func (s *Server) Status() (catalog.Role, catalog.Position) {
	return s.store.status()
}

// Promote makes a replica the primary of its group.
func (s *Server) Promote() error {
	return s.PromoteAfter(0)
}

// PromoteAfter does as Promote, with a new term above the one given.
func (s *Server) PromoteAfter(term catalog.Term) error {
	s.stopFollowing()
	if !s.store.promote(term) {
		return fail(codeNotInRecovery, "recovery is not in progress")
	}
	s.announceNow()
	return nil
}

// Stop ends the instance at once; its connections are reset.
func (s *Server) Stop() {
	s.stopOnce.Do(func() {
		s.cancel()
		close(s.gate.done)
		_ = s.listener.Close()
		if s.admin != nil {
			_ = s.admin.Close()
		}
		s.mu.Lock()
		for n := range s.sockets {
			abandon(n)
		}
		s.mu.Unlock()
	})
	s.work.Wait()
}

// abandon closes a connection so that the peer sees a reset.
func abandon(n net.Conn) {
	if t, ok := n.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	n.Close()
}

// Shutdown announces leaving, lets open transactions end, and stops.
func (s *Server) Shutdown() {
	s.Leave()
	deadline := time.Now().Add(drainTime)
	for s.busy() && time.Now().Before(deadline) {
		time.Sleep(20 * time.Millisecond)
	}
	s.mu.Lock()
	for _, c := range s.conns {
		c.interrupt(true)
	}
	s.mu.Unlock()
	time.Sleep(50 * time.Millisecond)
	s.Stop()
}

func (s *Server) busy() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		if c.busy.Load() && !c.internal {
			return true
		}
	}
	return false
}

// accept takes connections until the listener is closed.
func (s *Server) accept() {
	for {
		n, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.sockets[n] = struct{}{}
		s.mu.Unlock()
		s.spawn(func() {
			s.serve(n)
			n.Close()
			s.mu.Lock()
			delete(s.sockets, n)
			s.mu.Unlock()
		})
		if s.ctx.Err() != nil {
			abandon(n)
		}
	}
}

// register counts a connection and gives it a number, or refuses it.
func (s *Server) register(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !c.internal {
		if limit := s.options.MaxConnections; limit > 0 && s.clients() >= limit {
			s.stats.refused.Add(1)
			return false
		}
	}
	s.nextPID++
	c.pid = s.nextPID
	s.conns[c.pid] = c
	s.stats.highest(s.clients())
	return true
}

func (s *Server) unregister(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c.pid)
}

// clients counts the connections that are not replication. s.mu is held.
func (s *Server) clients() int {
	n := 0
	for _, c := range s.conns {
		if !c.internal {
			n++
		}
	}
	return n
}
