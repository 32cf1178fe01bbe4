package standin

import "strings"

// splitStatements splits a query into statements at semicolons and removes
// comments.
func splitStatements(query string) []string {
	var out []string
	var b strings.Builder
	for i := 0; i < len(query); {
		switch {
		case query[i] == '\'' || query[i] == '"':
			n := quotedLength(query[i:])
			b.WriteString(query[i : i+n])
			i += n
		case strings.HasPrefix(query[i:], "/*"):
			i += commentLength(query[i:], "*/")
			b.WriteByte(' ')
		case strings.HasPrefix(query[i:], "--"):
			i += commentLength(query[i:], "\n")
			b.WriteByte(' ')
		case query[i] == ';':
			out = appendStatement(out, b.String())
			b.Reset()
			i++
		default:
			b.WriteByte(query[i])
			i++
		}
	}
	return appendStatement(out, b.String())
}

func appendStatement(list []string, text string) []string {
	if text = strings.TrimSpace(text); text != "" {
		list = append(list, text)
	}
	return list
}

// quotedLength returns the length in bytes of the quoted text at the start of s.
func quotedLength(s string) int {
	if n := strings.IndexByte(s[1:], s[0]); n >= 0 {
		return n + 2
	}
	return len(s)
}

func commentLength(s, end string) int {
	if n := strings.Index(s[2:], end); n >= 0 {
		return 2 + n + len(end)
	}
	return len(s)
}
