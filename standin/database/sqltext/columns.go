package sqltext

// functionTypes are the result types of functions that do not depend on their arguments.
var functionTypes = map[string]string{
	"count": "bigint", "length": "integer", "abs": "bigint", "row_number": "bigint",
	"avg": "double precision", "random": "double precision", "round": "double precision",
	"now": "timestamptz", "clock_timestamp": "timestamptz", "pg_sleep": "text", "exists": "boolean",
	"pg_is_in_recovery": "boolean", "pg_backend_pid": "integer", "generate_series": "bigint",
	"gen_random_uuid": "uuid", "total_changes": "bigint",
}

// columnHints returns one hint for each result column, or nil if there is no select list or it has a star.
func columnHints(tokens []token) []Hint {
	list := selectList(tokens)
	if len(list) == 0 {
		return nil
	}
	var hints []Hint
	depth, start := 0, 0
	for i, t := range list {
		depth += depthChange(t)
		if depth == 0 && t.is(",") {
			hints = append(hints, expressionHint(list[start:i]))
			start = i + 1
		}
	}
	hints = append(hints, expressionHint(list[start:]))
	for _, h := range hints {
		if h.Column == "*" {
			return nil
		}
	}
	return hints
}

// selectList returns the tokens of the select list or of the RETURNING list, or nil if there is none.
func selectList(tokens []token) []token {
	start, depth := -1, 0
	for i, t := range tokens {
		depth += depthChange(t)
		if depth != 0 {
			continue
		}
		if t.is("returning") || start < 0 && t.is("select") {
			start = i + 1
		}
		if start >= 0 && i >= start && endsSelectList(t) {
			return tokens[start:i]
		}
	}
	if start < 0 {
		return nil
	}
	return tokens[start:]
}

// endsSelectList reports whether the token is a keyword that follows a select list.
func endsSelectList(t token) bool {
	switch t.text {
	case "from", "where", "order", "limit", "group", "union", "for":
		return t.kind == kindWord
	default:
		return false
	}
}

// expressionHint describes the type of one expression of a select list.
func expressionHint(tokens []token) Hint {
	tokens = withoutAlias(tokens)
	if len(tokens) == 0 {
		return Hint{}
	}
	if tokens[len(tokens)-1].is("*") && (len(tokens) == 1 || len(tokens) == 3 && tokens[1].is(".")) {
		return Hint{Column: "*"}
	}
	if name := outerCast(tokens); name != "" {
		return Hint{Type: name}
	}
	if isBoolean(tokens) {
		return Hint{Type: "boolean"}
	}
	return operandType(tokens)
}

// operandType describes the type of an expression by its first operand.
func operandType(tokens []token) Hint {
	first := tokens[0]
	switch {
	case first.is("distinct") && len(tokens) > 1:
		return operandType(tokens[1:])
	case first.kind == kindParameter:
		return Hint{Parameter: parameterNumber(first)}
	case first.kind == kindNumber && len(tokens) == 1 && numberType(first.text) == "bigint":
		return Hint{Type: "integer"}
	case first.kind == kindNumber:
		return Hint{Type: numberType(first.text)}
	case first.kind == kindString:
		return Hint{Type: "text"}
	case first.is("true") || first.is("false"):
		return Hint{Type: "boolean"}
	case first.is("-") || first.is("("):
		if len(tokens) > 1 {
			return operandType(tokens[1:])
		}
	case first.is("case") && indexOf(tokens, "then") > 0:
		return operandType(tokens[indexOf(tokens, "then")+1:])
	case first.is("cast"):
		return castFunction(tokens)
	case first.is("select"):
		return expressionHint(selectList(tokens))
	case first.isName() && len(tokens) > 1 && tokens[1].is("("):
		return functionHint(tokens)
	case first.isName():
		return Hint{Column: unqualifiedName(tokens, 0)}
	}
	return Hint{}
}

// functionHint describes the result of the function call at the start of tokens.
func functionHint(tokens []token) Hint {
	name := tokens[0].text
	if fixed, ok := functionTypes[name]; ok {
		return Hint{Type: fixed}
	}
	if name == "sum" && len(tokens) > 2 {
		hint := operandType(tokens[2:])
		hint.Sum = true
		return hint
	}
	if (name == "max" || name == "min" || name == "coalesce") && len(tokens) > 2 {
		return operandType(tokens[2:])
	}
	return Hint{Type: "text"}
}

// castFunction describes the type of CAST(expression AS type).
func castFunction(tokens []token) Hint {
	for i := len(tokens) - 1; i > 0; i-- {
		if tokens[i].is("as") && i+1 < len(tokens) {
			name, _ := typeName(tokens, i+1)
			return Hint{Type: name}
		}
	}
	return Hint{}
}

// withoutAlias removes the alias from the end: AS and a name, or only a name after an operand.
func withoutAlias(tokens []token) []token {
	n := len(tokens)
	if n >= 3 && tokens[n-2].is("as") {
		return tokens[:n-2]
	}
	if n < 2 || !tokens[n-1].isName() || tokens[n-1].is("end") {
		return tokens
	}
	previous := tokens[n-2]
	if previous.is(")") || previous.kind == kindParameter || previous.kind == kindNumber || previous.kind == kindString {
		return tokens[:n-1]
	}
	return tokens
}

// outerCast returns the type of a cast at the end of the expression, or an empty string.
func outerCast(tokens []token) string {
	for i := len(tokens) - 2; i >= 0; i-- {
		if !tokens[i].is("::") {
			continue
		}
		name, end := typeName(tokens, i+1)
		if end == len(tokens) {
			return name
		}
		return ""
	}
	return ""
}

// isBoolean reports whether the expression begins with NOT or EXISTS, or has a comparison or a
// logical operator outside parentheses that no CASE or OVER precedes.
func isBoolean(tokens []token) bool {
	if tokens[0].is("not") || tokens[0].is("exists") {
		return true
	}
	depth := 0
	for _, t := range tokens {
		depth += depthChange(t)
		if depth != 0 || t.kind != kindOperator && t.kind != kindWord {
			continue
		}
		switch t.text {
		case "=", "<", ">", "<=", ">=", "<>", "!=", "like", "ilike", "is", "in", "between", "and", "or":
			return true
		case "case", "over":
			return false
		}
	}
	return false
}
