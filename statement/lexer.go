package statement

import "strings"

// tokenKind tells the tokens of SQL apart as far as classification needs it.
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
	// Text is in upper case for a word, and without quotes for a string or a
	// quoted name.
	Text string
	// Raw is the text as it was written.
	Raw string
	// Depth counts the parentheses around the token.
	Depth int
}

// lexer cuts SQL into tokens.
type lexer struct {
	text  string
	at    int
	depth int
}

// tokens cuts the text into statements of tokens, without the empty ones.
func split(text string) [][]token {
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
	l.skip()
	if l.at >= len(l.text) {
		return token{}, false
	}
	start := l.at
	t := l.scan()
	t.Raw = l.text[start:l.at]
	return t, true
}

func (l *lexer) scan() token {
	b := l.text[l.at]
	switch {
	case b == '\'':
		return token{Kind: tokenString, Text: l.quoted('\'', false), Depth: l.depth}
	case b == '"':
		return token{Kind: tokenQuotedName, Text: l.quoted('"', false), Depth: l.depth}
	case (b == 'e' || b == 'E') && l.peek(1) == '\'':
		l.at++
		return token{Kind: tokenString, Text: l.quoted('\'', true), Depth: l.depth}
	case b == '$' && l.dollarTag() != "":
		return token{Kind: tokenString, Text: l.dollar(l.dollarTag()), Depth: l.depth}
	case isLetter(b):
		return l.word()
	case isDigit(b):
		return l.number()
	}
	l.at++
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

func (l *lexer) word() token {
	start := l.at
	for l.at < len(l.text) && (isLetter(l.text[l.at]) || isDigit(l.text[l.at]) || l.text[l.at] == '$') {
		l.at++
	}
	return token{Kind: tokenWord, Text: strings.ToUpper(l.text[start:l.at]), Depth: l.depth}
}

func (l *lexer) number() token {
	start := l.at
	for l.at < len(l.text) && (isDigit(l.text[l.at]) || isLetter(l.text[l.at]) || l.text[l.at] == '.') {
		l.at++
	}
	return token{Kind: tokenNumber, Text: l.text[start:l.at], Depth: l.depth}
}

// quoted reads a text in quotes, where a doubled quote stands for one.
func (l *lexer) quoted(quote byte, escapes bool) string {
	var out strings.Builder
	l.at++
	for l.at < len(l.text) {
		b := l.text[l.at]
		if escapes && b == '\\' && l.at+1 < len(l.text) {
			out.WriteByte(l.text[l.at+1])
			l.at += 2
			continue
		}
		if b == quote {
			if l.peek(1) != quote {
				l.at++
				return out.String()
			}
			l.at++
		}
		out.WriteByte(b)
		l.at++
	}
	return out.String()
}

// dollarTag returns the opening tag of a dollar-quoted text, or nothing.
func (l *lexer) dollarTag() string {
	for i := l.at + 1; i < len(l.text); i++ {
		b := l.text[i]
		if b == '$' {
			return l.text[l.at : i+1]
		}
		if !isLetter(b) && (!isDigit(b) || i == l.at+1) {
			return ""
		}
	}
	return ""
}

func (l *lexer) dollar(tag string) string {
	l.at += len(tag)
	start := l.at
	if end := strings.Index(l.text[start:], tag); end >= 0 {
		l.at = start + end + len(tag)
		return l.text[start : start+end]
	}
	l.at = len(l.text)
	return l.text[start:]
}

// skip passes over white space and comments.
func (l *lexer) skip() {
	for l.at < len(l.text) {
		switch {
		case strings.IndexByte(" \t\r\n\f\v", l.text[l.at]) >= 0:
			l.at++
		case strings.HasPrefix(l.text[l.at:], "--"):
			end := strings.IndexByte(l.text[l.at:], '\n')
			if end < 0 {
				l.at = len(l.text)
				return
			}
			l.at += end + 1
		case strings.HasPrefix(l.text[l.at:], "/*"):
			l.comment()
		default:
			return
		}
	}
}

// comment passes over a comment, which may hold others.
func (l *lexer) comment() {
	depth := 0
	for l.at < len(l.text) {
		rest := l.text[l.at:]
		switch {
		case strings.HasPrefix(rest, "/*"):
			depth++
			l.at += 2
		case strings.HasPrefix(rest, "*/"):
			depth--
			l.at += 2
			if depth == 0 {
				return
			}
		default:
			l.at++
		}
	}
}

func (l *lexer) peek(n int) byte {
	if l.at+n >= len(l.text) {
		return 0
	}
	return l.text[l.at+n]
}

func isLetter(b byte) bool {
	return b == '_' || b >= 0x80 || b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z'
}

func isDigit(b byte) bool {
	return b >= '0' && b <= '9'
}
