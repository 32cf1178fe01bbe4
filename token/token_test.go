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

func TestToken(t *testing.T) {
	text, err := Sign(key, sample)
	if err != nil {
		t.Fatal(err)
	}
	Convey("a token comes back as it was signed", t, func() {
		got, err := Verify(key, "orders", text)
		So(err, ShouldBeNil)
		So(got, ShouldResemble, sample)
	})
	Convey("no other token gives a position", t, func() {
		for _, c := range []struct {
			text    string
			key     string
			service catalog.ServiceID
			want    error
		}{
			{text, "another key", "orders", ErrForged},
			{text, string(key), "stock", ErrForeign},
			{text[:len(text)-4], string(key), "orders", ErrMalformed},
			{text + "AAAA", string(key), "orders", ErrForged},
			{text + "=", string(key), "orders", ErrMalformed},
			{text[2:], string(key), "orders", ErrMalformed},
			{"", string(key), "orders", ErrMalformed},
			{"1.", string(key), "orders", ErrMalformed},
			{"1.AAAA", string(key), "orders", ErrMalformed},
			{text + strings.Repeat("A", MaxSize), string(key), "orders", ErrOversized},
		} {
			got, err := Verify([]byte(c.key), c.service, c.text)
			So(errors.Cause(err), ShouldEqual, c.want)
			So(got, ShouldResemble, Token{})
		}
	})
	Convey("every changed byte is noticed", t, func() {
		for i := range text {
			changed := []byte(text)
			changed[i] ^= 1
			_, err := Verify(key, "orders", string(changed))
			So(err, ShouldNotBeNil)
		}
	})
	Convey("a session id that is too long is not signed", t, func() {
		_, err := Sign(key, Token{Session: catalog.SessionID(strings.Repeat("a", MaxSessionBytes+1))})
		So(errors.Cause(err), ShouldEqual, ErrOversized)
	})
}

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
			t.Fatalf("a refused token gave %+v", got)
		}
		if err == nil && (in != text || got != sample) {
			t.Fatalf("accepted %q as %+v", in, got)
		}
	})
}
