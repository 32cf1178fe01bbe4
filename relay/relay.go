// Package relay is a TCP proxy for fault injection. It forwards connections with
// a configurable delay and can interrupt them. Tests put it between processes in
// place of a network.
package relay

import (
	"net"
	"sync"
	"time"

	"github.com/juju/errors"
)

const (
	// maxChunkBytes is the maximum number of bytes per read.
	maxChunkBytes = 32 << 10
	// maxQueuedChunks is the maximum number of chunks in flight in one
	// direction of a connection.
	maxQueuedChunks = 256
)

// Route forwards connections from one listening address to a target address. A
// cut route holds back all data and the ends of connections, like a network that
// drops packets. It forwards them after Heal, as TCP would by retransmission.
type Route struct {
	// Address is the IP:PORT that the route listens on.
	Address string
	target  string

	listener net.Listener
	// stopped is closed by Stop.
	stopped    chan struct{}
	goroutines sync.WaitGroup
	stopOnce   sync.Once

	mu    sync.Mutex
	delay time.Duration
	// healed is nil unless the route is cut, and is closed by Heal.
	healed chan struct{}
	conns  map[net.Conn]struct{}
}

// Start starts a route from the IP:PORT in listen to the one in target, with a
// one-way delay.
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

// SetDelay sets the one-way delay of data that arrives after the call.
func (r *Route) SetDelay(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = d
}

// Cut makes the route hold back all data, ends of connections and new
// connections until Heal.
func (r *Route) Cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.healed == nil {
		r.healed = make(chan struct{})
	}
}

// Heal ends a cut and forwards what the route has held back.
func (r *Route) Heal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.healed != nil {
		close(r.healed)
		r.healed = nil
	}
}

// Reset resets all open connections. The route still accepts new ones.
func (r *Route) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		if t, ok := c.(*net.TCPConn); ok {
			// With a linger of zero, Close sends a reset.
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
}

// State returns the one-way delay and whether the route is cut.
func (r *Route) State() (delay time.Duration, cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.delay, r.healed != nil
}

// Stop closes the route and its connections and waits for its goroutines.
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

// track adds a connection to those that Stop and Reset close, and reports true.
// If the route has stopped, it closes the connection and reports false.
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

// proxyConn opens a connection to the target and forwards data in both
// directions until both ends are closed.
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

// delayedChunk is data in flight, to be delivered at the time due. Nil data marks
// the end of the stream.
type delayedChunk struct {
	due  time.Time
	data []byte
}

// forward forwards one direction of a connection.
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

// deliver writes each chunk when it is due. After an error or Stop it still
// receives the chunks and drops them, so that forward never blocks on the
// channel.
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

// waitUntilHealed waits while the route is cut. It reports false if the route
// stops meanwhile.
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
