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

// question is what the channels of these tests carry.
type question struct {
	Text string `cbor:"1,keyasint"`
}

// serveTalks starts a peer. In a talk it answers with all that was said so far;
// it never answers "wait", and leaves the talk after "leave".
func serveTalks(t *testing.T, vm catalog.VMID, peers map[catalog.VMID]string) (h *Hub, open *sync.WaitGroup) {
	t.Helper()
	open = &sync.WaitGroup{}
	h = NewHub(Options{VM: vm, Key: []byte("key"), Address: func(id catalog.VMID) string { return peers[id] }, OnError: func(error) {}})
	t.Cleanup(h.Close)
	mux := http.NewServeMux()
	mux.Handle(ChannelPath, h.HandleChannels(func(q Questions) {
		open.Add(1)
		defer open.Done()
		said := ""
		for {
			var next question
			if q.Next(&next) != nil {
				return
			}
			said += next.Text
			if next.Text != "wait" {
				_ = q.Reply(question{Text: said})
			}
			if next.Text == "leave" {
				return
			}
		}
	}))
	s := httptest.NewServer(mux)
	t.Cleanup(s.Close)
	peers[vm] = strings.TrimPrefix(s.URL, "http://")
	return h, open
}

func ask(k *Talk, text string, most time.Duration) (string, error) {
	var a question
	err := k.Ask(question{Text: text}, &a, time.Now().Add(most))
	return a.Text, err
}

func mustAsk(t *testing.T, k *Talk, text, want string) {
	t.Helper()
	if got, err := ask(k, text, time.Second); err != nil || got != want {
		t.Fatalf("got %q, %v, expected %q", got, err, want)
	}
}

func TestTalks(t *testing.T) {
	peers := map[catalog.VMID]string{}
	_, open := serveTalks(t, "b", peers)
	from, _ := serveTalks(t, "a", peers)
	channels := NewChannels(from)
	c, err := channels.Get("b")
	if err != nil {
		t.Fatal(err)
	}
	if again, _ := channels.Get("b"); again != c {
		t.Fatal("a peer has two channels")
	}
	first, second := c.Begin(), c.Begin()
	mustAsk(t, first, "x", "x")
	mustAsk(t, second, "u", "u")
	mustAsk(t, first, "y", "xy")
	// One talk waits for its answer and does not hold up the others. The peer
	// is there, so that it waits to its deadline.
	started := time.Now()
	done := make(chan error)
	go func() {
		_, err := ask(first, "wait", time.Second)
		done <- err
	}()
	mustAsk(t, second, "v", "uv")
	if err := <-done; !errors.Is(err, ErrLost) || time.Since(started) < time.Second {
		t.Fatalf("after %v: %v", time.Since(started), err)
	}
	mustAsk(t, second, "leave", "uvleave")
	second.Close(false)
	first.Close(true)
	open.Wait()
}

func TestChannelEnds(t *testing.T) {
	peers := map[catalog.VMID]string{}
	_, open := serveTalks(t, "b", peers)
	from, _ := serveTalks(t, "a", peers)
	channels := NewChannels(from)
	c, err := channels.Get("b")
	if err != nil {
		t.Fatal(err)
	}
	k := c.Begin()
	mustAsk(t, k, "x", "x")
	done := make(chan error)
	go func() {
		_, err := ask(k, "wait", time.Minute)
		done <- err
	}()
	time.Sleep(10 * time.Millisecond)
	c.Close()
	if err := <-done; !errors.Is(err, ErrLost) {
		t.Fatalf("a question on its way: %v", err)
	}
	if _, err := ask(k, "x", time.Second); !errors.Is(err, ErrNotSent) {
		t.Fatalf("a later one: %v", err)
	}
	open.Wait()
	if err := k.Ask(func() {}, nil, time.Now()); !errors.Is(err, ErrNotSent) {
		t.Fatalf("a question that can't be written: %v", err)
	}
	if again, err := channels.Get("b"); err != nil || again == c {
		t.Fatalf("a channel that has ended was used again: %v", err)
	}
	if _, err := channels.Get("nobody"); err == nil {
		t.Fatal("there is a channel to nobody")
	}
}

func BenchmarkTalk(b *testing.B) {
	peers := map[catalog.VMID]string{}
	t := &testing.T{}
	serveTalks(t, "b", peers)
	from, _ := serveTalks(t, "a", peers)
	channels := NewChannels(from)
	c, err := channels.Get("b")
	if err != nil {
		b.Fatal(err)
	}
	text := strings.Repeat("x", 150)
	for range b.N {
		k := c.Begin()
		if _, err := ask(k, text, time.Second); err != nil {
			b.Fatal(err)
		}
		k.Close(true)
	}
}

// FuzzFrame proves that no frame of a peer makes a channel panic or serve a talk
// that has no question.
func FuzzFrame(f *testing.F) {
	data, err := cbor.Marshal(frame{Talk: 1, Body: cbor.RawMessage{0x01}})
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
		c := &Channel{gone: make(chan struct{}), talks: map[uint64]chan cbor.RawMessage{}}
		served := make(chan error, 1)
		c.asked(got, "a", func(q Questions) {
			var v any
			served <- q.Next(&v)
		})
		if got.Ended {
			if len(served) > 0 || len(c.talks) > 0 {
				t.Fatal("an ended talk is served")
			}
			return
		}
		<-served
	})
}
