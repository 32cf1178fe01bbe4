package catalog

import (
	"net/netip"
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/juju/errors"
)

// MaxNameBytes is the maximum length of a name or an id from outside, in bytes.
const MaxNameBytes = 255

// shownRunes bounds the part of an invalid value that an error repeats.
const shownRunes = 40

// CheckText returns a NotValid error unless a value from outside can be stored,
// sent and logged: one to MaxNameBytes bytes of UTF-8 without control characters.
// The error calls the value by its kind, such as "zone".
func CheckText(kind, text string) error {
	switch {
	case text == "":
		return errors.NotValidf("empty %s", kind)
	case len(text) > MaxNameBytes:
		return errors.NotValidf("%s %.*q (%d bytes, the limit is %d)", kind, shownRunes, text, len(text), MaxNameBytes)
	case !utf8.ValidString(text) || strings.ContainsRune(text, utf8.RuneError):
		return errors.NotValidf("%s %.*q (not UTF-8)", kind, shownRunes, text)
	case strings.ContainsFunc(text, isLineControl):
		return errors.NotValidf("%s %.*q (a control character)", kind, shownRunes, text)
	}
	return nil
}

// isLineControl reports whether a rune is a control character or ends a line.
func isLineControl(r rune) bool {
	return unicode.IsControl(r) || r == '\u2028' || r == '\u2029'
}

// CheckName returns a NotValid error unless a value can also be a word of a
// protocol that separates words by blanks. Services, instances and organisations
// have such names.
func CheckName(kind, text string) error {
	if err := CheckText(kind, text); err != nil {
		return err
	}
	if strings.ContainsFunc(text, unicode.IsSpace) {
		return errors.NotValidf("%s %.*q (a blank)", kind, shownRunes, text)
	}
	return nil
}

// CheckAddress returns a NotValid error unless the text is an IP and a port to
// which a connection can be opened.
func CheckAddress(text string) error {
	a, err := netip.ParseAddrPort(text)
	if err != nil || a.Port() == 0 || a.Addr().IsUnspecified() || a.Addr().IsMulticast() || a.Addr().Zone() != "" {
		return errors.NotValidf("address %.*q", shownRunes, text)
	}
	return nil
}
