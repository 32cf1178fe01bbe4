package link

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"net/http"
	"sync"
	"time"

	"github.com/coder/websocket"
	"github.com/juju/errors"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/socket"
	"github.com/kingcupknot/kingcupknot/wire"
)

const (
	// queueLength is how many messages wait for a peer before new ones are
	// dropped; whatever matters is sent again by the reducers.
	queueLength = 1024
	dialTime    = 500 * time.Millisecond
	writeTime   = time.Second
	redialFirst = 20 * time.Millisecond
	redialMost  = 500 * time.Millisecond
	// pingEvery and pingTime bound how long a silent connection goes unseen.
	pingEvery = time.Second
	pingTime  = time.Second
)

// Hub holds one outgoing connection to each peer that was ever written to.
type Hub struct {
	options Options
	context context.Context
	stop    context.CancelFunc
	mutex   sync.Mutex
	// queues holds what waits for each peer. Invariant: one sender goroutine
	// for each.
	queues map[catalog.VMID]chan []byte
	client *http.Client
}

// NewHub returns a hub that sends until Close.
func NewHub(o Options) *Hub {
	ctx, stop := context.WithCancel(context.Background())
	return &Hub{
		options: o, context: ctx, stop: stop, queues: map[catalog.VMID]chan []byte{},
		client: &http.Client{Transport: &http.Transport{DialContext: socket.Dialer(dialTime).DialContext}},
	}
}

// Close ends all connections.
func (h *Hub) Close() {
	h.stop()
}

// Send queues a message for a peer. It never blocks, and drops the message if
// the peer is unknown or too far behind.
func (h *Hub) Send(to catalog.VMID, m wire.Message) {
	data, err := Encode(m)
	if err != nil {
		h.options.OnError(err)
		return
	}
	h.mutex.Lock()
	q := h.queues[to]
	if q == nil && h.options.Address(to) != "" {
		q = make(chan []byte, queueLength)
		h.queues[to] = q
		go h.keep(to, q)
	}
	h.mutex.Unlock()
	if q == nil {
		return
	}
	select {
	case q <- data:
	default:
		h.options.OnError(errors.Errorf("the queue to %s is full", to))
	}
}

// keep dials a peer over and over and sends what waits for it.
func (h *Hub) keep(to catalog.VMID, q chan []byte) {
	wait := redialFirst
	for h.context.Err() == nil {
		ctx, cancel := context.WithTimeout(h.context, dialTime)
		s, err := h.dial(ctx, to, Path)
		cancel()
		if err == nil {
			wait = redialFirst
			h.pump(s, q)
			_ = s.CloseNow()
			continue
		}
		drop(q)
		select {
		case <-time.After(wait):
		case <-h.context.Done():
		}
		wait = min(2*wait, redialMost)
	}
}

// drop empties a queue: what waited for a peer out of reach is out of date.
func drop(q chan []byte) {
	for {
		select {
		case <-q:
		default:
			return
		}
	}
}

func (h *Hub) dial(ctx context.Context, to catalog.VMID, path string) (*websocket.Conn, error) {
	s, _, err := websocket.Dial(ctx, "ws://"+h.options.Address(to)+path, &websocket.DialOptions{HTTPClient: h.client})
	if err != nil {
		return nil, errors.Trace(err)
	}
	s.SetReadLimit(wire.MaxFrame)
	if err := h.introduce(ctx, s, to); err != nil {
		_ = s.CloseNow()
		return nil, err
	}
	return s, nil
}

func (h *Hub) introduce(ctx context.Context, s *websocket.Conn, to catalog.VMID) error {
	var c challenge
	if err := readFrame(ctx, s, &c); err != nil {
		return errors.Trace(err)
	}
	nonce := make([]byte, challengeSize)
	if _, err := rand.Read(nonce); err != nil {
		return errors.Trace(err)
	}
	proof := prove(h.options.Key, c.Nonce, "dial", h.options.VM, to)
	m := hello{Protocol: wire.Protocol, VM: h.options.VM, To: to, Proof: proof, Nonce: nonce}
	if err := writeFrame(ctx, s, m); err != nil {
		return errors.Trace(err)
	}
	var w welcome
	if err := readFrame(ctx, s, &w); err != nil {
		return errors.Trace(err)
	}
	if !hmac.Equal(w.Proof, prove(h.options.Key, nonce, "accept", h.options.VM, to)) {
		return errors.Errorf("%s does not know the shared key", to)
	}
	return nil
}

// pump sends until the connection breaks. The peer sends nothing after the
// greeting, so a read that ends means that it is gone.
func (h *Hub) pump(s *websocket.Conn, q chan []byte) {
	gone := s.CloseRead(h.context)
	ticker := time.NewTicker(pingEvery)
	defer ticker.Stop()
	for {
		select {
		case <-gone.Done():
			return
		case <-ticker.C:
			if !h.ping(s) {
				return
			}
		case data := <-q:
			if !h.write(s, data) {
				return
			}
		}
	}
}

// ping shows whether the connection still carries anything; one may go silent
// without being reset.
func (h *Hub) ping(s *websocket.Conn) bool {
	ctx, cancel := context.WithTimeout(h.context, pingTime)
	defer cancel()
	return s.Ping(ctx) == nil
}

func (h *Hub) write(s *websocket.Conn, data []byte) bool {
	ctx, cancel := context.WithTimeout(h.context, writeTime)
	defer cancel()
	return s.Write(ctx, websocket.MessageBinary, data) == nil
}
