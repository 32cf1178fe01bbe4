// Package link carries messages between the processes of the system, as CBOR in
// WebSocket frames. At the start of a connection, both ends prove to each other
// that they know the shared key.
package link

import (
	"crypto/hmac"
	"crypto/sha256"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/wire"
)

// challengeSize is the length of a challenge in bytes.
const challengeSize = 16

// challenge is the first frame of the handshake, sent by the accepting side.
type challenge struct {
	Protocol int    `cbor:"1,keyasint"`
	Nonce    []byte `cbor:"2,keyasint"`
}

// hello is the dialling side's response to the challenge. It contains a
// challenge for the accepting side.
type hello struct {
	Protocol int          `cbor:"1,keyasint"`
	VM       catalog.VMID `cbor:"2,keyasint"`
	To       catalog.VMID `cbor:"3,keyasint"`
	Proof    []byte       `cbor:"4,keyasint"`
	Nonce    []byte       `cbor:"5,keyasint"`
}

// welcome is the last frame of the handshake, in which the accepting side
// responds to the challenge of hello.
type welcome struct {
	Proof []byte `cbor:"1,keyasint"`
}

// decoder refuses duplicate keys and values that are too large or nested too deeply.
// It ignores unknown fields, which newer builds may send. It accepts text that is not
// UTF-8: a statement may hold any bytes, and one value of a message that its receiver
// can't use must not hide the others. strictDecoder is that of builds without
// wire.FeatureAnyText, which accept UTF-8 only.
var (
	decoder       = mustDecoder(cbor.UTF8DecodeInvalid)
	strictDecoder = mustDecoder(cbor.UTF8RejectInvalid)
)

func mustDecoder(text cbor.UTF8Mode) cbor.DecMode {
	m, err := cbor.DecOptions{
		UTF8:             text,
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
		MaxNestedLevels:  maxDepth,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

const (
	// maxElements bounds the elements of an array and the pairs of a map.
	maxElements = 1 << 17
	// maxDepth bounds the nesting of arrays and maps.
	maxDepth = 16
)

// Encode encodes a message as one frame. It returns an error if the frame would
// exceed the size limit.
func Encode(m wire.Message) ([]byte, error) {
	data, err := cbor.Marshal(m)
	if err != nil {
		return nil, errors.Annotate(err, "encode message")
	}
	if len(data) > wire.MaxFrameBytes {
		return nil, errors.Errorf("message of %d bytes is over the limit of %d", len(data), wire.MaxFrameBytes)
	}
	return data, nil
}

// ErrUnknownKind reports a message of a kind that this build doesn't know.
const ErrUnknownKind = errors.ConstError("message of an unknown kind")

// Decode decodes one frame. It returns an error if the frame is malformed or over
// the size limit, and ErrUnknownKind if it holds no message that this build knows.
func Decode(data []byte) (wire.Message, error) {
	var m wire.Message
	if len(data) > wire.MaxFrameBytes {
		return m, errors.Errorf("frame of %d bytes is over the limit of %d", len(data), wire.MaxFrameBytes)
	}
	if err := decoder.Unmarshal(data, &m); err != nil {
		return wire.Message{}, errors.Annotate(err, "decode message")
	}
	if m == (wire.Message{}) {
		return m, ErrUnknownKind
	}
	return m, nil
}

// computeProof returns an HMAC over a nonce, the side that proves its knowledge
// of the key ("dial" or "accept") and the names of the dialling and accepting
// VMs.
func computeProof(key, nonce []byte, side string, from, to catalog.VMID) []byte {
	mac := hmac.New(sha256.New, key)
	for _, part := range [][]byte{nonce, []byte(side), []byte(from), []byte(to)} {
		mac.Write([]byte{byte(len(part) >> 8), byte(len(part))})
		mac.Write(part)
	}
	return mac.Sum(nil)
}
