package link

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/wire"
)

// ChannelPath is the HTTP path at which a Hub's ChannelHandler must be served.
const ChannelPath = "/v1/channel"

const (
	// ErrNotSent reports that no part of a request was sent, so the peer has
	// not handled it.
	ErrNotSent = errors.ConstError("request was not sent")
	// ErrNoReply reports that no valid reply arrived after a request was sent.
	// The peer may have handled the request.
	ErrNoReply = errors.ConstError("no reply from the peer")
	// ErrUnreadable reports that a request has arrived but could not be decoded.
	ErrUnreadable = errors.ConstError("request could not be decoded")
	// ErrTooLarge reports that a request or a reply exceeds the size limit of a
	// frame. It was not sent.
	ErrTooLarge = errors.ConstError("over the size limit of a frame")
)

const (
	// channelDialTimeout bounds the connection setup with a VM of the same
	// site, including the handshake. That VM may pause for 100 ms.
	channelDialTimeout = 200 * time.Millisecond
	// livenessCheckDelay is how long a reply may take before the peer is
	// pinged. livenessTimeout is how long the peer may take to answer the ping,
	// which is longer than a pause of a VM that has a fraction of a core.
	livenessCheckDelay = 250 * time.Millisecond
	livenessTimeout    = 350 * time.Millisecond
	// idleCheckAfter is how long a channel may be idle before its next use is
	// preceded by a ping, since a connection can fail without a reset.
	idleCheckAfter = time.Second
	// streamQueueLength is how many requests or replies of one stream may wait.
	// One is enough: a request is sent only after the reply to the previous one.
	streamQueueLength = 1
)

// frame is the unit that a channel carries: a request on a stream, a reply or
// the end of a stream.
type frame struct {
	// Stream is the number of a stream. Numbers ascend within a channel.
	Stream uint64          `cbor:"1,keyasint"`
	Body   cbor.RawMessage `cbor:"2,keyasint,omitempty"`
	// Closed reports that the peer that opened the stream has closed it. The
	// frame then has no Body.
	Closed bool `cbor:"3,keyasint,omitempty"`
}

// Channel multiplexes streams over one connection between this process and a
// peer. Each stream has at most one request in flight.
type Channel struct {
	socket *websocket.Conn
	peer   catalog.VMID
	// features are those of the peer's build.
	features wire.Features
	// onError is called for frames that can't be decoded.
	onError func(error)
	// closed is closed when the channel ends.
	closed    chan struct{}
	closeOnce sync.Once
	// lastReceived is when the last frame or pong arrived. It holds a monotonic
	// clock reading, which changes of the wall clock don't affect.
	lastReceived atomic.Pointer[time.Time]
	// pingMutex is held while the peer is pinged.
	pingMutex sync.Mutex

	mutex      sync.Mutex
	lastStream uint64
	streams    map[uint64]chan cbor.RawMessage
}

func (h *Hub) newChannel(s *websocket.Conn, peer catalog.VMID) *Channel {
	c := &Channel{
		socket: s, peer: peer, features: h.featuresOf(peer), onError: h.options.OnError,
		closed: make(chan struct{}), streams: map[uint64]chan cbor.RawMessage{},
	}
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

// Close ends the channel and all its streams.
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

// receive calls handle for each frame until the channel ends. It skips frames that
// can't be decoded, since other callers' requests are on the channel too.
func (c *Channel) receive(ctx context.Context, handle func(frame)) {
	defer c.Close()
	for {
		_, data, err := c.socket.Read(ctx)
		if err != nil {
			return
		}
		var f frame
		c.markReceived()
		if err := decoder.Unmarshal(data, &f); err != nil {
			c.onError(errors.Annotatef(err, "channel of peer %s", c.peer))
			continue
		}
		handle(f)
	}
}

// send returns ErrTooLarge for a frame at which the peer would end the channel.
func (c *Channel) send(f frame) error {
	data, err := cbor.Marshal(f)
	if err != nil {
		return errors.Trace(err)
	}
	if len(data) > wire.MaxFrameBytes {
		return errors.Trace(ErrTooLarge)
	}
	ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
	defer cancel()
	return errors.Trace(c.socket.Write(ctx, websocket.MessageBinary, data))
}

// isAlive reports whether the peer answers. It pings the peer unless a frame
// has arrived recently, and closes the channel if the ping fails.
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

// Stream is a sequence of requests that the peer handles in one call of the
// function passed to its ChannelHandler.
type Stream struct {
	channel *Channel
	number  uint64
	replies chan cbor.RawMessage
}

// OpenStream opens a stream. The caller must close it.
func (c *Channel) OpenStream() *Stream {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.lastStream++
	t := &Stream{channel: c, number: c.lastStream, replies: make(chan cbor.RawMessage, streamQueueLength)}
	c.streams[t.number] = t.replies
	return t
}

// deliverReply passes a reply to the stream whose Call waits for it.
func (c *Channel) deliverReply(f frame) {
	c.mutex.Lock()
	replies := c.streams[f.Stream]
	c.mutex.Unlock()
	select {
	case replies <- f.Body:
	default:
		// The stream is closed, or has a reply already.
	}
}

// Call sends a request and waits for the reply while the deadline has not
// passed and the peer answers pings; it checks both every livenessCheckDelay.
// It fails with ErrNotSent or ErrNoReply, after which the stream can only be
// closed.
func (t *Stream) Call(request, reply any, deadline time.Time) error {
	body, err := cbor.Marshal(request)
	if err == nil {
		err = t.channel.checkText(body)
	}
	if err != nil {
		return errors.WithType(err, ErrNotSent)
	}
	if t.channel.isClosed() {
		return errors.Trace(ErrNotSent)
	}
	switch err := t.channel.send(frame{Stream: t.number, Body: body}); {
	case errors.Is(err, ErrTooLarge):
		return errors.WithType(err, ErrNotSent)
	case err != nil:
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

// checkText returns an error for a body with text that the peer's build refuses.
func (c *Channel) checkText(body []byte) error {
	if c.features.Has(wire.FeatureAnyText) {
		return nil
	}
	var ignored any
	return errors.Annotatef(strictDecoder.Unmarshal(body, &ignored), "text for peer %s", c.peer)
}

// Close closes the stream. Notify must be set unless the peer has ended the
// stream already; it makes Close inform the peer.
func (t *Stream) Close(notify bool) {
	c := t.channel
	c.mutex.Lock()
	delete(c.streams, t.number)
	c.mutex.Unlock()
	if notify && !c.isClosed() {
		// If sending fails, the channel has failed, which also ends the stream.
		_ = c.send(frame{Stream: t.number, Closed: true})
	}
}
