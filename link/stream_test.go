package link

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"

	"github.com/kingcupknot/kingcupknot/catalog"
)

// question is what the streams of these tests carry.
type question struct {
	Text string `cbor:"1,keyasint"`
}

// serveStreams starts a peer that answers the text "ping" with "pong", never
// answers "wait", and hangs up at any other.
func serveStreams(t *testing.T, vm catalog.VMID, peers map[catalog.VMID]string) *Hub {
	t.Helper()
	h := NewHub(Options{VM: vm, Key: []byte("key"), Address: func(id catalog.VMID) string { return peers[id] }, Refused: func(error) {}})
	t.Cleanup(h.Close)
	mux := http.NewServeMux()
	mux.Handle(StreamPath, h.HandleStreams(func(s *Stream) {
		for {
			var q question
			if s.Receive(&q) != nil {
				return
			}
			switch q.Text {
			case "ping":
				_ = s.Send(question{Text: "pong"})
			case "wait":
			default:
				return
			}
		}
	}))
	s := httptest.NewServer(mux)
	t.Cleanup(s.Close)
	peers[vm] = strings.TrimPrefix(s.URL, "http://")
	return h
}

func ask(s *Stream, text string, most time.Duration) (string, error) {
	var a question
	err := s.Exchange(question{Text: text}, &a, time.Now().Add(most))
	return a.Text, err
}

func TestStream(t *testing.T) {
	peers := map[catalog.VMID]string{}
	serveStreams(t, "b", peers)
	streams := NewStreams(serveStreams(t, "a", peers))
	take := func() *Stream {
		t.Helper()
		s, err := streams.Take("b")
		if err != nil {
			t.Fatal(err)
		}
		return s
	}
	first := take()
	if got, err := ask(first, "ping", time.Second); err != nil || got != "pong" {
		t.Fatalf("got %q, %v", got, err)
	}
	streams.Give(first)
	if take() != first {
		t.Fatal("a resting stream was not used again")
	}
	// The peer is there and does not answer: that is waited for to the deadline.
	started := time.Now()
	if _, err := ask(first, "wait", time.Second); !errors.Is(err, ErrLost) || time.Since(started) < time.Second {
		t.Fatalf("after %v: %v", time.Since(started), err)
	}
	if _, err := ask(first, "ping", time.Second); !errors.Is(err, ErrNotSent) {
		t.Fatalf("a stream that has ended: %v", err)
	}
	second := take()
	if _, err := ask(second, "leave", time.Second); !errors.Is(err, ErrLost) {
		t.Fatalf("a peer that hung up: %v", err)
	}
	streams.Give(second)
	if take() == second {
		t.Fatal("a stream that has ended was used again")
	}
	if _, err := streams.Take("nobody"); err == nil {
		t.Fatal("there is a stream to nobody")
	}
}
