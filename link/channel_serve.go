package link

import (
	"net/http"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/wire"
)

// IncomingStream is a stream that a peer has opened.
type IncomingStream struct {
	// From is the peer that opened the stream.
	From catalog.VMID
	// Receive waits for a request and decodes it into the argument. It returns
	// ErrUnreadable if that fails, and another error once the stream has ended.
	Receive func(request any) error
	// Reply answers the last request. It returns ErrTooLarge for a reply that
	// can't be sent.
	Reply func(reply any) error
}

// ChannelHandler returns a handler for channels that peers open. It calls serve
// for each of their streams, in a goroutine of its own. The stream ends when
// serve returns.
func (h *Hub) ChannelHandler(serve func(IncomingStream)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s, from, ok := h.accept(w, r)
		if !ok {
			return
		}
		c := h.newChannel(s, from)
		c.receive(h.context, func(f frame) { c.deliverRequest(f, from, serve) })
	})
}

// deliverRequest passes a peer's request to the goroutine that serves the
// stream, and starts that goroutine for the first request of a stream.
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
		// The peer has violated the protocol, which allows one request in
		// flight per stream.
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
				if err := decoder.Unmarshal(body, request); err != nil {
					err = errors.WithType(errors.Annotatef(err, "stream of peer %s", from), ErrUnreadable)
					c.onError(err)
					return err
				}
				return nil
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

// accept upgrades a peer's connection to a WebSocket and authenticates the
// peer. It reports failures to OnError.
func (h *Hub) accept(w http.ResponseWriter, r *http.Request) (*websocket.Conn, catalog.VMID, bool) {
	for name, values := range ownFeatures() {
		w.Header()[name] = values
	}
	s, err := websocket.Accept(w, r, nil)
	if err != nil {
		h.options.OnError(errors.Annotate(err, "accept peer connection"))
		return nil, "", false
	}
	s.SetReadLimit(wire.MaxFrameBytes)
	from, err := h.acceptHandshake(r.Context(), s)
	if err != nil {
		_ = s.CloseNow()
		h.options.OnError(errors.Annotatef(err, "handshake with peer at %s", r.RemoteAddr))
		return nil, "", false
	}
	h.setFeatures(from, r.Header)
	return s, from, true
}
