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
	// ErrLost says that the peer fell silent behind a question.
	ErrLost = errors.ConstError("the peer fell silent")
)

const (
	// channelDial bounds the way to a VM of the same site with its greeting.
	// That VM may stand still for a tenth of a second.
	channelDial = 200 * time.Millisecond
	// askAfter is how long an answer may take before the peer is asked whether
	// it is there, and aliveTime how long it may take to say so: longer than a
	// standstill of a VM with part of a core.
	askAfter  = 250 * time.Millisecond
	aliveTime = 350 * time.Millisecond
	// restedAfter is how long a channel may rest before it is checked at its
	// next use; it may have gone silent without being reset.
	restedAfter = time.Second
	// talkQueue is how many questions of one talk may wait: the next is only
	// asked once the one before is answered.
	talkQueue = 1
)

// frame is what a channel carries: a question of a talk or the answer to it.
type frame struct {
	// Talk numbers the talks of a channel, ascending.
	Talk uint64          `cbor:"1,keyasint"`
	Body cbor.RawMessage `cbor:"2,keyasint,omitempty"`
	// Ended is set once the asker needs the talk no more. There is no Body.
	Ended bool `cbor:"3,keyasint,omitempty"`
}

// Channel carries the talks of this process with a peer. Each talk has one
// question under way at a time.
type Channel struct {
	socket *websocket.Conn
	// gone is closed once nothing more can arrive.
	gone chan struct{}
	once sync.Once
	// heardAt is when something arrived last. It holds a reading of the steady
	// clock, which the time of day does not move.
	heardAt atomic.Pointer[time.Time]
	// asking is held while the peer is asked whether it is there.
	asking sync.Mutex

	mutex sync.Mutex
	last  uint64
	talks map[uint64]chan cbor.RawMessage
}

func newChannel(s *websocket.Conn) *Channel {
	c := &Channel{socket: s, gone: make(chan struct{}), talks: map[uint64]chan cbor.RawMessage{}}
	c.heard()
	return c
}

func (c *Channel) heard() {
	now := time.Now()
	c.heardAt.Store(&now)
}

func (c *Channel) silentFor() time.Duration {
	return time.Since(*c.heardAt.Load())
}

// Close ends the channel and its talks.
func (c *Channel) Close() {
	c.once.Do(func() {
		close(c.gone)
		_ = c.socket.CloseNow()
	})
}

func (c *Channel) isGone() bool {
	select {
	case <-c.gone:
		return true
	default:
		return false
	}
}

// receive hands what arrives to take until the channel ends.
func (c *Channel) receive(ctx context.Context, take func(frame)) {
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
		c.heard()
		take(f)
	}
}

func (c *Channel) send(f frame) error {
	data, err := cbor.Marshal(f)
	if err != nil {
		return errors.Trace(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), writeTime)
	defer cancel()
	return errors.Trace(c.socket.Write(ctx, websocket.MessageBinary, data))
}

// isAlive asks the peer whether it is there unless it was heard of late.
func (c *Channel) isAlive() bool {
	c.asking.Lock()
	defer c.asking.Unlock()
	if c.isGone() {
		return false
	}
	if c.silentFor() < askAfter {
		return true
	}
	ctx, cancel := context.WithTimeout(context.Background(), aliveTime)
	defer cancel()
	if c.socket.Ping(ctx) != nil {
		c.Close()
		return false
	}
	c.heard()
	return true
}

// Talk is a series of questions that the peer answers in one context.
type Talk struct {
	channel *Channel
	number  uint64
	answers chan cbor.RawMessage
}

// Begin starts a talk, which End ends.
func (c *Channel) Begin() *Talk {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.last++
	t := &Talk{channel: c, number: c.last, answers: make(chan cbor.RawMessage, talkQueue)}
	c.talks[t.number] = t.answers
	return t
}

// answered takes the answer to a question of this process.
func (c *Channel) answered(f frame) {
	c.mutex.Lock()
	answers := c.talks[f.Talk]
	c.mutex.Unlock()
	select {
	case answers <- f.Body:
	default:
		// Nobody waits for it any more.
	}
}

// Ask sends a question and waits for the answer, until the deadline and as long
// as the peer shows that it is there. It fails with ErrNotSent or ErrLost, after
// which the talk can only be ended.
func (t *Talk) Ask(question, answer any, deadline time.Time) error {
	body, err := cbor.Marshal(question)
	if err != nil {
		return errors.WithType(err, ErrNotSent)
	}
	if t.channel.isGone() {
		return errors.Trace(ErrNotSent)
	}
	if err := t.channel.send(frame{Talk: t.number, Body: body}); err != nil {
		t.channel.Close()
		return errors.WithType(err, ErrLost)
	}
	timer := time.NewTimer(askAfter)
	defer timer.Stop()
	for {
		select {
		case body := <-t.answers:
			if err := decoder.Unmarshal(body, answer); err != nil {
				return errors.WithType(err, ErrLost)
			}
			return nil
		case <-t.channel.gone:
			return errors.Trace(ErrLost)
		case <-timer.C:
			if time.Now().After(deadline) || !t.channel.isAlive() {
				return errors.Trace(ErrLost)
			}
			timer.Reset(askAfter)
		}
	}
}

// End ends the talk. The peer must be told unless it has ended it by itself.
func (t *Talk) Close(tell bool) {
	c := t.channel
	c.mutex.Lock()
	delete(c.talks, t.number)
	c.mutex.Unlock()
	if tell && !c.isGone() {
		// A channel that breaks ends the talk too.
		_ = c.send(frame{Talk: t.number, Ended: true})
	}
}

// Channels keeps one channel to each peer that this process asks.
type Channels struct {
	hub   *Hub
	mutex sync.Mutex
	peers map[catalog.VMID]*peerChannel
}

// peerChannel is the channel to one peer. The mutex is held while it is opened.
type peerChannel struct {
	mutex   sync.Mutex
	channel *Channel
	// failedAt is when the last attempt to open it failed.
	failedAt time.Time
}

// NewChannels returns channels of a hub's process.
func NewChannels(h *Hub) *Channels {
	return &Channels{hub: h, peers: map[catalog.VMID]*peerChannel{}}
}

// Open returns the channel to a peer. It fails if the peer is out of reach.
func (p *Channels) Get(to catalog.VMID) (*Channel, error) {
	p.mutex.Lock()
	peer := p.peers[to]
	if peer == nil {
		peer = &peerChannel{}
		p.peers[to] = peer
	}
	p.mutex.Unlock()
	peer.mutex.Lock()
	defer peer.mutex.Unlock()
	if c := peer.channel; c != nil && !c.isGone() && (c.silentFor() < restedAfter || c.isAlive()) {
		return c, nil
	}
	if time.Since(peer.failedAt) < channelDial {
		// All that waited for that attempt would make one of their own.
		return nil, errors.Trace(ErrNotSent)
	}
	ctx, cancel := context.WithTimeout(p.hub.context, channelDial)
	defer cancel()
	s, err := p.hub.dial(ctx, to, ChannelPath)
	if err != nil {
		peer.failedAt = time.Now()
		return nil, err
	}
	peer.channel = newChannel(s)
	go peer.channel.receive(p.hub.context, peer.channel.answered)
	return peer.channel, nil
}

// Questions are those of one talk that a peer has begun.
type Questions struct {
	// From is the peer.
	From catalog.VMID
	// Next waits for a question. It fails once the talk has ended.
	Next func(question any) error
	// Answer answers the last one.
	Reply func(answer any) error
}

// HandleChannels serves the talks that peers begin. Serve is called for each, in
// a goroutine of its own, and ends it by returning.
func (h *Hub) HandleChannels(serve func(Questions)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s, from, ok := h.accept(w, r)
		if !ok {
			return
		}
		c := newChannel(s)
		c.receive(h.context, func(f frame) { c.asked(f, from, serve) })
	})
}

// asked takes a question of the peer.
func (c *Channel) asked(f frame, from catalog.VMID, serve func(Questions)) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	questions := c.talks[f.Talk]
	if f.Ended {
		if questions != nil {
			close(questions)
			delete(c.talks, f.Talk)
		}
		return
	}
	if questions == nil {
		questions = make(chan cbor.RawMessage, talkQueue)
		c.talks[f.Talk] = questions
		go c.serve(f.Talk, questions, from, serve)
	}
	select {
	case questions <- f.Body:
	default:
		// A peer that does not wait for its answer breaks the rules.
		go c.Close()
	}
}

func (c *Channel) serve(number uint64, questions chan cbor.RawMessage, from catalog.VMID, serve func(Questions)) {
	serve(Questions{
		From: from,
		Next: func(question any) error {
			select {
			case body, ok := <-questions:
				if !ok {
					return errors.Trace(ErrLost)
				}
				return errors.Trace(decoder.Unmarshal(body, question))
			case <-c.gone:
				return errors.Trace(ErrLost)
			}
		},
		Reply: func(answer any) error {
			body, err := cbor.Marshal(answer)
			if err != nil {
				return errors.Trace(err)
			}
			return c.send(frame{Talk: number, Body: body})
		},
	})
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.talks, number)
}

// accept greets a peer that has connected.
func (h *Hub) accept(w http.ResponseWriter, r *http.Request) (*websocket.Conn, catalog.VMID, bool) {
	s, err := websocket.Accept(w, r, nil)
	if err != nil {
		h.options.OnError(errors.Annotate(err, "accept peer"))
		return nil, "", false
	}
	s.SetReadLimit(wire.MaxFrame)
	from, err := h.greet(r.Context(), s)
	if err != nil {
		_ = s.CloseNow()
		h.options.OnError(errors.Annotatef(err, "greet peer at %s", r.RemoteAddr))
		return nil, "", false
	}
	return s, from, true
}
