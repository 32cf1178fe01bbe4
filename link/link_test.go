package link

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/wire"
)

// startHub starts a hub. The channels hold the messages that the hub receives
// and the errors that it reports.
func startHub(t *testing.T, vm catalog.VMID, key string, peers map[catalog.VMID]string) (*Hub, chan wire.Message, chan error) {
	t.Helper()
	got, refused := make(chan wire.Message, 16), make(chan error, 16)
	h := NewHub(Options{
		VM: vm, Key: []byte(key), Address: func(id catalog.VMID) string { return peers[id] },
		Receive: func(_ catalog.VMID, m wire.Message) { got <- m },
		OnError: func(err error) {
			select {
			case refused <- err:
			default:
			}
		},
	})
	t.Cleanup(h.Close)
	mux := http.NewServeMux()
	mux.Handle(PeerPath, h)
	s := httptest.NewServer(mux)
	t.Cleanup(s.Close)
	peers[vm] = strings.TrimPrefix(s.URL, "http://")
	return h, got, refused
}

// A message from a peer with the shared key must arrive unchanged.
func TestMessagesArriveFromAuthenticatedPeers(t *testing.T) {
	peers := map[catalog.VMID]string{}
	_, got, _ := startHub(t, "b", "key", peers)
	a, _, _ := startHub(t, "a", "key", peers)
	a.Send("b", wire.Message{FenceAck: &wire.FenceAck{VM: "a", Epoch: 3}})
	select {
	case m := <-got:
		if m.FenceAck == nil || m.FenceAck.Epoch != 3 {
			t.Fatalf("got %+v", m)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("no message arrived")
	}
}

// awaitFence waits for a fence acknowledgement of the given epoch.
func awaitFence(t *testing.T, got chan wire.Message, epoch catalog.Epoch) {
	t.Helper()
	select {
	case m := <-got:
		if m.FenceAck == nil || m.FenceAck.Epoch != epoch {
			t.Fatalf("got %+v", m)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("no message arrived")
	}
}

// A message to a peer that has connected must need no connection of its own, a
// new connection of the peer must replace the earlier one, and once the peer's
// connection has ended, the hub must connect to the peer.
func TestMessagesReturnOverThePeersConnection(t *testing.T) {
	const unreachable = "127.0.0.1:1"
	peers := map[catalog.VMID]string{"a": unreachable}
	b, gotAtB, _ := startHub(t, "b", "key", peers)
	addresses := map[catalog.VMID]string{"b": peers["b"]}
	first, gotAtFirst, _ := startHub(t, "a", "key", addresses)
	first.Send("b", wire.Message{FenceAck: &wire.FenceAck{VM: "a", Epoch: 1}})
	awaitFence(t, gotAtB, 1)
	b.Send("a", wire.Message{FenceAck: &wire.FenceAck{VM: "b", Epoch: 2}})
	awaitFence(t, gotAtFirst, 2)

	second, gotAtSecond, _ := startHub(t, "a", "key", addresses)
	second.Send("b", wire.Message{FenceAck: &wire.FenceAck{VM: "a", Epoch: 3}})
	awaitFence(t, gotAtB, 3)
	first.Close()
	b.Send("a", wire.Message{FenceAck: &wire.FenceAck{VM: "b", Epoch: 4}})
	awaitFence(t, gotAtSecond, 4)

	second.Close()
	third, gotAtThird, _ := startHub(t, "a", "key", peers)
	defer third.Close()
	for end := time.Now().Add(5 * time.Second); len(gotAtThird) == 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("no message arrived after the peer's connection had ended")
		}
		b.Send("a", wire.Message{FenceAck: &wire.FenceAck{VM: "b", Epoch: 5}})
	}
}

// A peer of an older version, which reads no messages on the connection that it
// has opened, must get messages over a connection of the hub.
func TestMessagesToAPeerOfAnOlderVersion(t *testing.T) {
	peers := map[catalog.VMID]string{}
	b, _, _ := startHub(t, "b", "key", peers)
	a, gotAtA, _ := startHub(t, "a", "key", peers)
	s, err := a.dial(t.Context(), "b", PeerPath)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = s.CloseNow() }()
	b.Send("a", wire.Message{FenceAck: &wire.FenceAck{VM: "b", Epoch: 1}})
	awaitFence(t, gotAtA, 1)
}

// A peer with another key must fail the handshake, and none of its messages may
// be received.
func TestPeerWithAnotherKeyIsRefused(t *testing.T) {
	peers := map[catalog.VMID]string{}
	_, got, refused := startHub(t, "b", "key", peers)
	a, _, _ := startHub(t, "a", "other", peers)
	a.Send("b", wire.Message{FenceAck: &wire.FenceAck{VM: "a"}})
	select {
	case err := <-refused:
		if !strings.Contains(err.Error(), "shared key") {
			t.Fatalf("refused for %v", err)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("no handshake failed")
	}
	if len(got) != 0 {
		t.Fatal("a message was received")
	}
}

// FuzzDecode checks that no frame makes Decode panic, and that a decoded
// message can be encoded again.
func FuzzDecode(f *testing.F) {
	data, err := Encode(wire.Message{Report: &wire.Report{VM: "a", Observations: []wire.Observation{{Instance: "i"}}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add(data[:len(data)/2])
	f.Add([]byte{0xbf, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := Decode(data)
		if err != nil {
			return
		}
		if _, err := Encode(m); err != nil {
			t.Fatalf("decoded but not encoded: %v", err)
		}
	})
}
