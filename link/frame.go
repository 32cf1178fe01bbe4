// Package link carries the messages between the processes of the system: CBOR
// in WebSocket frames, after both ends proved that they know the shared key.
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

// challenge is the acceptor's first frame.
type challenge struct {
	Protocol int    `cbor:"1,keyasint"`
	Nonce    []byte `cbor:"2,keyasint"`
}

// hello is the dialler's answer to the challenge, with one of its own.
type hello struct {
	Protocol int          `cbor:"1,keyasint"`
	VM       catalog.VMID `cbor:"2,keyasint"`
	To       catalog.VMID `cbor:"3,keyasint"`
	Proof    []byte       `cbor:"4,keyasint"`
	Nonce    []byte       `cbor:"5,keyasint"`
}

// welcome ends the greeting.
type welcome struct {
	Proof []byte `cbor:"1,keyasint"`
}

var decoder = mustDecoder()

func mustDecoder() cbor.DecMode {
	m, err := cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
		MaxArrayElements:  maxElements,
		MaxMapPairs:       maxElements,
		MaxNestedLevels:   maxDepth,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

const (
	maxElements = 1 << 17
	maxDepth    = 16
)

// Encode writes a message as one frame.
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

// Decode reads one frame. A frame that is malformed, too large or empty is an
// error.
func Decode(data []byte) (wire.Message, error) {
	var m wire.Message
	if len(data) > wire.MaxFrameBytes {
		return m, errors.Errorf("frame of %d bytes is over the limit of %d", len(data), wire.MaxFrameBytes)
	}
	if err := decoder.Unmarshal(data, &m); err != nil {
		return wire.Message{}, errors.Annotate(err, "decode message")
	}
	if m == (wire.Message{}) {
		return m, errors.New("the message is empty")
	}
	return m, nil
}

// prove binds a nonce to the names of both ends and the side that proves.
func prove(key, nonce []byte, side string, from, to catalog.VMID) []byte {
	mac := hmac.New(sha256.New, key)
	for _, part := range [][]byte{nonce, []byte(side), []byte(from), []byte(to)} {
		mac.Write([]byte{byte(len(part) >> 8), byte(len(part))})
		mac.Write(part)
	}
	return mac.Sum(nil)
}
