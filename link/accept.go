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

// handshakeTimeout bounds the handshake on the accepting side.
const handshakeTimeout = 2 * time.Second

// Options configures a Hub.
type Options struct {
	// VM is the VM of this process.
	VM catalog.VMID
	// Key is the key that all processes of the system share.
	Key []byte
	// Address returns the IP and port of a VM, or an empty string if the VM
	// does not belong to the system.
	Address func(catalog.VMID) string
	// Receive is called for each message from an authenticated peer.
	Receive func(from catalog.VMID, m wire.Message)
	// OnError is called for failed handshakes with peers that connect to this
	// process, for invalid frames, and for messages that could not be encoded
	// or queued.
	OnError func(err error)
}

// PeerPath is the HTTP path at which a Hub must be served.
const PeerPath = "/v1/peer"

// ServeHTTP accepts a peer's connection and receives messages from it until the
// connection ends.
func (h *Hub) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s, from, ok := h.accept(w, r)
	if !ok {
		return
	}
	defer func() { _ = s.CloseNow() }()
	if r.URL.Query().Has(returnQuery) {
		defer h.addReturnPath(from, s)()
	}
	h.receive(s, from)
}

// acceptHandshake authenticates the peer on an accepted connection and returns
// the peer's VM.
func (h *Hub) acceptHandshake(ctx context.Context, s *websocket.Conn) (catalog.VMID, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	nonce := make([]byte, challengeSize)
	if _, err := rand.Read(nonce); err != nil {
		return "", errors.Trace(err)
	}
	if err := writeFrame(ctx, s, challenge{Protocol: wire.ProtocolVersion, Nonce: nonce}); err != nil {
		return "", errors.Trace(err)
	}
	var m hello
	if err := readFrame(ctx, s, &m); err != nil {
		return "", errors.Trace(err)
	}
	switch {
	case m.Protocol != wire.ProtocolVersion:
		return "", errors.Errorf("peer uses protocol %d, this VM uses %d", m.Protocol, wire.ProtocolVersion)
	case m.To != h.options.VM:
		return "", errors.Errorf("peer expected VM %s, this VM is %s", m.To, h.options.VM)
	case h.options.Address(m.VM) == "":
		return "", errors.Errorf("VM %q is not in the settings", m.VM)
	case len(m.Nonce) != challengeSize:
		return "", errors.New("peer's challenge has the wrong length")
	case !hmac.Equal(m.Proof, computeProof(h.options.Key, nonce, "dial", m.VM, m.To)):
		return "", errors.New("peer does not know the shared key")
	}
	proof := computeProof(h.options.Key, m.Nonce, "accept", m.VM, m.To)
	return m.VM, errors.Trace(writeFrame(ctx, s, welcome{Proof: proof}))
}

// receive passes on the messages of a peer until the connection ends. It skips
// messages that can't be decoded: the peer would send the same again on the next
// connection, and messages behind it would be lost each time.
func (h *Hub) receive(s *websocket.Conn, from catalog.VMID) {
	for {
		_, data, err := s.Read(h.context)
		if err != nil {
			return
		}
		m, err := Decode(data)
		switch {
		case errors.Is(err, ErrUnknownKind):
			// A newer build sent it.
		case err != nil:
			h.options.OnError(errors.Annotatef(err, "peer %s", from))
		default:
			h.options.Receive(from, m)
		}
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
