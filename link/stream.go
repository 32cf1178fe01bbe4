package link

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/wire"
)

// StreamPath is where a Hub's stream handler is served.
const StreamPath = "/v1/stream"

const (
	// ErrNotSent says that nothing of a question has left.
	ErrNotSent = errors.ConstError("nothing was sent")
	// ErrLost says that the peer fell silent behind a question.
	ErrLost = errors.ConstError("the peer fell silent")
)

const (
	// streamDial bounds the way to a VM of the same site with its greeting. It
	// may stand still for a tenth of a second.
	streamDial = 200 * time.Millisecond
	// askAfter is how long an answer may take before the peer is asked whether
	// it is there, and aliveTime how long it may take to say so: longer than a
	// standstill of a VM with part of a core.
	askAfter  = 250 * time.Millisecond
	aliveTime = 350 * time.Millisecond
	// restedAfter is how long a stream may rest before it is checked at its
	// next use; it may have gone silent without being reset.
	restedAfter = time.Second
	// streamsKept is how many resting streams to a peer are kept.
	streamsKept = 8
	// framesAhead is how many frames may arrive before they are received.
	framesAhead = 1
)

// Stream carries questions to a peer, one at a time, and its answers.
type Stream struct {
	// From is the VM at the other end.
	From   catalog.VMID
	socket *websocket.Conn
	frames chan []byte
	// gone is closed once nothing more can arrive.
	gone   chan struct{}
	once   sync.Once
	usedAt time.Time
}

func newStream(ctx context.Context, s *websocket.Conn, from catalog.VMID) *Stream {
	t := &Stream{From: from, socket: s, frames: make(chan []byte, framesAhead), gone: make(chan struct{}), usedAt: time.Now()}
	go t.read(ctx)
	return t
}

// read takes frames off the connection all the time, since only then pings are
// answered.
func (t *Stream) read(ctx context.Context) {
	defer t.Close()
	for {
		_, data, err := t.socket.Read(ctx)
		if err != nil {
			return
		}
		select {
		case t.frames <- data:
		case <-t.gone:
			return
		}
	}
}

// Close ends the stream.
func (t *Stream) Close() {
	t.once.Do(func() {
		close(t.gone)
		_ = t.socket.CloseNow()
	})
}

// Receive waits for the peer's next frame. It fails once the stream has ended.
func (t *Stream) Receive(v any) error {
	select {
	case data := <-t.frames:
		return errors.Trace(decoder.Unmarshal(data, v))
	case <-t.gone:
		return errors.Trace(ErrLost)
	}
}

// Send writes a frame.
func (t *Stream) Send(v any) error {
	data, err := cbor.Marshal(v)
	if err != nil {
		return errors.Trace(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), writeTime)
	defer cancel()
	return errors.Trace(t.socket.Write(ctx, websocket.MessageBinary, data))
}

// Exchange sends a question and waits for the answer until the deadline. It
// fails with ErrNotSent or ErrLost; after ErrLost the stream has ended.
func (t *Stream) Exchange(question, answer any, deadline time.Time) error {
	select {
	case <-t.gone:
		return errors.Trace(ErrNotSent)
	default:
	}
	if err := t.Send(question); err != nil {
		t.Close()
		return errors.Wrap(err, ErrLost)
	}
	err := t.await(answer, deadline)
	t.usedAt = time.Now()
	if err != nil {
		t.Close()
	}
	return err
}

// await waits for an answer as long as the peer shows that it is there.
func (t *Stream) await(answer any, deadline time.Time) error {
	timer := time.NewTimer(askAfter)
	defer timer.Stop()
	for {
		select {
		case data := <-t.frames:
			if err := decoder.Unmarshal(data, answer); err != nil {
				return errors.Wrap(err, ErrLost)
			}
			return nil
		case <-t.gone:
			return errors.Trace(ErrLost)
		case <-timer.C:
			if time.Now().After(deadline) || !t.ping(aliveTime) {
				return errors.Trace(ErrLost)
			}
			timer.Reset(askAfter)
		}
	}
}

func (t *Stream) ping(most time.Duration) bool {
	ctx, cancel := context.WithTimeout(context.Background(), most)
	defer cancel()
	return t.socket.Ping(ctx) == nil
}

// Streams keeps the streams that a process has opened.
type Streams struct {
	hub   *Hub
	mutex sync.Mutex
	idle  map[catalog.VMID][]*Stream
}

// NewStreams returns streams of a hub's process.
func NewStreams(h *Hub) *Streams {
	return &Streams{hub: h, idle: map[catalog.VMID][]*Stream{}}
}

// Take returns a stream to a peer for one use, after which Give or Close must
// follow. It fails if the peer is out of reach.
func (p *Streams) Take(to catalog.VMID) (*Stream, error) {
	for {
		t := p.takeIdle(to)
		if t == nil {
			break
		}
		if time.Since(t.usedAt) < restedAfter || t.ping(aliveTime) {
			return t, nil
		}
		t.Close()
	}
	ctx, cancel := context.WithTimeout(p.hub.context, streamDial)
	defer cancel()
	s, err := p.hub.dial(ctx, to, StreamPath)
	if err != nil {
		return nil, err
	}
	return newStream(p.hub.context, s, to), nil
}

func (p *Streams) takeIdle(to catalog.VMID) *Stream {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for {
		kept := p.idle[to]
		if len(kept) == 0 {
			return nil
		}
		t := kept[len(kept)-1]
		p.idle[to] = kept[:len(kept)-1]
		select {
		case <-t.gone:
		default:
			return t
		}
	}
}

// Give keeps a stream for its next use.
func (p *Streams) Give(t *Stream) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if kept := p.idle[t.From]; len(kept) < streamsKept {
		p.idle[t.From] = append(kept, t)
		return
	}
	go t.Close()
}

// HandleStreams serves the streams that peers open, until each ends.
func (h *Hub) HandleStreams(serve func(*Stream)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s, from, ok := h.accept(w, r)
		if !ok {
			return
		}
		t := newStream(h.context, s, from)
		defer t.Close()
		serve(t)
	})
}

// accept greets a peer that has connected.
func (h *Hub) accept(w http.ResponseWriter, r *http.Request) (*websocket.Conn, catalog.VMID, bool) {
	s, err := websocket.Accept(w, r, nil)
	if err != nil {
		h.options.Refused(errors.Annotate(err, "accept peer"))
		return nil, "", false
	}
	s.SetReadLimit(wire.MaxFrame)
	from, err := h.greet(r.Context(), s)
	if err != nil {
		_ = s.CloseNow()
		h.options.Refused(errors.Annotatef(err, "greet peer at %s", r.RemoteAddr))
		return nil, "", false
	}
	return s, from, true
}
