package link

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"net/http"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/wire"
)

// greetTime bounds the greeting.
const greetTime = 2 * time.Second

// Options sets up a Hub.
type Options struct {
	VM  catalog.VMID
	Key []byte
	// Address gives the IP and port of a VM, empty for one that is none of the
	// system.
	Address func(catalog.VMID) string
	// Receive takes a message from a proved peer.
	Receive func(from catalog.VMID, m wire.Message)
	// Refused is told of bad frames and failed greetings.
	OnError func(err error)
}

// Path is where a Hub's handler is served.
const Path = "/v1/peer"

// ServeHTTP accepts a peer's connection and receives from it until it breaks.
func (h *Hub) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s, from, ok := h.accept(w, r)
	if !ok {
		return
	}
	defer func() { _ = s.CloseNow() }()
	if err := h.receive(s, from); err != nil {
		h.options.OnError(errors.Annotatef(err, "peer %s", from))
	}
}

func (h *Hub) greet(ctx context.Context, s *websocket.Conn) (catalog.VMID, error) {
	ctx, cancel := context.WithTimeout(ctx, greetTime)
	defer cancel()
	nonce := make([]byte, challengeSize)
	if _, err := rand.Read(nonce); err != nil {
		return "", errors.Trace(err)
	}
	if err := writeFrame(ctx, s, challenge{Protocol: wire.Protocol, Nonce: nonce}); err != nil {
		return "", errors.Trace(err)
	}
	var m hello
	if err := readFrame(ctx, s, &m); err != nil {
		return "", errors.Trace(err)
	}
	switch {
	case m.Protocol != wire.Protocol:
		return "", errors.Errorf("it speaks protocol %d, this VM %d", m.Protocol, wire.Protocol)
	case m.To != h.options.VM:
		return "", errors.Errorf("it looks for %s, this VM is %s", m.To, h.options.VM)
	case h.options.Address(m.VM) == "":
		return "", errors.Errorf("%q is no VM of the settings", m.VM)
	case len(m.Nonce) != challengeSize:
		return "", errors.New("its challenge has the wrong length")
	case !hmac.Equal(m.Proof, prove(h.options.Key, nonce, "dial", m.VM, m.To)):
		return "", errors.New("it does not know the shared key")
	}
	proof := prove(h.options.Key, m.Nonce, "accept", m.VM, m.To)
	return m.VM, errors.Trace(writeFrame(ctx, s, welcome{Proof: proof}))
}

func (h *Hub) receive(s *websocket.Conn, from catalog.VMID) error {
	for {
		_, data, err := s.Read(h.context)
		if err != nil {
			// A peer that stops or restarts is no fault of its frames.
			return nil //nolint:nilerr // see above
		}
		m, err := Decode(data)
		if err != nil {
			return err
		}
		h.options.Receive(from, m)
	}
}

func writeFrame(ctx context.Context, s *websocket.Conn, v any) error {
	data, err := cbor.Marshal(v)
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(s.Write(ctx, websocket.MessageBinary, data))
}

func readFrame(ctx context.Context, s *websocket.Conn, v any) error {
	_, data, err := s.Read(ctx)
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(decoder.Unmarshal(data, v))
}
