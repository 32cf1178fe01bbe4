package link

import (
	"bytes"
	"math/big"
	"strings"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/wire"
)

const notUTF8 = "\xff\xfe"

// One id that is not UTF-8 made the receiver drop the whole list of upstreams and end
// the connection, each time it was sent: the other values of the message and the
// messages behind it must arrive, also from a build that sends such ids.
func TestUnreadableValueHidesNothingElse(t *testing.T) {
	peers := map[catalog.VMID]string{}
	_, got, refused := startHub(t, "b", "key", peers)
	a, _, _ := startHub(t, "a", "key", peers)
	s, err := a.dial(t.Context(), "b", PeerPath)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = s.CloseNow() }()
	write := func(data []byte, err error) {
		if err == nil {
			err = s.Write(t.Context(), websocket.MessageBinary, data)
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	write(Encode(wire.Message{Answer: &wire.Answer{Leader: "a", Upstreams: []catalog.Announcement{{Instance: notUTF8}, {Instance: "i-1"}}}}))
	write([]byte{0xff}, nil)
	write(cbor.Marshal(map[int]any{1: map[int]any{3: "no number"}}))
	write(append(bytes.Repeat([]byte{0x81}, 100_000), 0x01), nil)
	write(bytes.Repeat([]byte{0xa1, 0x01}, 100_000), nil)
	large, _ := new(big.Int).SetString("340282366920938463463374607431768211456", 10)
	write(cbor.Marshal(map[int]any{2: map[int]any{12: []any{map[int]any{8: large, 9: 1e300}}}}))
	write(Encode(wire.Message{FenceAck: &wire.FenceAck{VM: "a", Epoch: 3}}))
	select {
	case m := <-got:
		if m.Answer == nil || len(m.Answer.Upstreams) != 2 || m.Answer.Upstreams[1].Instance != "i-1" {
			t.Errorf("got %+v", m)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("the list did not arrive")
	}
	awaitFence(t, got, 3)
	if len(refused) != 5 {
		t.Errorf("%d frames were refused, expected 5", len(refused))
	}
}

// Statements hold any bytes. The other entry sent no reply to text that is not UTF-8,
// so that a write that had not run was reported as in doubt.
func TestStreamsCarryAnyText(t *testing.T) {
	peers := map[catalog.VMID]string{}
	startEchoPeer(t, "b", peers)
	from, _ := startEchoPeer(t, "a", peers)
	c, err := NewChannelPool(from).Get("b")
	if err != nil {
		t.Fatal(err)
	}
	mustCall(t, c.OpenStream(), notUTF8, notUTF8)
	// An earlier build must not be sent such text, but all other.
	c.features = wire.Features{wire.FeatureUnknownFields}
	if _, err := call(c.OpenStream(), notUTF8, time.Second); !errors.Is(err, ErrNotSent) {
		t.Errorf("to an earlier build: %v", err)
	}
	mustCall(t, c.OpenStream(), "größe", "größe")
}

// A frame that the peer can't take ended the channel, with the requests of other
// callers on it.
func TestFrameThatCannotBeTakenKeepsTheChannel(t *testing.T) {
	peers := map[catalog.VMID]string{}
	startEchoPeer(t, "b", peers)
	from, _ := startEchoPeer(t, "a", peers)
	c, err := NewChannelPool(from).Get("b")
	if err != nil {
		t.Fatal(err)
	}
	first := c.OpenStream()
	mustCall(t, first, "x", "x")
	if _, err := call(c.OpenStream(), strings.Repeat("a", wire.MaxFrameBytes), time.Second); !errors.Is(err, ErrNotSent) {
		t.Errorf("a large request: %v", err)
	}
	// The peer joins the texts to a reply that it can't send.
	large := c.OpenStream()
	part := strings.Repeat("a", wire.MaxFrameBytes-1024)
	mustCall(t, large, part, part)
	if _, err := call(large, part, 300*time.Millisecond); !errors.Is(err, ErrNoReply) {
		t.Errorf("a large reply: %v", err)
	}
	if err := c.socket.Write(t.Context(), websocket.MessageBinary, []byte{0xff}); err != nil {
		t.Fatal(err)
	}
	if err := c.OpenStream().Call(map[int]any{1: 7}, &textMessage{}, time.Now().Add(300*time.Millisecond)); !errors.Is(err, ErrNoReply) {
		t.Errorf("an unreadable request: %v", err)
	}
	mustCall(t, first, "y", "xy")
}
