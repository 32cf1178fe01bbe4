package link

import (
	"github.com/coder/websocket"

	"github.com/kingcupknot/kingcupknot/catalog"
)

// A peer that has connected to this process gets messages over that connection.
// Without this, a new leader of control would have to connect to every entry
// before any of them gets an answer. With hundreds of entries, that takes longer
// than a lease lasts.

// returnQuery is the query of PeerPath with which the dialling side states that
// it reads messages on the connection. Older versions don't send it.
const returnQuery = "returns"

// returnPath is a connection that a peer has opened, used to send messages to
// that peer.
type returnPath struct {
	socket *websocket.Conn
	queue  *packetQueue
}

// addReturnPath makes a connection that the peer has opened the one over which
// messages are sent to the peer. It replaces an earlier one, which the peer may
// have lost without this process noticing. The function that it returns must be
// called once the connection has ended.
func (h *Hub) addReturnPath(from catalog.VMID, s *websocket.Conn) (remove func()) {
	p := &returnPath{socket: s, queue: newPacketQueue()}
	ended := make(chan struct{})
	h.mutex.Lock()
	h.returnPaths[from] = p
	h.mutex.Unlock()
	go func() {
		for {
			select {
			case next := <-p.queue.packets:
				p.queue.taken(next)
				if !h.write(s, next) {
					h.removeReturnPath(from, p)
					_ = s.CloseNow()
					return
				}
			case <-ended:
				return
			}
		}
	}()
	return func() {
		close(ended)
		h.removeReturnPath(from, p)
	}
}

func (h *Hub) removeReturnPath(from catalog.VMID, p *returnPath) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.returnPaths[from] == p {
		delete(h.returnPaths, from)
	}
}

// queueFor returns the queue for messages to a peer, nil if the peer is unknown.
// If the peer has not connected to this process, queueFor connects to the peer.
// The mutex must be held.
func (h *Hub) queueFor(to catalog.VMID) *packetQueue {
	if p := h.returnPaths[to]; p != nil {
		return p.queue
	}
	q := h.queues[to]
	if q == nil && h.options.Address(to) != "" {
		q = newPacketQueue()
		h.queues[to] = q
		go h.maintainConnection(to, q)
	}
	return q
}

// receiveReturns receives messages over a connection that this process has
// opened. closed is closed once the connection has ended.
func (h *Hub) receiveReturns(s *websocket.Conn, from catalog.VMID) (closed <-chan struct{}) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		h.receive(s, from)
	}()
	return done
}
