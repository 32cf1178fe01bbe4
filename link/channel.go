package link

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/wire"
)

// ChannelPath is where a Hub's channel handler is served.
const ChannelPath = "/v1/channel"

const (
	// ErrNotSent says that nothing of a question has left.
	ErrNotSent = errors.ConstError("nothing was sent")
	// ErrNoReply says that the peer fell silent behind a question.
	ErrNoReply = errors.ConstError("the peer fell silent")
)

const (
	// channelDialTimeout bounds the way to a VM of the same site with its greeting.
	// That VM may stand still for a tenth of a second.
	channelDialTimeout = 200 * time.Millisecond
	// livenessCheckDelay is how long an answer may take before the peer is asked whether
	// it is there, and aliveTime how long it may take to say so: longer than a
	// standstill of a VM with part of a core.
	livenessCheckDelay = 250 * time.Millisecond
	livenessTimeout    = 350 * time.Millisecond
	// idleCheckAfter is how long a channel may rest before it is checked at its
	// next use; it may have gone silent without being reset.
	idleCheckAfter = time.Second
	// streamQueueLength is how many questions of one talk may wait: the next is only
	// asked once the one before is answered.
	streamQueueLength = 1
)

// frame is what a channel carries: a question of a talk or the answer to it.
type frame struct {
	// Stream numbers the talks of a channel, ascending.
	Stream uint64          `cbor:"1,keyasint"`
	Body   cbor.RawMessage `cbor:"2,keyasint,omitempty"`
	// Closed is set once the asker needs the talk no more. There is no Body.
	Closed bool `cbor:"3,keyasint,omitempty"`
}

// Channel carries the talks of this process with a peer. Each talk has one
// question under way at a time.
type Channel struct {
	socket *websocket.Conn
	// closed is closed once nothing more can arrive.
	closed    chan struct{}
	closeOnce sync.Once
	// lastReceived is when something arrived last. It holds a reading of the steady
	// clock, which the time of day does not move.
	lastReceived atomic.Pointer[time.Time]
	// pingMutex is held while the peer is asked whether it is there.
	pingMutex sync.Mutex

	mutex      sync.Mutex
	lastStream uint64
	streams    map[uint64]chan cbor.RawMessage
}

func newChannel(s *websocket.Conn) *Channel {
	c := &Channel{socket: s, closed: make(chan struct{}), streams: map[uint64]chan cbor.RawMessage{}}
	c.markReceived()
	return c
}

func (c *Channel) markReceived() {
	now := time.Now()
	c.lastReceived.Store(&now)
}

func (c *Channel) idleTime() time.Duration {
	return time.Since(*c.lastReceived.Load())
}

// Close ends the channel and its talks.
func (c *Channel) Close() {
	c.closeOnce.Do(func() {
		close(c.closed)
		_ = c.socket.CloseNow()
	})
}

func (c *Channel) isClosed() bool {
	select {
	case <-c.closed:
		return true
	default:
		return false
	}
}

// receive hands what arrives to take until the channel ends.
func (c *Channel) receive(ctx context.Context, handle func(frame)) {
	defer c.Close()
	for {
		_, data, err := c.socket.Read(ctx)
		if err != nil {
			return
		}
		var f frame
		if err := decoder.Unmarshal(data, &f); err != nil {
			return
		}
		c.markReceived()
		handle(f)
	}
}

func (c *Channel) send(f frame) error {
	data, err := cbor.Marshal(f)
	if err != nil {
		return errors.Trace(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
	defer cancel()
	return errors.Trace(c.socket.Write(ctx, websocket.MessageBinary, data))
}

// isAlive asks the peer whether it is there unless it was heard of late.
func (c *Channel) isAlive() bool {
	c.pingMutex.Lock()
	defer c.pingMutex.Unlock()
	if c.isClosed() {
		return false
	}
	if c.idleTime() < livenessCheckDelay {
		return true
	}
	ctx, cancel := context.WithTimeout(context.Background(), livenessTimeout)
	defer cancel()
	if c.socket.Ping(ctx) != nil {
		c.Close()
		return false
	}
	c.markReceived()
	return true
}

// Stream is a series of questions that the peer answers in one context.
type Stream struct {
	channel *Channel
	number  uint64
	replies chan cbor.RawMessage
}

// OpenStream starts a talk, which End ends.
func (c *Channel) OpenStream() *Stream {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.lastStream++
	t := &Stream{channel: c, number: c.lastStream, replies: make(chan cbor.RawMessage, streamQueueLength)}
	c.streams[t.number] = t.replies
	return t
}

// deliverReply takes the answer to a question of this process.
func (c *Channel) deliverReply(f frame) {
	c.mutex.Lock()
	replies := c.streams[f.Stream]
	c.mutex.Unlock()
	select {
	case replies <- f.Body:
	default:
		// Nobody waits for it any more.
	}
}

// Call sends a question and waits for the answer, until the deadline and as long
// as the peer shows that it is there. It fails with ErrNotSent or ErrLost, after
// which the talk can only be ended.
func (t *Stream) Call(request, reply any, deadline time.Time) error {
	body, err := cbor.Marshal(request)
	if err != nil {
		return errors.WithType(err, ErrNotSent)
	}
	if t.channel.isClosed() {
		return errors.Trace(ErrNotSent)
	}
	if err := t.channel.send(frame{Stream: t.number, Body: body}); err != nil {
		t.channel.Close()
		return errors.WithType(err, ErrNoReply)
	}
	timer := time.NewTimer(livenessCheckDelay)
	defer timer.Stop()
	for {
		select {
		case body := <-t.replies:
			if err := decoder.Unmarshal(body, reply); err != nil {
				return errors.WithType(err, ErrNoReply)
			}
			return nil
		case <-t.channel.closed:
			return errors.Trace(ErrNoReply)
		case <-timer.C:
			if time.Now().After(deadline) || !t.channel.isAlive() {
				return errors.Trace(ErrNoReply)
			}
			timer.Reset(livenessCheckDelay)
		}
	}
}

// Close ends the talk. The peer must be told unless it has ended it by itself.
func (t *Stream) Close(notify bool) {
	c := t.channel
	c.mutex.Lock()
	delete(c.streams, t.number)
	c.mutex.Unlock()
	if notify && !c.isClosed() {
		// A channel that breaks ends the talk too.
		_ = c.send(frame{Stream: t.number, Closed: true})
	}
}

// ChannelPool keeps one channel to each peer that this process asks.
type ChannelPool struct {
	hub   *Hub
	mutex sync.Mutex
	peers map[catalog.VMID]*peerChannel
}

// peerChannel is the channel to one peer. The mutex is held while it is opened.
type peerChannel struct {
	mutex   sync.Mutex
	channel *Channel
	// lastFailure is when the last attempt to open it failed.
	lastFailure time.Time
}

// NewChannelPool returns channels of a hub's process.
func NewChannelPool(h *Hub) *ChannelPool {
	return &ChannelPool{hub: h, peers: map[catalog.VMID]*peerChannel{}}
}

// Get returns the channel to a peer. It fails if the peer is out of reach.
func (p *ChannelPool) Get(to catalog.VMID) (*Channel, error) {
	p.mutex.Lock()
	peer := p.peers[to]
	if peer == nil {
		peer = &peerChannel{}
		p.peers[to] = peer
	}
	p.mutex.Unlock()
	peer.mutex.Lock()
	defer peer.mutex.Unlock()
	if c := peer.channel; c != nil && !c.isClosed() && (c.idleTime() < idleCheckAfter || c.isAlive()) {
		return c, nil
	}
	if time.Since(peer.lastFailure) < channelDialTimeout {
		// All that waited for that attempt would make one of their own.
		return nil, errors.Trace(ErrNotSent)
	}
	ctx, cancel := context.WithTimeout(p.hub.context, channelDialTimeout)
	defer cancel()
	s, err := p.hub.dial(ctx, to, ChannelPath)
	if err != nil {
		peer.lastFailure = time.Now()
		return nil, err
	}
	peer.channel = newChannel(s)
	go peer.channel.receive(p.hub.context, peer.channel.deliverReply)
	return peer.channel, nil
}

// IncomingStream are those of one talk that a peer has begun.
type IncomingStream struct {
	// From is the peer.
	From catalog.VMID
	// Receive waits for a question. It fails once the talk has ended.
	Receive func(request any) error
	// Reply answers the last one.
	Reply func(reply any) error
}

// ChannelHandler serves the talks that peers begin. Serve is called for each, in
// a goroutine of its own, and ends it by returning.
func (h *Hub) ChannelHandler(serve func(IncomingStream)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s, from, ok := h.accept(w, r)
		if !ok {
			return
		}
		c := newChannel(s)
		c.receive(h.context, func(f frame) { c.deliverRequest(f, from, serve) })
	})
}

// deliverRequest takes a question of the peer.
func (c *Channel) deliverRequest(f frame, from catalog.VMID, serve func(IncomingStream)) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	requests := c.streams[f.Stream]
	if f.Closed {
		if requests != nil {
			close(requests)
			delete(c.streams, f.Stream)
		}
		return
	}
	if requests == nil {
		requests = make(chan cbor.RawMessage, streamQueueLength)
		c.streams[f.Stream] = requests
		go c.serveStream(f.Stream, requests, from, serve)
	}
	select {
	case requests <- f.Body:
	default:
		// A peer that does not wait for its answer breaks the rules.
		go c.Close()
	}
}

func (c *Channel) serveStream(number uint64, requests chan cbor.RawMessage, from catalog.VMID, serve func(IncomingStream)) {
	serve(IncomingStream{
		From: from,
		Receive: func(request any) error {
			select {
			case body, ok := <-requests:
				if !ok {
					return errors.Trace(ErrNoReply)
				}
				return errors.Trace(decoder.Unmarshal(body, request))
			case <-c.closed:
				return errors.Trace(ErrNoReply)
			}
		},
		Reply: func(reply any) error {
			body, err := cbor.Marshal(reply)
			if err != nil {
				return errors.Trace(err)
			}
			return c.send(frame{Stream: number, Body: body})
		},
	})
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.streams, number)
}

// accept greets a peer that has connected.
func (h *Hub) accept(w http.ResponseWriter, r *http.Request) (*websocket.Conn, catalog.VMID, bool) {
	s, err := websocket.Accept(w, r, nil)
	if err != nil {
		h.options.OnError(errors.Annotate(err, "accept peer"))
		return nil, "", false
	}
	s.SetReadLimit(wire.MaxFrame)
	from, err := h.acceptHandshake(r.Context(), s)
	if err != nil {
		_ = s.CloseNow()
		h.options.OnError(errors.Annotatef(err, "greet peer at %s", r.RemoteAddr))
		return nil, "", false
	}
	return s, from, true
}
