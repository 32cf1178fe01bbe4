// Package relay carries TCP connections with a delay that can be set, and can
// cut them. Tests put it between processes where a network would be.
package relay

import (
	"net"
	"sync"
	"time"

	"github.com/juju/errors"
)

const (
	// chunk is the most bytes read at a time, and queue the most chunks that
	// are under way in one direction.
	chunk = 32 << 10
	queue = 256
)

// Route is one listening address that leads to another. A cut route holds
// back everything, ends of connections included, as a network does that drops
// packets; what TCP would send again arrives once the route is healed.
type Route struct {
	// Address is where the route listens.
	Address string
	target  string

	listener net.Listener
	done     chan struct{}
	work     sync.WaitGroup
	stopOnce sync.Once

	mu    sync.Mutex
	delay time.Duration
	// healed is closed when the route is no longer cut, nil when it is whole.
	healed chan struct{}
	conns  map[net.Conn]struct{}
}

// Start opens a route from an IP and port to another.
func Start(listen, target string, delay time.Duration) (*Route, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, errors.Trace(err)
	}
	r := &Route{
		Address: l.Addr().String(), target: target, listener: l, delay: delay,
		done: make(chan struct{}), conns: map[net.Conn]struct{}{},
	}
	r.spawn(r.accept)
	return r, nil
}

// SetDelay sets the one-way delay of what arrives from now on.
func (r *Route) SetDelay(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = d
}

// Cut holds back everything until Heal.
func (r *Route) Cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.healed == nil {
		r.healed = make(chan struct{})
	}
}

// Heal ends a cut.
func (r *Route) Heal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.healed != nil {
		close(r.healed)
		r.healed = nil
	}
}

// Reset resets all connections; new ones work.
func (r *Route) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		if t, ok := c.(*net.TCPConn); ok {
			// The close below then resets the connection.
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
}

// State returns the delay and whether the route is cut.
func (r *Route) State() (delay time.Duration, cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.delay, r.healed != nil
}

// Stop closes the route and its connections.
func (r *Route) Stop() {
	r.stopOnce.Do(func() {
		close(r.done)
		_ = r.listener.Close()
		r.mu.Lock()
		defer r.mu.Unlock()
		for c := range r.conns {
			c.Close()
		}
	})
	r.work.Wait()
}

func (r *Route) spawn(do func()) {
	r.work.Add(1)
	go func() {
		defer r.work.Done()
		do()
	}()
}

func (r *Route) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		if r.keep(c) {
			r.spawn(func() { r.carry(c) })
		}
	}
}

// keep notes a connection for Stop, or closes it if the route has stopped.
func (r *Route) keep(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-r.done:
		c.Close()
		return false
	default:
		r.conns[c] = struct{}{}
		return true
	}
}

func (r *Route) drop(c net.Conn) {
	c.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
}

// carry joins a connection with one to the target.
func (r *Route) carry(near net.Conn) {
	defer r.drop(near)
	if !r.pass() {
		return
	}
	far, err := net.Dial("tcp", r.target)
	if err != nil || !r.keep(far) {
		return
	}
	defer r.drop(far)
	var both sync.WaitGroup
	both.Go(func() { r.pipe(near, far) })
	both.Go(func() { r.pipe(far, near) })
	both.Wait()
}

// packet is a piece on its way. A nil piece is the end of the stream.
type packet struct {
	due  time.Time
	data []byte
}

// pipe carries one direction.
func (r *Route) pipe(from, to net.Conn) {
	way := make(chan packet, queue)
	var sent sync.WaitGroup
	sent.Go(func() { r.deliver(way, from, to) })
	for {
		b := make([]byte, chunk)
		n, err := from.Read(b)
		delay, _ := r.State()
		if n > 0 {
			way <- packet{time.Now().Add(delay), b[:n]}
		}
		if err != nil {
			way <- packet{time.Now().Add(delay), nil}
			break
		}
	}
	sent.Wait()
}

// deliver writes packets when they are due. After an error it goes on taking
// packets, so that the reader is never stuck.
func (r *Route) deliver(way <-chan packet, from, to net.Conn) {
	broken := false
	for p := range way {
		time.Sleep(time.Until(p.due))
		if !broken && !r.pass() {
			broken = true
		}
		if p.data == nil {
			closeWrite(to)
			return
		}
		if broken {
			continue
		}
		if _, err := to.Write(p.data); err != nil {
			broken = true
			from.Close()
		}
	}
}

func closeWrite(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
}

// pass waits while the route is cut. It reports false once it has stopped.
func (r *Route) pass() bool {
	for {
		r.mu.Lock()
		healed := r.healed
		r.mu.Unlock()
		if healed == nil {
			return true
		}
		select {
		case <-healed:
		case <-r.done:
			return false
		}
	}
}
