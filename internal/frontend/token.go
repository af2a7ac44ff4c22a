package frontend

import "strings"

// tokenKind is the lexical class of a token.
type tokenKind byte

const (
	tokenEnd tokenKind = iota
	tokenWord
	tokenQuotedIdentifier
	tokenString
	tokenNumber
	tokenSymbol
	tokenComment
)

// token is a lexical element of SQL text.
type token struct {
	kind tokenKind
	// value is the text without quotes and comment markers. Words are in lower case.
	value string
	// start and end are the offsets of the token in the text.
	start, end int
}

// isWord reports whether the token is one of the given keywords, which are in lower case.
func (t token) isWord(keywords ...string) bool {
	if t.kind != tokenWord {
		return false
	}
	for _, keyword := range keywords {
		if t.value == keyword {
			return true
		}
	}
	return false
}

// isSymbol reports whether the token is the given symbol.
func (t token) isSymbol(symbol string) bool {
	return t.kind == tokenSymbol && t.value == symbol
}

// tokenizer splits SQL text into tokens. It recognizes only what is needed to find keywords, quoted text, comments
// and semicolons; for example, every character of an operator is a token.
type tokenizer struct {
	text   string
	offset int
}

// next returns the next token; at the end of the text its kind is tokenEnd.
func (t *tokenizer) next() token {
	t.skipSpace()
	start := t.offset
	if start >= len(t.text) {
		return token{kind: tokenEnd, start: start, end: start}
	}
	kind, value := t.scan()
	return token{kind: kind, value: value, start: start, end: t.offset}
}

func (t *tokenizer) skipSpace() {
	for t.offset < len(t.text) && strings.IndexByte(" \t\n\r\f\v", t.text[t.offset]) >= 0 {
		t.offset++
	}
}

func (t *tokenizer) scan() (tokenKind, string) {
	rest := t.text[t.offset:]
	switch c := rest[0]; {
	case strings.HasPrefix(rest, "--"):
		return tokenComment, t.lineComment()
	case strings.HasPrefix(rest, "/*"):
		return tokenComment, t.blockComment()
	case c == '\'':
		return tokenString, t.quoted('\'', false)
	case (c == 'e' || c == 'E') && strings.HasPrefix(rest[1:], "'"):
		t.offset++
		return tokenString, t.quoted('\'', true)
	case c == '"':
		return tokenQuotedIdentifier, t.quoted('"', false)
	case c == '$':
		return t.dollar()
	case isLetter(c):
		return tokenWord, strings.ToLower(t.run(isWordByte))
	case isDigit(c):
		return tokenNumber, t.run(isNumberByte)
	}
	t.offset++
	return tokenSymbol, rest[:1]
}

// run consumes the bytes that accept returns true for and returns them.
func (t *tokenizer) run(accept func(byte) bool) string {
	start := t.offset
	for t.offset < len(t.text) && accept(t.text[t.offset]) {
		t.offset++
	}
	return t.text[start:t.offset]
}

func (t *tokenizer) lineComment() string {
	start := t.offset + len("--")
	end := strings.IndexByte(t.text[start:], '\n')
	if end < 0 {
		t.offset = len(t.text)
		return t.text[start:]
	}
	t.offset = start + end + 1
	return t.text[start : start+end]
}

// blockComment consumes a block comment and returns its text. Block comments nest in PostgreSQL.
func (t *tokenizer) blockComment() string {
	start := t.offset + len("/*")
	depth := 1
	for i := start; i+1 < len(t.text); i++ {
		switch t.text[i : i+2] {
		case "/*":
			depth++
			i++
		case "*/":
			depth--
			i++
		}
		if depth == 0 {
			t.offset = i + 1
			return t.text[start : i-1]
		}
	}
	t.offset = len(t.text)
	return t.text[start:]
}

// quoted consumes text up to the closing quote and returns it. A doubled quote is one quote character. When backslash
// is true, a backslash escapes the character that follows.
func (t *tokenizer) quoted(quote byte, backslash bool) string {
	var value strings.Builder
	i := t.offset + 1
	for i < len(t.text) {
		c := t.text[i]
		if backslash && c == '\\' && i+1 < len(t.text) {
			value.WriteByte(t.text[i+1])
			i += 2
			continue
		}
		if c == quote {
			if i+1 >= len(t.text) || t.text[i+1] != quote {
				break
			}
			i++
		}
		value.WriteByte(c)
		i++
	}
	t.offset = min(i+1, len(t.text))
	return value.String()
}

// dollar consumes a dollar-quoted string or a parameter such as $1.
func (t *tokenizer) dollar() (tokenKind, string) {
	rest := t.text[t.offset:]
	end := 1
	for end < len(rest) && isWordByte(rest[end]) && rest[end] != '$' {
		end++
	}
	isTag := end < len(rest) && rest[end] == '$' && (end == 1 || !isDigit(rest[1]))
	if !isTag {
		t.offset += end
		return tokenSymbol, rest[:end]
	}
	tag := rest[:end+1]
	body := rest[len(tag):]
	length := strings.Index(body, tag)
	if length < 0 {
		t.offset = len(t.text)
		return tokenString, body
	}
	t.offset += len(tag) + length + len(tag)
	return tokenString, body[:length]
}

func isLetter(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c == '_' || c >= 0x80
}

func isDigit(c byte) bool {
	return c >= '0' && c <= '9'
}

func isWordByte(c byte) bool {
	return isLetter(c) || isDigit(c) || c == '$'
}

func isNumberByte(c byte) bool {
	return isDigit(c) || isLetter(c) || c == '.'
}
