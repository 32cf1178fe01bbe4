package statement

import (
	"strings"
)

// hintPrefix begins a comment with hints for one request.
const hintPrefix = "kingcupknot:"

// Hint is one name and value of a leading comment.
type Hint struct {
	Name  string
	Value string
}

// Hints reads the hints that stand in a leading comment of the text, such as
// "/* kingcupknot: session=a, class=booking */".
func Hints(text string) []Hint {
	text = strings.TrimLeft(text, " \t\r\n")
	body, ok := strings.CutPrefix(text, "/*")
	if !ok {
		return nil
	}
	end := strings.Index(body, "*/")
	if end < 0 {
		return nil
	}
	body, ok = strings.CutPrefix(strings.TrimSpace(body[:end]), hintPrefix)
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
