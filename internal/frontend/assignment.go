package frontend

import (
	"strings"

	"github.com/papayacove/papayacove/internal/result"
)

// allParameters is the name in an assignment that resets every parameter.
const allParameters = ""

// assignment is a SET, RESET or set_config of one run-time parameter.
type assignment struct {
	// name is the parameter in lower case, or allParameters.
	name  string
	value string
	// isDefault is true for SET ... TO DEFAULT and RESET.
	isDefault bool
}

// parseSet parses SET [SESSION] name { TO | = } value, SET TIME ZONE, SET NAMES and SET SCHEMA.
func parseSet(s statement) (assignment, *result.Error) {
	tokens := s.tokens[1:]
	if s.truncated {
		return assignment{}, result.Errorf(result.Unsupported, "SET with more than %d tokens is not supported", maxLeadingTokens)
	}
	if len(tokens) > 1 && tokens[0].isWord("session") && !tokens[1].isSymbol("=") && !tokens[1].isWord("to") {
		tokens = tokens[1:]
	}
	if len(tokens) < 2 {
		return assignment{}, unsupportedSet()
	}
	switch {
	case tokens[0].isWord("authorization", "role"):
		return assignment{}, result.Errorf(result.Unsupported, "SET %s is not supported", strings.ToUpper(tokens[0].value))
	case tokens[0].isWord("time") && tokens[1].isWord("zone"):
		return assignmentOf("timezone", tokens[2:])
	case tokens[0].isWord("names"):
		return assignmentOf("client_encoding", tokens[1:])
	case tokens[0].isWord("schema"):
		return assignmentOf("search_path", tokens[1:])
	}
	name, rest := parameterName(tokens)
	if name == "" || len(rest) < 2 || !(rest[0].isSymbol("=") || rest[0].isWord("to")) {
		return assignment{}, unsupportedSet()
	}
	return assignmentOf(name, rest[1:])
}

func unsupportedSet() *result.Error {
	return result.Errorf(result.Unsupported, "this form of SET is not supported; use SET name = value")
}

// parameterName parses name or prefix.name, and returns it in lower case with the tokens that follow. The name is
// empty when the tokens do not begin with one.
func parameterName(tokens []token) (string, []token) {
	var parts []string
	for len(tokens) > 0 && (tokens[0].kind == tokenWord || tokens[0].kind == tokenQuotedIdentifier) {
		parts = append(parts, strings.ToLower(tokens[0].value))
		tokens = tokens[1:]
		if len(tokens) == 0 || !tokens[0].isSymbol(".") {
			break
		}
		tokens = tokens[1:]
	}
	return strings.Join(parts, "."), tokens
}

// assignmentOf returns the assignment of the value tokens of a SET. The values of a list are joined by a comma and a
// space, as in PostgreSQL.
func assignmentOf(name string, tokens []token) (assignment, *result.Error) {
	if len(tokens) == 1 && (tokens[0].isWord("default") || name == "timezone" && tokens[0].isWord("local")) {
		return assignment{name: name, isDefault: true}, nil
	}
	var items []string
	for len(tokens) > 0 {
		item, rest, ok := settingItem(name, tokens)
		if !ok || len(rest) > 0 && (!rest[0].isSymbol(",") || len(rest) == 1) {
			return assignment{}, unsupportedSet()
		}
		items = append(items, item)
		if len(rest) > 0 {
			rest = rest[1:]
		}
		tokens = rest
	}
	if len(items) == 0 || len(items) > 1 && !isListParameter(name) {
		return assignment{}, unsupportedSet()
	}
	return assignment{name: name, value: strings.Join(items, ", ")}, nil
}

// settingItem parses one value and returns it with the tokens that follow; false when the tokens do not begin
// with a value.
func settingItem(name string, tokens []token) (string, []token, bool) {
	sign := ""
	if tokens[0].isSymbol("-") || tokens[0].isSymbol("+") {
		sign = strings.TrimPrefix(tokens[0].value, "+")
		tokens = tokens[1:]
		if len(tokens) == 0 || tokens[0].kind != tokenNumber {
			return "", nil, false
		}
	}
	first := tokens[0]
	switch first.kind {
	case tokenNumber:
		return sign + first.value, tokens[1:], true
	case tokenWord, tokenString, tokenQuotedIdentifier:
		if name == "search_path" {
			return quoteIdentifier(first.value), tokens[1:], true
		}
		return first.value, tokens[1:], true
	}
	return "", nil, false
}

// quoteIdentifier quotes a schema name unless it is a plain lower-case word.
func quoteIdentifier(name string) string {
	isPlain := name != "" && !isDigit(name[0])
	for i := 0; i < len(name); i++ {
		c := name[i]
		isPlain = isPlain && (c >= 'a' && c <= 'z' || isDigit(c) || c == '_')
	}
	if isPlain {
		return name
	}
	return `"` + strings.ReplaceAll(name, `"`, `""`) + `"`
}

// parseReset parses RESET name, RESET TIME ZONE and RESET ALL, which has the name allParameters.
func parseReset(s statement) (assignment, *result.Error) {
	if s.at(1).isWord("all") && len(s.tokens) == 2 {
		return assignment{name: allParameters, isDefault: true}, nil
	}
	if s.at(1).isWord("time") && s.at(2).isWord("zone") && len(s.tokens) == 3 {
		return assignment{name: "timezone", isDefault: true}, nil
	}
	name, rest := parameterName(s.tokens[1:])
	if name == "" || len(rest) > 0 {
		return assignment{}, result.Errorf(result.Unsupported, "this form of RESET is not supported; use RESET name")
	}
	return assignment{name: name, isDefault: true}, nil
}

// parseSetConfig parses SELECT set_config('name', 'value', false).
func parseSetConfig(s statement) (assignment, *result.Error) {
	shape := []func(token) bool{
		func(t token) bool { return t.isWord("select") },
		func(t token) bool { return t.isWord("set_config") },
		func(t token) bool { return t.isSymbol("(") },
		func(t token) bool { return t.kind == tokenString },
		func(t token) bool { return t.isSymbol(",") },
		func(t token) bool { return t.kind == tokenString },
		func(t token) bool { return t.isSymbol(",") },
		func(t token) bool { return t.isWord("false") },
		func(t token) bool { return t.isSymbol(")") },
	}
	matches := len(s.tokens) == len(shape)
	for i := 0; matches && i < len(shape); i++ {
		matches = shape[i](s.tokens[i])
	}
	if !matches {
		return assignment{}, result.Errorf(result.Unsupported, "set_config is supported only as SELECT set_config('name', 'value', false)")
	}
	return assignment{name: strings.ToLower(s.tokens[3].value), value: s.tokens[5].value}, nil
}
