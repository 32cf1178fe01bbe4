// Package token signs and verifies the tokens that carry a session's position
// from one entry to another.
package token

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"github.com/kingcupknot/kingcupknot/catalog"
)

// Sizes in bytes.
const (
	// MaxBytes is the longest token that is accepted.
	MaxBytes = 1024
	// MaxSessionBytes is the longest session id that fits into a token.
	MaxSessionBytes = 256
	macBytes        = sha256.Size
)

// versionPrefix is the prefix of every token in this format.
const versionPrefix = "1."

// Errors of rejected tokens. Sign returns ErrOversized too.
var (
	ErrOversized    = errors.New("the token is too long")
	ErrMalformed    = errors.New("the token is cut or malformed")
	ErrBadSignature = errors.New("the token was not signed by this system")
	ErrWrongService = errors.New("the token belongs to another service")
)

// Token is the position up to which a session has seen a service's history.
type Token struct {
	Session  catalog.SessionID `cbor:"1,keyasint" json:"session"`
	Service  catalog.ServiceID `cbor:"2,keyasint" json:"service"`
	Position catalog.Position  `cbor:"3,keyasint" json:"position"`
}

// decodeMode rejects encodings that Sign never produces.
var decodeMode = mustDecodeMode()

func mustDecodeMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		IndefLength:       cbor.IndefLengthForbidden,
		TagsMd:            cbor.TagsForbidden,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Sign encodes and signs a token. It returns ErrOversized if the session id or
// the token is too long.
func Sign(key []byte, t Token) (string, error) {
	if len(t.Session) > MaxSessionBytes {
		return "", errors.Trace(ErrOversized)
	}
	body, err := cbor.Marshal(t)
	if err != nil {
		return "", errors.Annotate(err, "token")
	}
	body = append(body, computeMAC(key, body)...)
	text := versionPrefix + base64.RawURLEncoding.EncodeToString(body)
	if len(text) > MaxBytes {
		return "", errors.Trace(ErrOversized)
	}
	return text, nil
}

// Verify checks the signature of a token and that it belongs to the service. It
// returns ErrWrongService for a token of another service, and otherwise the
// errors of Inspect. On an error the returned token is empty.
func Verify(key []byte, service catalog.ServiceID, text string) (Token, error) {
	t, err := Inspect(key, text)
	if err != nil {
		return Token{}, err
	}
	if t.Service != service {
		return Token{}, errors.Trace(ErrWrongService)
	}
	return t, nil
}

// Inspect checks the signature of a token of any service and decodes it. It
// returns ErrOversized, ErrMalformed or ErrBadSignature.
func Inspect(key []byte, text string) (Token, error) {
	if len(text) > MaxBytes {
		return Token{}, errors.Trace(ErrOversized)
	}
	encoded, ok := strings.CutPrefix(text, versionPrefix)
	if !ok {
		return Token{}, errors.Trace(ErrMalformed)
	}
	body, err := base64.RawURLEncoding.Strict().DecodeString(encoded)
	if err != nil || len(body) <= macBytes {
		return Token{}, errors.Trace(ErrMalformed)
	}
	body, mac := body[:len(body)-macBytes], body[len(body)-macBytes:]
	if !hmac.Equal(mac, computeMAC(key, body)) {
		return Token{}, errors.Trace(ErrBadSignature)
	}
	var t Token
	if err := decodeMode.Unmarshal(body, &t); err != nil {
		return Token{}, errors.Trace(ErrMalformed)
	}
	return t, nil
}

func computeMAC(key, body []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write([]byte(versionPrefix))
	h.Write(body)
	return h.Sum(nil)
}
