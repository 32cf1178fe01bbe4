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
	// peerQueueLength is how many messages may wait for a peer before new ones
	// are dropped. The reducers resend the messages that matter.
	peerQueueLength = 1024
	dialTimeout     = 500 * time.Millisecond
	writeTimeout    = time.Second
	minRedialDelay  = 20 * time.Millisecond
	maxRedialDelay  = 500 * time.Millisecond
	// pingInterval and pingTimeout bound how long the failure of an idle
	// connection stays undetected.
	pingInterval = time.Second
	pingTimeout  = time.Second
)

// Hub accepts the connections of peers and sends messages over them. To each
// other peer to which a message was ever sent, it maintains a connection of its
// own.
type Hub struct {
	options Options
	context context.Context
	stop    context.CancelFunc
	mutex   sync.Mutex
	// queues holds the encoded messages that wait for each peer. One goroutine
	// per queue sends them.
	queues map[catalog.VMID]*packetQueue
	// returnPaths holds the newest open connection of each peer that has
	// connected to this process and reads messages on the connection.
	returnPaths map[catalog.VMID]*returnPath
	// features holds the features of the peers, as they named them last.
	features map[catalog.VMID]wire.Features
	client   *http.Client
	encoder  packetEncoder
}

// NewHub returns a hub that works until Close is called.
func NewHub(o Options) *Hub {
	ctx, stop := context.WithCancel(context.Background())
	return &Hub{
		options: o, context: ctx, stop: stop, queues: map[catalog.VMID]*packetQueue{},
		returnPaths: map[catalog.VMID]*returnPath{}, features: map[catalog.VMID]wire.Features{},
		client: &http.Client{Transport: &http.Transport{DialContext: socket.Dialer(dialTimeout).DialContext}},
	}
}

// Close ends all connections of the hub.
func (h *Hub) Close() {
	h.stop()
}

// Send queues a message for a peer. It never blocks. It drops the message if
// the message can't be encoded, the peer is unknown or the peer's queue is full.
// A list of MinSharedRoutes routes or services or more must not be changed afterwards.
func (h *Hub) Send(to catalog.VMID, m wire.Message) {
	p, err := h.encoder.encode(m.ForPeer(h.featuresOf(to)))
	if err != nil {
		h.options.OnError(err)
		return
	}
	h.mutex.Lock()
	q := h.queueFor(to)
	h.mutex.Unlock()
	if q == nil {
		return
	}
	if !q.add(p) {
		h.options.OnError(errors.Errorf("queue to %s is full", to))
	}
}

// maintainConnection connects to a peer, sends the messages in its queue, and
// reconnects after failures with exponential backoff.
func (h *Hub) maintainConnection(to catalog.VMID, q *packetQueue) {
	wait := minRedialDelay
	for h.context.Err() == nil {
		ctx, cancel := context.WithTimeout(h.context, dialTimeout)
		s, err := h.dial(ctx, to, PeerPath+"?"+returnQuery)
		cancel()
		if err == nil {
			wait = minRedialDelay
			h.sendQueued(s, to, q)
			_ = s.CloseNow()
			continue
		}
		discardQueued(q)
		select {
		case <-time.After(wait):
		case <-h.context.Done():
		}
		wait = min(2*wait, maxRedialDelay)
	}
}

// discardQueued empties a queue. Messages that waited for an unreachable peer
// are out of date.
func discardQueued(q *packetQueue) {
	for {
		select {
		case p := <-q.packets:
			q.taken(p)
		default:
			return
		}
	}
}

func (h *Hub) dial(ctx context.Context, to catalog.VMID, path string) (*websocket.Conn, error) {
	s, response, err := websocket.Dial(ctx, "ws://"+h.options.Address(to)+path, &websocket.DialOptions{HTTPClient: h.client, HTTPHeader: ownFeatures()})
	if err != nil {
		return nil, errors.Trace(err)
	}
	h.setFeatures(to, response.Header)
	s.SetReadLimit(wire.MaxFrameBytes)
	if err := h.dialHandshake(ctx, s, to); err != nil {
		_ = s.CloseNow()
		return nil, err
	}
	return s, nil
}

// dialHandshake authenticates this process to the peer, and the peer to this
// process.
func (h *Hub) dialHandshake(ctx context.Context, s *websocket.Conn, to catalog.VMID) error {
	var c challenge
	if err := readFrame(ctx, s, &c); err != nil {
		return errors.Trace(err)
	}
	nonce := make([]byte, challengeSize)
	if _, err := rand.Read(nonce); err != nil {
		return errors.Trace(err)
	}
	proof := computeProof(h.options.Key, c.Nonce, "dial", h.options.VM, to)
	m := hello{Protocol: wire.ProtocolVersion, VM: h.options.VM, To: to, Proof: proof, Nonce: nonce}
	if err := writeFrame(ctx, s, m); err != nil {
		return errors.Trace(err)
	}
	var w welcome
	if err := readFrame(ctx, s, &w); err != nil {
		return errors.Trace(err)
	}
	if !hmac.Equal(w.Proof, computeProof(h.options.Key, nonce, "accept", h.options.VM, to)) {
		return errors.Errorf("peer %s does not know the shared key", to)
	}
	return nil
}

// sendQueued sends queued messages, and receives those of the peer, until the
// connection fails.
func (h *Hub) sendQueued(s *websocket.Conn, to catalog.VMID, q *packetQueue) {
	closed := h.receiveReturns(s, to)
	ticker := time.NewTicker(pingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-closed:
			return
		case <-ticker.C:
			if !h.ping(s) {
				return
			}
		case p := <-q.packets:
			q.taken(p)
			if !h.write(s, p) {
				return
			}
		}
	}
}

// ping reports whether the peer answers a ping. Pings detect connections that
// have failed without a reset.
func (h *Hub) ping(s *websocket.Conn) bool {
	ctx, cancel := context.WithTimeout(h.context, pingTimeout)
	defer cancel()
	return s.Ping(ctx) == nil
}
