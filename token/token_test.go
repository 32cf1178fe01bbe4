package token

import (
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/juju/errors"

	"github.com/kingcupknot/kingcupknot/catalog"
)

var (
	key    = []byte("key of the system")
	sample = Token{Session: "a", Service: "orders", Position: catalog.Position{Term: 3, Offset: 1 << 40}}
)

// TestToken guards against a token that is altered in transit, signed with
// another key, or issued for another service, and still gives a position.
func TestToken(t *testing.T) {
	text, err := Sign(key, sample)
	if err != nil {
		t.Fatal(err)
	}
	Convey("Verify returns the token that was signed", t, func() {
		got, err := Verify(key, "orders", text)
		So(err, ShouldBeNil)
		So(got, ShouldResemble, sample)
	})
	Convey("altered, foreign and malformed tokens give no position", t, func() {
		for _, c := range []struct {
			text    string
			key     string
			service catalog.ServiceID
			want    error
		}{
			{text, "another key", "orders", ErrBadSignature},
			{text, string(key), "stock", ErrWrongService},
			{text[:len(text)-4], string(key), "orders", ErrMalformed},
			{text + "AAAA", string(key), "orders", ErrBadSignature},
			{text + "=", string(key), "orders", ErrMalformed},
			{text[2:], string(key), "orders", ErrMalformed},
			{"", string(key), "orders", ErrMalformed},
			{"1.", string(key), "orders", ErrMalformed},
			{"1.AAAA", string(key), "orders", ErrMalformed},
			{text + strings.Repeat("A", MaxBytes), string(key), "orders", ErrOversized},
		} {
			got, err := Verify([]byte(c.key), c.service, c.text)
			So(errors.Cause(err), ShouldEqual, c.want)
			So(got, ShouldResemble, Token{})
		}
	})
	Convey("every altered byte is detected", t, func() {
		for i := range text {
			changed := []byte(text)
			changed[i] ^= 1
			_, err := Verify(key, "orders", string(changed))
			So(err, ShouldNotBeNil)
		}
	})
	Convey("Sign rejects a session id that is too long", t, func() {
		_, err := Sign(key, Token{Session: catalog.SessionID(strings.Repeat("a", MaxSessionBytes+1))})
		So(errors.Cause(err), ShouldEqual, ErrOversized)
	})
}

// FuzzVerify guards against accepted tokens that Sign did not produce.
func FuzzVerify(f *testing.F) {
	text, err := Sign(key, sample)
	if err != nil {
		f.Fatal(err)
	}
	for _, seed := range []string{text, text[:20], "1." + strings.Repeat("A", 64), "", "2." + text[2:]} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, in string) {
		got, err := Verify(key, "orders", in)
		if err != nil && got != (Token{}) {
			t.Fatalf("a rejected token gave %+v", got)
		}
		if err == nil && (in != text || got != sample) {
			t.Fatalf("accepted %q as %+v", in, got)
		}
	})
}
