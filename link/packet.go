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

// A whole configuration of 3,152 routes has 300 kB, and control sends it to
// hundreds of entries at a time when these start. The encoded routes are therefore
// shared by all packets that contain them.

const (
	// MinSharedRoutes is the number of routes from which on they are encoded once
	// for all receivers. Fewer routes are not worth the memory of the cache.
	MinSharedRoutes = 256
	// maxQueuedBytes bounds the parts of their own of the packets that wait for one
	// peer, in addition to a first packet, which may be as long as a frame.
	maxQueuedBytes = 1 << 20
	// minWriteRate is the rate in bytes per second at which a peer must at least
	// take a packet in addition to writeTimeout. Links of entries carry 175 kB/s.
	minWriteRate = 64 << 10
	// maxFragment bounds the parts of a packet that are written at once, so that
	// pongs are sent in between.
	maxFragment = 16 << 10
	// answerRoutesKey is the key of wire.Answer.Routes as encoded in CBOR.
	answerRoutesKey = 12
)

// packet is an encoded message. Its parts are joined by the receiver; shared may
// belong to several packets and must not be changed.
type packet struct {
	own, shared []byte
}

func (p packet) size() int { return len(p.own) + len(p.shared) }

// packetQueue holds the packets that wait for a peer.
type packetQueue struct {
	packets chan packet
	bytes   atomic.Int64
}

func newPacketQueue() *packetQueue {
	return &packetQueue{packets: make(chan packet, peerQueueLength)}
}

// add queues a packet and reports whether there was room for it.
func (q *packetQueue) add(p packet) bool {
	size := int64(len(p.own))
	if before := q.bytes.Add(size) - size; before > 0 && before+size > maxQueuedBytes {
		q.bytes.Add(-size)
		return false
	}
	select {
	case q.packets <- p:
		return true
	default:
		q.bytes.Add(-size)
		return false
	}
}

// taken must be called for each packet that was received from the channel.
func (q *packetQueue) taken(p packet) {
	q.bytes.Add(-int64(len(p.own)))
}

// routeCache holds the encoding of the list of routes that was sent last.
type routeCache struct {
	mutex   sync.Mutex
	routes  []catalog.Route
	encoded []byte
}

// encode returns the encoding of a list of routes, which must not be changed
// afterwards.
func (c *routeCache) encode(routes []catalog.Route) ([]byte, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if len(c.routes) == len(routes) && &c.routes[0] == &routes[0] {
		return c.encoded, nil
	}
	data, err := cbor.Marshal(routes)
	if err != nil {
		return nil, errors.Annotate(err, "encode routes")
	}
	c.routes, c.encoded = routes, data
	return data, nil
}

// encodePacket encodes a message like Encode, except for the order of its fields.
func (c *routeCache) encodePacket(m wire.Message) (packet, error) {
	if m.Answer == nil || len(m.Answer.Routes) < MinSharedRoutes {
		data, err := Encode(m)
		return packet{own: data}, err
	}
	shared, err := c.encode(m.Answer.Routes)
	if err != nil {
		return packet{}, err
	}
	answer := *m.Answer
	answer.Routes = nil
	data, err := Encode(wire.Message{Answer: &answer})
	if err != nil {
		return packet{}, err
	}
	own, ok := appendToAnswer(data)
	if !ok {
		data, err = Encode(m)
		return packet{own: data}, err
	}
	p := packet{own: own, shared: shared}
	if p.size() > wire.MaxFrameBytes {
		return packet{}, errors.Errorf("message of %d bytes is over the limit of %d", p.size(), wire.MaxFrameBytes)
	}
	return p, nil
}

// appendToAnswer adds the key of the routes to an encoded message with an answer.
// The encoding of the routes must follow. It returns false unless the message has
// the form of Encode: a map with one pair, the key of the answer, and a map with
// fewer pairs than would need a longer head.
func appendToAnswer(data []byte) ([]byte, bool) {
	const (
		mapOfOne, answerKey   = 0xa1, 0x02
		emptyMap, maxShortMap = 0xa0, 0xb7
		answerHead            = 2
	)
	if len(data) <= answerHead || data[0] != mapOfOne || data[1] != answerKey || data[answerHead] < emptyMap || data[answerHead] >= maxShortMap {
		return nil, false
	}
	data[answerHead]++
	return append(data, answerRoutesKey), true
}

// write sends a packet and reports whether that succeeded.
func (h *Hub) write(s *websocket.Conn, p packet) bool {
	limit := writeTimeout + time.Duration(p.size())*time.Second/minWriteRate
	ctx, cancel := context.WithTimeout(h.context, limit)
	defer cancel()
	if p.size() <= maxFragment {
		return s.Write(ctx, websocket.MessageBinary, append(p.own, p.shared...)) == nil
	}
	w, err := s.Writer(ctx, websocket.MessageBinary)
	if err != nil {
		return false
	}
	for _, part := range [][]byte{p.own, p.shared} {
		for len(part) > 0 {
			n := min(len(part), maxFragment)
			if _, err := w.Write(part[:n]); err != nil {
				return false
			}
			part = part[n:]
		}
	}
	return w.Close() == nil
}
