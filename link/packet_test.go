package link

import (
	"bytes"
	"fmt"
	"reflect"
	"testing"
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/wire"
)

func manyRoutes(n int) []catalog.Route {
	var out []catalog.Route
	for i := range n {
		out = append(out, catalog.Route{
			RouteKey: catalog.RouteKey{Database: fmt.Sprint("database-", i)}, Service: "orders", Timeout: time.Second,
		})
	}
	return out
}

// TestRoutesAreEncodedOnce guards against a copy of the whole configuration for
// each of hundreds of entries that start together, and against a packet that the
// receiver reads as something else than the message.
func TestRoutesAreEncodedOnce(t *testing.T) {
	var c packetEncoder
	routes, services := manyRoutes(3000), make([]catalog.Service, 1000)
	var first packet
	for n := range 2 {
		m := wire.Message{Answer: &wire.Answer{Leader: "c1", Sequence: uint64(n + 1), Version: 7, Routes: routes, Services: services, Full: true, SiteCount: 3}}
		p, err := c.encode(m)
		if err != nil {
			t.Fatal(err)
		}
		got, err := Decode(bytes.Join(append([][]byte{p.own}, p.shared...), nil))
		if err != nil || !reflect.DeepEqual(got, m) {
			t.Fatalf("packet %d differs after decoding: %v", n, err)
		}
		if n == 0 {
			first = p
		} else if &first.shared[0][0] != &p.shared[0][0] || &first.shared[1][0] != &p.shared[1][0] || len(p.own) > 100 {
			t.Errorf("the second packet has %d bytes of its own", len(p.own))
		}
	}
	p, err := c.encode(wire.Message{Answer: &wire.Answer{Leader: "c1", Version: 8, Routes: manyRoutes(3000)}})
	if err != nil || &p.shared[0][0] == &first.shared[0][0] {
		t.Fatalf("another list of routes got the encoding of the first: %v", err)
	}
}

// TestLongPacketsArrive guards against a long packet that is lost or changed on its
// way through a hub that writes it in parts.
func TestLongPacketsArrive(t *testing.T) {
	peers := map[catalog.VMID]string{}
	_, got, _ := startHub(t, "b", "key", peers)
	a, _, _ := startHub(t, "a", "key", peers)
	m := wire.Message{Answer: &wire.Answer{Leader: "a", Version: 7, Routes: manyRoutes(3000)}}
	a.Send("b", m)
	select {
	case arrived := <-got:
		if !reflect.DeepEqual(arrived, m) {
			t.Fatal("the message was changed")
		}
	case <-time.After(5 * time.Second):
		t.Fatal("no message arrived")
	}
}

// TestQueueIsBoundedInBytes guards against a slow peer whose queue of long messages
// fills the memory of the process.
func TestQueueIsBoundedInBytes(t *testing.T) {
	q := newPacketQueue()
	const length = 100 << 10
	for range peerQueueLength / 2 {
		q.add(packet{own: make([]byte, length)})
	}
	if n := q.bytes.Load(); n > maxQueuedBytes {
		t.Errorf("%d bytes wait", n)
	}
	for len(q.packets) > 0 {
		q.taken(<-q.packets)
	}
	if !q.add(packet{own: make([]byte, wire.MaxFrameBytes)}) || q.add(packet{own: make([]byte, length)}) {
		t.Error("an empty queue must take a packet of any length, and then none")
	}
}
