// Package token makes and checks the tokens by which a session carries its
// position from one entry to another.
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

// Sizes of tokens, in bytes.
const (
	// MaxBytes is the longest token that is looked at.
	MaxBytes = 1024
	// MaxSessionBytes is the longest session id that fits.
	MaxSessionBytes = 256
	macBytes        = sha256.Size
)

// versionPrefix begins every token of this form.
const versionPrefix = "1."

// Errors of tokens that are not accepted.
var (
	ErrOversized    = errors.New("the token is too long")
	ErrMalformed    = errors.New("the token is cut or malformed")
	ErrBadSignature = errors.New("the token was not signed by this system")
	ErrWrongService = errors.New("the token belongs to another service")
)

// Token says how far a session has seen the history of a service.
type Token struct {
	Session  catalog.SessionID `cbor:"1,keyasint" json:"session"`
	Service  catalog.ServiceID `cbor:"2,keyasint" json:"service"`
	Position catalog.Position  `cbor:"3,keyasint" json:"position"`
}

// decodeMode refuses what Sign never makes.
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

// Sign returns the token as text.
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

// Verify reads a token of the service. No token but a signed and whole one
// gives a position.
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

// Inspect reads a token of any service.
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
