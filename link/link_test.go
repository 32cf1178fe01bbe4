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
