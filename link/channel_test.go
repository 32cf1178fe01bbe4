package link

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"github.com/kingcupknot/kingcupknot/catalog"
)

// textMessage is the request and the reply in these tests.
type textMessage struct {
	Text string `cbor:"1,keyasint"`
}

// startEchoPeer starts a peer that replies with the concatenated texts of all
// requests of a stream. It never replies to "wait" and ends the stream after
// "leave".
func startEchoPeer(t *testing.T, vm catalog.VMID, peers map[catalog.VMID]string) (h *Hub, active *sync.WaitGroup) {
	t.Helper()
	active = &sync.WaitGroup{}
	h = NewHub(Options{VM: vm, Key: []byte("key"), Address: func(id catalog.VMID) string { return peers[id] }, OnError: func(error) {}})
	t.Cleanup(h.Close)
	mux := http.NewServeMux()
	mux.Handle(ChannelPath, h.ChannelHandler(func(q IncomingStream) {
		active.Add(1)
		defer active.Done()
		received := ""
		for {
			var next textMessage
			if q.Receive(&next) != nil {
				return
			}
			received += next.Text
			if next.Text != "wait" {
				_ = q.Reply(textMessage{Text: received})
			}
			if next.Text == "leave" {
				return
			}
		}
	}))
	s := httptest.NewServer(mux)
	t.Cleanup(s.Close)
	peers[vm] = strings.TrimPrefix(s.URL, "http://")
	return h, active
}

func call(k *Stream, text string, timeout time.Duration) (string, error) {
	var a textMessage
	err := k.Call(textMessage{Text: text}, &a, time.Now().Add(timeout))
	return a.Text, err
}

func mustCall(t *testing.T, k *Stream, text, want string) {
	t.Helper()
	if got, err := call(k, text, time.Second); err != nil || got != want {
		t.Fatalf("got %.100q, %v, expected %.100q", got, err, want)
	}
}

// Streams of one channel must keep their contexts apart, and a stream that
// waits for a reply must not delay the others.
func TestStreams(t *testing.T) {
	peers := map[catalog.VMID]string{}
	_, active := startEchoPeer(t, "b", peers)
	from, _ := startEchoPeer(t, "a", peers)
	channels := NewChannelPool(from)
	c, err := channels.Get("b")
	if err != nil {
		t.Fatal(err)
	}
	if again, _ := channels.Get("b"); again != c {
		t.Fatal("a peer has two channels")
	}
	first, second := c.OpenStream(), c.OpenStream()
	mustCall(t, first, "x", "x")
	mustCall(t, second, "u", "u")
	mustCall(t, first, "y", "xy")
	// The first stream waits for a reply while the second one continues. The
	// peer answers pings, so the first stream waits until its deadline.
	started := time.Now()
	done := make(chan error)
	go func() {
		_, err := call(first, "wait", time.Second)
		done <- err
	}()
	mustCall(t, second, "v", "uv")
	if err := <-done; !errors.Is(err, ErrNoReply) || time.Since(started) < time.Second {
		t.Fatalf("after %v: %v", time.Since(started), err)
	}
	mustCall(t, second, "leave", "uvleave")
	second.Close(false)
	first.Close(true)
	active.Wait()
}

// When a channel ends, a request in flight must fail with ErrNoReply and a
// later one with ErrNotSent, and the pool must open a new channel.
func TestClosedChannel(t *testing.T) {
	peers := map[catalog.VMID]string{}
	_, active := startEchoPeer(t, "b", peers)
	from, _ := startEchoPeer(t, "a", peers)
	channels := NewChannelPool(from)
	c, err := channels.Get("b")
	if err != nil {
		t.Fatal(err)
	}
	k := c.OpenStream()
	mustCall(t, k, "x", "x")
	done := make(chan error)
	go func() {
		_, err := call(k, "wait", time.Minute)
		done <- err
	}()
	time.Sleep(10 * time.Millisecond)
	c.Close()
	if err := <-done; !errors.Is(err, ErrNoReply) {
		t.Fatalf("request in flight: %v", err)
	}
	if _, err := call(k, "x", time.Second); !errors.Is(err, ErrNotSent) {
		t.Fatalf("request after the end of the channel: %v", err)
	}
	active.Wait()
	if err := k.Call(func() {}, nil, time.Now()); !errors.Is(err, ErrNotSent) {
		t.Fatalf("request that can't be encoded: %v", err)
	}
	if again, err := channels.Get("b"); err != nil || again == c {
		t.Fatalf("a channel that has ended was used again: %v", err)
	}
	if _, err := channels.Get("nobody"); err == nil {
		t.Fatal("a channel to an unknown VM was opened")
	}
}

func BenchmarkStream(b *testing.B) {
	peers := map[catalog.VMID]string{}
	t := &testing.T{}
	startEchoPeer(t, "b", peers)
	from, _ := startEchoPeer(t, "a", peers)
	channels := NewChannelPool(from)
	c, err := channels.Get("b")
	if err != nil {
		b.Fatal(err)
	}
	text := strings.Repeat("x", 150)
	for range b.N {
		k := c.OpenStream()
		if _, err := call(k, text, time.Second); err != nil {
			b.Fatal(err)
		}
		k.Close(true)
	}
}

// FuzzFrame checks that no frame of a peer makes a channel panic, and that a
// frame that closes a stream does not make the channel serve it.
func FuzzFrame(f *testing.F) {
	data, err := cbor.Marshal(frame{Stream: 1, Body: cbor.RawMessage{0x01}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add(data[:len(data)/2])
	f.Add([]byte{0xa1, 0x03, 0xf5})
	f.Fuzz(func(t *testing.T, data []byte) {
		var got frame
		if decoder.Unmarshal(data, &got) != nil {
			return
		}
		c := &Channel{closed: make(chan struct{}), streams: map[uint64]chan cbor.RawMessage{}}
		served := make(chan error, 1)
		c.deliverRequest(got, "a", func(q IncomingStream) {
			var v any
			served <- q.Receive(&v)
		})
		if got.Closed {
			if len(served) > 0 || len(c.streams) > 0 {
				t.Fatal("a closed stream is served")
			}
			return
		}
		<-served
	})
}
