// Package sqltext parses PostgreSQL statements as far as the stand-in target needs it: it splits
// scripts, classifies statements, translates them to the dialect of SQLite and infers types of
// parameters and result columns. It works on tokens without a grammar, so the inference is
// heuristic.
package sqltext

import "strings"

// tokenKind is the lexical class of a token.
type tokenKind int

const (
	kindWord tokenKind = iota
	kindQuotedWord
	kindNumber
	kindString
	kindParameter
	kindOperator
)

// token is one lexical element. Comments and white space are not tokens.
type token struct {
	kind tokenKind
	// text is the lower-case word, the content of a quoted word, or the source text.
	text string
	// start and end are byte offsets in the source text; end is exclusive.
	start, end int
}

// is reports whether the token is the given unquoted word or operator.
func (t token) is(text string) bool {
	return (t.kind == kindWord || t.kind == kindOperator) && t.text == text
}

// isName reports whether the token can name a table or a column.
func (t token) isName() bool {
	return t.kind == kindWord || t.kind == kindQuotedWord
}

// longOperators are the operators of more than one character. One that begins with another comes before it.
var longOperators = []string{"->>", "::", "<=", ">=", "<>", "!=", "||", "->", ":="}

// tokenize splits sql into tokens. An unterminated string or comment extends to the end of the text.
func tokenize(sql string) []token {
	var tokens []token
	for i := 0; i < len(sql); {
		next := skipSpaceOrComment(sql, i)
		if next != i {
			i = next
			continue
		}
		t := scanToken(sql, i)
		tokens = append(tokens, t)
		i = t.end
	}
	return tokens
}

// skipSpaceOrComment returns the index after one white-space character or one comment at i, or i if
// there is neither.
func skipSpaceOrComment(sql string, i int) int {
	switch {
	case isSpace(sql[i]):
		return i + 1
	case strings.HasPrefix(sql[i:], "--"):
		return endAfter(sql, i, "\n")
	case strings.HasPrefix(sql[i:], "/*"):
		return endAfter(sql, i+2, "*/")
	default:
		return i
	}
}

func scanToken(sql string, i int) token {
	c := sql[i]
	switch {
	case isLetter(c):
		return scanWord(sql, i)
	case c == '"':
		end := quotedEnd(sql, i, '"')
		return token{kindQuotedWord, unquote(sql[i:end], `"`), i, end}
	case c == '\'':
		end := quotedEnd(sql, i, '\'')
		return token{kindString, sql[i:end], i, end}
	case c == '$' && i+1 < len(sql) && isDigit(sql[i+1]):
		end := scanWhile(sql, i+1, isDigit)
		return token{kindParameter, sql[i+1 : end], i, end}
	case isDigit(c) || c == '.' && i+1 < len(sql) && isDigit(sql[i+1]):
		end := scanWhile(sql, i, isNumberByte)
		return token{kindNumber, sql[i:end], i, end}
	default:
		return scanOperator(sql, i)
	}
}

func scanWord(sql string, i int) token {
	end := scanWhile(sql, i, isWordByte)
	return token{kindWord, strings.ToLower(sql[i:end]), i, end}
}

func scanOperator(sql string, i int) token {
	for _, operator := range longOperators {
		if strings.HasPrefix(sql[i:], operator) {
			return token{kindOperator, operator, i, i + len(operator)}
		}
	}
	return token{kindOperator, sql[i : i+1], i, i + 1}
}

// quotedEnd returns the index after the quoted text that starts at i. A doubled quote is a part
// of the text.
func quotedEnd(sql string, i int, quote byte) int {
	for j := i + 1; j < len(sql); j++ {
		if sql[j] != quote {
			continue
		}
		if j+1 < len(sql) && sql[j+1] == quote {
			j++
			continue
		}
		return j + 1
	}
	return len(sql)
}

// unquote removes the quotes around text and replaces doubled quotes inside by single ones.
func unquote(text, quote string) string {
	text = strings.TrimPrefix(text, quote)
	text = strings.TrimSuffix(text, quote)
	return strings.ReplaceAll(text, quote+quote, quote)
}

// endAfter returns the index after the next occurrence of end at or after i, or the length of sql.
func endAfter(sql string, i int, end string) int {
	if n := strings.Index(sql[i:], end); n >= 0 {
		return i + n + len(end)
	}
	return len(sql)
}

func scanWhile(sql string, i int, accept func(byte) bool) int {
	for i < len(sql) && accept(sql[i]) {
		i++
	}
	return i
}

func isSpace(c byte) bool { return c == ' ' || c == '\t' || c == '\n' || c == '\r' || c == '\f' }
func isDigit(c byte) bool { return c >= '0' && c <= '9' }
func isLetter(c byte) bool {
	return c == '_' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= 0x80
}
func isWordByte(c byte) bool {
	return isLetter(c) || isDigit(c) || c == '$'
}
func isNumberByte(c byte) bool { return isDigit(c) || c == '.' }

// Split returns the statements of a script without the semicolons. It omits empty statements.
func Split(sql string) []string {
	var statements []string
	start, used := 0, false
	for _, t := range tokenize(sql) {
		if !t.is(";") {
			used = true
			continue
		}
		if used {
			statements = append(statements, strings.TrimSpace(sql[start:t.start]))
		}
		start, used = t.end, false
	}
	if used {
		statements = append(statements, strings.TrimSpace(sql[start:]))
	}
	return statements
}
