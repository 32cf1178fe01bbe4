package statement

import "strings"

// tokenKind is the lexical class of a token, as far as classification needs it.
type tokenKind uint8

const (
	tokenWord tokenKind = iota
	tokenQuotedName
	tokenString
	tokenNumber
	tokenSymbol
)

// token is one lexical element of a statement.
type token struct {
	Kind tokenKind
	// Text is the text of the token: in upper case for a word, without quotes
	// for a string or a quoted name.
	Text string
	// Raw is the text as it stands in the statement.
	Raw string
	// Depth is the number of parentheses around the token.
	Depth int
}

// lexer splits SQL into tokens.
type lexer struct {
	text  string
	pos   int
	depth int
}

// splitStatements splits the text into statements at semicolons outside
// parentheses, each a list of tokens. It leaves out empty statements.
func splitStatements(text string) [][]token {
	l := lexer{text: text}
	var out [][]token
	var current []token
	for {
		t, ok := l.next()
		if !ok {
			break
		}
		if t.Kind == tokenSymbol && t.Text == ";" && t.Depth == 0 {
			if len(current) > 0 {
				out = append(out, current)
			}
			current = nil
			continue
		}
		current = append(current, t)
	}
	if len(current) > 0 {
		out = append(out, current)
	}
	return out
}

func (l *lexer) next() (token, bool) {
	l.skipBlank()
	if l.pos >= len(l.text) {
		return token{}, false
	}
	start := l.pos
	t := l.scan()
	t.Raw = l.text[start:l.pos]
	return t, true
}

func (l *lexer) scan() token {
	b := l.text[l.pos]
	switch {
	case b == '\'':
		return token{Kind: tokenString, Text: l.readQuoted('\'', false), Depth: l.depth}
	case b == '"':
		return token{Kind: tokenQuotedName, Text: l.readQuoted('"', false), Depth: l.depth}
	case (b == 'e' || b == 'E') && l.peek(1) == '\'':
		l.pos++
		return token{Kind: tokenString, Text: l.readQuoted('\'', true), Depth: l.depth}
	case b == '$' && l.dollarTag() != "":
		return token{Kind: tokenString, Text: l.readDollarQuoted(l.dollarTag()), Depth: l.depth}
	case isLetter(b):
		return l.readWord()
	case isDigit(b):
		return l.readNumber()
	}
	l.pos++
	t := token{Kind: tokenSymbol, Text: string(b), Depth: l.depth}
	switch b {
	case '(':
		l.depth++
	case ')':
		l.depth = max(0, l.depth-1)
		t.Depth = l.depth
	}
	return t
}

func (l *lexer) readWord() token {
	start := l.pos
	for l.pos < len(l.text) && (isLetter(l.text[l.pos]) || isDigit(l.text[l.pos]) || l.text[l.pos] == '$') {
		l.pos++
	}
	return token{Kind: tokenWord, Text: strings.ToUpper(l.text[start:l.pos]), Depth: l.depth}
}

func (l *lexer) readNumber() token {
	start := l.pos
	for l.pos < len(l.text) && (isDigit(l.text[l.pos]) || isLetter(l.text[l.pos]) || l.text[l.pos] == '.') {
		l.pos++
	}
	return token{Kind: tokenNumber, Text: l.text[start:l.pos], Depth: l.depth}
}

// readQuoted reads a quoted text, in which a doubled quote stands for one quote.
// If escapes is set, the byte after a backslash is taken literally.
func (l *lexer) readQuoted(quote byte, escapes bool) string {
	var out strings.Builder
	l.pos++
	for l.pos < len(l.text) {
		b := l.text[l.pos]
		if escapes && b == '\\' && l.pos+1 < len(l.text) {
			out.WriteByte(l.text[l.pos+1])
			l.pos += 2
			continue
		}
		if b == quote {
			if l.peek(1) != quote {
				l.pos++
				return out.String()
			}
			l.pos++
		}
		out.WriteByte(b)
		l.pos++
	}
	return out.String()
}

// dollarTag returns the opening tag of a dollar-quoted text, or an empty string
// if none begins at the current position.
func (l *lexer) dollarTag() string {
	for i := l.pos + 1; i < len(l.text); i++ {
		b := l.text[i]
		if b == '$' {
			return l.text[l.pos : i+1]
		}
		if !isLetter(b) && (!isDigit(b) || i == l.pos+1) {
			return ""
		}
	}
	return ""
}

func (l *lexer) readDollarQuoted(tag string) string {
	l.pos += len(tag)
	start := l.pos
	if end := strings.Index(l.text[start:], tag); end >= 0 {
		l.pos = start + end + len(tag)
		return l.text[start : start+end]
	}
	l.pos = len(l.text)
	return l.text[start:]
}

// skipBlank skips white space and comments.
func (l *lexer) skipBlank() {
	for l.pos < len(l.text) {
		switch {
		case strings.IndexByte(" \t\r\n\f\v", l.text[l.pos]) >= 0:
			l.pos++
		case strings.HasPrefix(l.text[l.pos:], "--"):
			end := strings.IndexByte(l.text[l.pos:], '\n')
			if end < 0 {
				l.pos = len(l.text)
				return
			}
			l.pos += end + 1
		case strings.HasPrefix(l.text[l.pos:], "/*"):
			l.skipComment()
		default:
			return
		}
	}
}

// skipComment skips a comment, which may contain nested comments.
func (l *lexer) skipComment() {
	depth := 0
	for l.pos < len(l.text) {
		rest := l.text[l.pos:]
		switch {
		case strings.HasPrefix(rest, "/*"):
			depth++
			l.pos += 2
		case strings.HasPrefix(rest, "*/"):
			depth--
			l.pos += 2
			if depth == 0 {
				return
			}
		default:
			l.pos++
		}
	}
}

func (l *lexer) peek(n int) byte {
	if l.pos+n >= len(l.text) {
		return 0
	}
	return l.text[l.pos+n]
}

func isLetter(b byte) bool {
	return b == '_' || b >= 0x80 || b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z'
}

func isDigit(b byte) bool {
	return b >= '0' && b <= '9'
}
