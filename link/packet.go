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
// hundreds of entries at a time when these start. The encoded routes and services are
// therefore shared by all packets that contain them.

const (
	// MinSharedRoutes is the number of routes or services from which on they are
	// encoded once for all receivers. Fewer are not worth the memory of the cache.
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
	// answerRoutesKey and answerServicesKey are the keys of wire.Answer.Routes and
	// wire.Answer.Services as encoded in CBOR.
	answerRoutesKey, answerServicesKey = 12, 7
)

// packet is an encoded message. Its parts are joined by the receiver; shared may
// belong to several packets and must not be changed.
type packet struct {
	own    []byte
	shared [][]byte
}

func (p packet) size() int {
	n := len(p.own)
	for _, part := range p.shared {
		n += len(part)
	}
	return n
}

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

// listCache holds the encoding of the list that was sent last.
type listCache[T any] struct {
	mutex   sync.Mutex
	list    []T
	encoded []byte
}

// encode returns the key and the encoding of a list, which must not be changed
// afterwards, as a pair of a map.
func (c *listCache[T]) encode(key byte, list []T) ([]byte, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if len(c.list) == len(list) && &c.list[0] == &list[0] {
		return c.encoded, nil
	}
	data, err := cbor.Marshal(list)
	if err != nil {
		return nil, errors.Annotate(err, "encode a shared list")
	}
	c.list, c.encoded = list, append([]byte{key}, data...)
	return c.encoded, nil
}

// packetEncoder encodes messages like Encode, except for the order of their
// fields. Long lists of routes and services are encoded once.
type packetEncoder struct {
	routes   listCache[catalog.Route]
	services listCache[catalog.Service]
}

func (c *packetEncoder) encode(m wire.Message) (packet, error) {
	if m.Answer == nil || len(m.Answer.Routes) < MinSharedRoutes {
		data, err := Encode(m)
		return packet{own: data}, err
	}
	answer := *m.Answer
	routes, err := c.routes.encode(answerRoutesKey, answer.Routes)
	if err != nil {
		return packet{}, err
	}
	p := packet{shared: [][]byte{routes}}
	answer.Routes = nil
	if len(answer.Services) >= MinSharedRoutes {
		services, err := c.services.encode(answerServicesKey, answer.Services)
		if err != nil {
			return packet{}, err
		}
		p.shared, answer.Services = append(p.shared, services), nil
	}
	if p.own, err = Encode(wire.Message{Answer: &answer}); err != nil {
		return packet{}, err
	}
	if !extendAnswer(p.own, len(p.shared)) {
		data, err := Encode(m)
		return packet{own: data}, err
	}
	if p.size() > wire.MaxFrameBytes {
		return packet{}, errors.Errorf("message of %d bytes is over the limit of %d", p.size(), wire.MaxFrameBytes)
	}
	return p, nil
}

// extendAnswer adds to the number of pairs in an encoded message with an answer.
// The encodings of the pairs must follow. It returns false unless the message has
// the form of Encode: a map with one pair, the key of the answer, and a map whose
// head has room for that number.
func extendAnswer(data []byte, pairs int) bool {
	const (
		mapOfOne, answerKey   = 0xa1, 0x02
		emptyMap, maxShortMap = 0xa0, 0xb7
		answerHead            = 2
	)
	if len(data) <= answerHead || data[0] != mapOfOne || data[1] != answerKey || data[answerHead] < emptyMap || int(data[answerHead])+pairs > maxShortMap {
		return false
	}
	data[answerHead] += byte(pairs)
	return true
}

// write sends a packet and reports whether that succeeded.
func (h *Hub) write(s *websocket.Conn, p packet) bool {
	limit := writeTimeout + time.Duration(p.size())*time.Second/minWriteRate
	ctx, cancel := context.WithTimeout(h.context, limit)
	defer cancel()
	if len(p.shared) == 0 && len(p.own) <= maxFragment {
		return s.Write(ctx, websocket.MessageBinary, p.own) == nil
	}
	w, err := s.Writer(ctx, websocket.MessageBinary)
	if err != nil {
		return false
	}
	for _, part := range append([][]byte{p.own}, p.shared...) {
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
