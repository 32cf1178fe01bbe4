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

// drainTimeout limits how long Shutdown waits for open transactions.
const drainTimeout = 5 * time.Second

// Server is a running instance.
type Server struct {
	// Address is the IP and port where the instance accepts PostgreSQL
	// connections.
	Address string
	// AdminAddress is the IP and port where the instance serves HTTP. It is
	// empty if Options.AdminAddress is.
	AdminAddress string

	options Options
	store   *store
	slots   *slotLimiter
	freeze  *freezeSwitch
	stats   statistics
	leaving atomic.Bool
	// sequence numbers the announcements since the start of the instance.
	sequence    atomic.Uint64
	incarnation uint64
	// announceWakes has one channel for each announcement loop. A value on it
	// makes the loop announce at once.
	announceWakes []chan struct{}

	listener   net.Listener
	admin      *http.Server
	cancel     context.CancelFunc
	ctx        context.Context
	goroutines sync.WaitGroup
	stopOnce   sync.Once

	mu    sync.Mutex
	conns map[uint32]*conn
	// sockets holds all open connections, including those that have no session
	// yet.
	sockets map[net.Conn]struct{}
	nextPID uint32
	// conninfoAddress is the address to follow after the next reload.
	conninfoAddress string
	// followedAddress is the address that the instance followed last.
	followedAddress string
	// cancelFollow stops the replication from followedAddress. It is nil while
	// the instance does not follow.
	cancelFollow context.CancelFunc
	// followDone is closed when the replication from followedAddress has ended.
	followDone chan struct{}
}

// Start starts an instance, which runs until Stop or Shutdown. It returns an
// error if it can't listen at an address.
func Start(o Options) (*Server, error) {
	l, err := net.Listen("tcp", o.ListenAddress)
	if err != nil {
		return nil, errors.Annotate(err, "listen for PostgreSQL")
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{
		Address: l.Addr().String(), options: o, listener: l,
		store: newStore(string(o.Instance), o.FollowAddress == "", o.ReplicationLag),
		slots: &slotLimiter{limit: o.Slots}, freeze: newFreezeSwitch(),
		incarnation: uint64(unixNano()), ctx: ctx, cancel: cancel,
		conns: map[uint32]*conn{}, sockets: map[net.Conn]struct{}{},
		nextPID: uint32(unixNano() % 10000),
	}
	if err := s.startAdmin(); err != nil {
		cancel()
		_ = l.Close()
		return nil, err
	}
	for _, a := range o.AnnounceAddresses {
		k := make(chan struct{}, 1)
		s.announceWakes = append(s.announceWakes, k)
		s.spawn(func() { s.announceLoop(a, k) })
	}
	s.spawn(s.acceptLoop)
	s.spawn(s.applyLoop)
	if o.FollowAddress != "" {
		s.startFollowing(o.FollowAddress)
	}
	return s, nil
}

func (s *Server) spawn(do func()) {
	s.goroutines.Add(1)
	go func() {
		defer s.goroutines.Done()
		do()
	}()
}

// SetFrozen freezes or unfreezes the instance. A frozen instance keeps its
// connections open, but neither responds on them nor sends announcements.
func (s *Server) SetFrozen(frozen bool) {
	s.freeze.setFrozen(frozen)
}

// AnnounceLeaving announces at once, and in all further announcements, that the
// instance is leaving and asks for no new work.
func (s *Server) AnnounceLeaving() {
	s.leaving.Store(true)
	s.announceNow()
}

// SetReplicationLag changes the time between the commit of a record and its
// application by a replica. It applies to records already received, too.
func (s *Server) SetReplicationLag(lag time.Duration) {
	s.store.setLag(lag)
}

// Status returns the instance's role and the position up to which it has
// written or applied the log.
func (s *Server) Status() (catalog.Role, catalog.Position) {
	return s.store.status()
}

// Promote makes a replica the primary of its group, in a new term. It returns
// an error if the instance is a primary already.
func (s *Server) Promote() error {
	return s.PromoteAfter(0)
}

// PromoteAfter makes a replica the primary of its group, in a new term that is
// greater than the given one. It returns an error if the instance is a primary
// already.
func (s *Server) PromoteAfter(term catalog.Term) error {
	s.stopFollowing()
	if !s.store.promote(term) {
		return newSQLError(codeNotInRecovery, "recovery is not in progress")
	}
	s.announceNow()
	return nil
}

// Stop stops the instance at once and resets its connections.
func (s *Server) Stop() {
	s.stopOnce.Do(func() {
		s.cancel()
		close(s.freeze.stopped)
		_ = s.listener.Close()
		if s.admin != nil {
			_ = s.admin.Close()
		}
		s.mu.Lock()
		for n := range s.sockets {
			resetConn(n)
		}
		s.mu.Unlock()
	})
	s.goroutines.Wait()
}

// resetConn closes a connection so that the peer receives a TCP reset.
func resetConn(n net.Conn) {
	if t, ok := n.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	n.Close()
}

// Shutdown announces that the instance is leaving, waits at most drainTimeout
// for open transactions, closes the sessions and stops the instance.
func (s *Server) Shutdown() {
	s.AnnounceLeaving()
	deadline := time.Now().Add(drainTimeout)
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

// acceptLoop accepts connections until the listener is closed.
func (s *Server) acceptLoop() {
	for {
		n, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.sockets[n] = struct{}{}
		s.mu.Unlock()
		s.spawn(func() {
			s.serveConn(n)
			n.Close()
			s.mu.Lock()
			delete(s.sockets, n)
			s.mu.Unlock()
		})
		if s.ctx.Err() != nil {
			resetConn(n)
		}
	}
}

// register adds a connection and assigns its process id. It returns false if
// the limit on connections is reached.
func (s *Server) register(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !c.internal {
		if limit := s.options.MaxConnections; limit > 0 && s.clientCount() >= limit {
			s.stats.refusedConnections.Add(1)
			return false
		}
	}
	s.nextPID++
	c.pid = s.nextPID
	s.conns[c.pid] = c
	s.stats.recordConnections(s.clientCount())
	return true
}

func (s *Server) unregister(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c.pid)
}

// clientCount returns the number of connections that are not from other
// instances. The caller must hold s.mu.
func (s *Server) clientCount() int {
	n := 0
	for _, c := range s.conns {
		if !c.internal {
			n++
		}
	}
	return n
}
