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
	// maxChunkBytes is the most bytes read at a time, and queue the most chunks that
	// are under way in one direction.
	maxChunkBytes   = 32 << 10
	maxQueuedChunks = 256
)

// Route is one listening address that leads to another. A cut route holds
// back everything, ends of connections included, as a network does that drops
// packets; what TCP would send again arrives once the route is healed.
type Route struct {
	// Address is where the route listens.
	Address string
	target  string

	listener   net.Listener
	stopped    chan struct{}
	goroutines sync.WaitGroup
	stopOnce   sync.Once

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
		stopped: make(chan struct{}), conns: map[net.Conn]struct{}{},
	}
	r.startGoroutine(r.acceptLoop)
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
		close(r.stopped)
		_ = r.listener.Close()
		r.mu.Lock()
		defer r.mu.Unlock()
		for c := range r.conns {
			c.Close()
		}
	})
	r.goroutines.Wait()
}

func (r *Route) startGoroutine(do func()) {
	r.goroutines.Add(1)
	go func() {
		defer r.goroutines.Done()
		do()
	}()
}

func (r *Route) acceptLoop() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		if r.track(c) {
			r.startGoroutine(func() { r.proxyConn(c) })
		}
	}
}

// track notes a connection for Stop, or closes it if the route has stopped.
func (r *Route) track(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-r.stopped:
		c.Close()
		return false
	default:
		r.conns[c] = struct{}{}
		return true
	}
}

func (r *Route) closeAndUntrack(c net.Conn) {
	c.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
}

// proxyConn joins a connection with one to the target.
func (r *Route) proxyConn(callerConn net.Conn) {
	defer r.closeAndUntrack(callerConn)
	if !r.waitUntilHealed() {
		return
	}
	targetConn, err := net.Dial("tcp", r.target)
	if err != nil || !r.track(targetConn) {
		return
	}
	defer r.closeAndUntrack(targetConn)
	var directions sync.WaitGroup
	directions.Go(func() { r.forward(callerConn, targetConn) })
	directions.Go(func() { r.forward(targetConn, callerConn) })
	directions.Wait()
}

// delayedChunk is a piece on its way. A nil piece is the end of the stream.
type delayedChunk struct {
	due  time.Time
	data []byte
}

// forward carries one direction.
func (r *Route) forward(from, to net.Conn) {
	chunks := make(chan delayedChunk, maxQueuedChunks)
	var delivery sync.WaitGroup
	delivery.Go(func() { r.deliver(chunks, from, to) })
	for {
		b := make([]byte, maxChunkBytes)
		n, err := from.Read(b)
		delay, _ := r.State()
		if n > 0 {
			chunks <- delayedChunk{time.Now().Add(delay), b[:n]}
		}
		if err != nil {
			chunks <- delayedChunk{time.Now().Add(delay), nil}
			break
		}
	}
	delivery.Wait()
}

// deliver writes packets when they are due. After an error it goes on taking
// packets, so that the reader is never stuck.
func (r *Route) deliver(chunks <-chan delayedChunk, from, to net.Conn) {
	broken := false
	for chunk := range chunks {
		time.Sleep(time.Until(chunk.due))
		if !broken && !r.waitUntilHealed() {
			broken = true
		}
		if chunk.data == nil {
			closeWrite(to)
			return
		}
		if broken {
			continue
		}
		if _, err := to.Write(chunk.data); err != nil {
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

// waitUntilHealed waits while the route is cut. It reports false once it has stopped.
func (r *Route) waitUntilHealed() bool {
	for {
		r.mu.Lock()
		healed := r.healed
		r.mu.Unlock()
		if healed == nil {
			return true
		}
		select {
		case <-healed:
		case <-r.stopped:
			return false
		}
	}
}
