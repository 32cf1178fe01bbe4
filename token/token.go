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
	// MaxSize is the longest token that is looked at.
	MaxSize = 1024
	// MaxSession is the longest session id that fits.
	MaxSessionBytes = 256
	macSize         = sha256.Size
)

// version begins every token of this form.
const version = "1."

// Errors of tokens that are not accepted.
var (
	ErrOversized = errors.New("the token is too long")
	ErrMalformed = errors.New("the token is cut or malformed")
	ErrForged    = errors.New("the token was not signed by this system")
	ErrForeign   = errors.New("the token belongs to another service")
)

// Token says how far a session has seen the history of a service.
type Token struct {
	Session  catalog.SessionID `cbor:"1,keyasint" json:"session"`
	Service  catalog.ServiceID `cbor:"2,keyasint" json:"service"`
	Position catalog.Position  `cbor:"3,keyasint" json:"position"`
}

// strict refuses what Sign never makes.
var strict = mustStrict()

func mustStrict() cbor.DecMode {
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
	body = append(body, sum(key, body)...)
	text := version + base64.RawURLEncoding.EncodeToString(body)
	if len(text) > MaxSize {
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
		return Token{}, errors.Trace(ErrForeign)
	}
	return t, nil
}

// Inspect reads a token of any service.
func Inspect(key []byte, text string) (Token, error) {
	if len(text) > MaxSize {
		return Token{}, errors.Trace(ErrOversized)
	}
	encoded, ok := strings.CutPrefix(text, version)
	if !ok {
		return Token{}, errors.Trace(ErrMalformed)
	}
	body, err := base64.RawURLEncoding.Strict().DecodeString(encoded)
	if err != nil || len(body) <= macSize {
		return Token{}, errors.Trace(ErrMalformed)
	}
	body, mac := body[:len(body)-macSize], body[len(body)-macSize:]
	if !hmac.Equal(mac, sum(key, body)) {
		return Token{}, errors.Trace(ErrForged)
	}
	var t Token
	if err := strict.Unmarshal(body, &t); err != nil {
		return Token{}, errors.Trace(ErrMalformed)
	}
	return t, nil
}

func sum(key, body []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write([]byte(version))
	h.Write(body)
	return h.Sum(nil)
}
