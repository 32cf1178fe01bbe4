package standin

import "strings"

// split takes the statements of a query apart at semicolons and drops comments.
func split(query string) []string {
	var out []string
	var b strings.Builder
	for i := 0; i < len(query); {
		switch {
		case query[i] == '\'' || query[i] == '"':
			n := quoted(query[i:])
			b.WriteString(query[i : i+n])
			i += n
		case strings.HasPrefix(query[i:], "/*"):
			i += comment(query[i:], "*/")
			b.WriteByte(' ')
		case strings.HasPrefix(query[i:], "--"):
			i += comment(query[i:], "\n")
			b.WriteByte(' ')
		case query[i] == ';':
			out = addStatement(out, b.String())
			b.Reset()
			i++
		default:
			b.WriteByte(query[i])
			i++
		}
	}
	return addStatement(out, b.String())
}

func addStatement(list []string, text string) []string {
	if text = strings.TrimSpace(text); text != "" {
		list = append(list, text)
	}
	return list
}

// quoted returns the length of the quoted text that s starts with.
func quoted(s string) int {
	if n := strings.IndexByte(s[1:], s[0]); n >= 0 {
		return n + 2
	}
	return len(s)
}

func comment(s, end string) int {
	if n := strings.Index(s[2:], end); n >= 0 {
		return 2 + n + len(end)
	}
	return len(s)
}
