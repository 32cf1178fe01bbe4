package statement

import "strings"

// hintPrefix is the prefix of a comment that holds hints for one request.
const hintPrefix = "kingcupknot:"

// Hint is one name=value pair of a leading comment.
type Hint struct {
	Name  string
	Value string
}

// ParseHints returns the hints in a leading comment of the text, such as
// "/* kingcupknot: session=a, class=booking */". It doesn't check their names.
func ParseHints(text string) []Hint {
	body, _, ok := splitHints(text)
	if !ok {
		return nil
	}
	var out []Hint
	for part := range strings.SplitSeq(body, ",") {
		name, value, _ := strings.Cut(part, "=")
		name, value = strings.TrimSpace(name), strings.TrimSpace(value)
		if name != "" {
			out = append(out, Hint{name, value})
		}
	}
	return out
}

// StripHints returns the text without a leading comment that holds hints.
func StripHints(text string) string {
	if _, rest, ok := splitHints(text); ok {
		return strings.TrimLeft(rest, hintWhitespace)
	}
	return text
}

// hintWhitespace holds the characters that may precede the comment.
const hintWhitespace = " \t\r\n"

// splitHints returns the hints of a leading comment and the text after the
// comment. The result ok is false if the text doesn't begin with a complete
// comment that has hintPrefix.
func splitHints(text string) (body, rest string, ok bool) {
	inner, ok := strings.CutPrefix(strings.TrimLeft(text, hintWhitespace), "/*")
	if !ok {
		return "", text, false
	}
	inner, rest, ok = strings.Cut(inner, "*/")
	if !ok {
		return "", text, false
	}
	body, ok = strings.CutPrefix(strings.TrimSpace(inner), hintPrefix)
	return body, rest, ok
}
