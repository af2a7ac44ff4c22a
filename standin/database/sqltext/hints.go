package sqltext

import "strings"

// Hint describes what determines the type of a parameter or result column. All fields are empty if
// that is unknown.
type Hint struct {
	// Type is a type name from a cast, a function or a literal.
	Type string
	// Column is the column that the expression is compared with, stored into or read from.
	Column string
	// Parameter is the number of the parameter that the expression consists of, or 0.
	Parameter int
	// Array is true for the argument of ANY.
	Array bool
	// Ordinal is the number of the column, counted from 1, that an INSERT without a column list
	// stores the parameter into.
	Ordinal int
	// Sum is true for a sum of Column, whose type is wider than that of the column.
	Sum bool
}

// parameterHints returns one hint for each parameter; the first one is for $1.
func parameterHints(tokens []token) []Hint {
	var hints []Hint
	columns := insertColumns(tokens)
	for i, t := range tokens {
		if t.kind != kindParameter {
			continue
		}
		n := parameterNumber(t)
		for len(hints) < n {
			hints = append(hints, Hint{})
		}
		hint := parameterHint(tokens, i)
		if hint == (Hint{}) {
			hint = columns[i]
		}
		if hints[n-1] == (Hint{}) || hint.Type != "" {
			hints[n-1] = hint
		}
	}
	return hints
}

// parameterHint derives a hint for the parameter at index i from the tokens around it.
func parameterHint(tokens []token, i int) Hint {
	if name := castAfter(tokens, i); name != "" {
		return Hint{Type: name}
	}
	if i == 0 {
		return Hint{}
	}
	previous := tokens[i-1]
	if previous.is("limit") || previous.is("offset") {
		return Hint{Type: "bigint"}
	}
	if isSameTypeOperator(previous) && i >= 2 {
		if hint := operandHint(tokens, i-2); hint != (Hint{}) {
			return hint
		}
	}
	if previous.is("any") || previous.is("(") && i >= 2 && tokens[i-2].is("any") {
		return Hint{Column: columnBefore(tokens, i-4), Array: true}
	}
	if hint := argumentHint(tokens, i); hint != (Hint{}) {
		return hint
	}
	if previous.is("between") || previous.is("and") && i >= 3 && tokens[i-3].is("between") {
		return Hint{Column: betweenColumn(tokens, i)}
	}
	if i+2 < len(tokens) && isSameTypeOperator(tokens[i+1]) && tokens[i+2].isName() {
		return Hint{Column: unqualifiedName(tokens, i+2)}
	}
	return Hint{}
}

// operandHint describes the type of the operand that ends at index i.
func operandHint(tokens []token, i int) Hint {
	if tokens[i].isName() {
		return Hint{Column: tokens[i].text}
	}
	if tokens[i].kind == kindNumber {
		return Hint{Type: numberType(tokens[i].text)}
	}
	return Hint{}
}

// argumentHint describes the type of a parameter at index i inside the parentheses of IN or a
// function call.
func argumentHint(tokens []token, i int) Hint {
	open := openParenthesis(tokens, i)
	if open < 1 {
		return Hint{}
	}
	name := tokens[open-1]
	switch {
	case name.is("in"):
		return Hint{Column: columnBefore(tokens, open-2)}
	case name.is("generate_series"):
		return Hint{Type: "bigint"}
	case name.is("pg_sleep"):
		return Hint{Type: "double precision"}
	case name.is("coalesce") || name.is("max") || name.is("min"):
		if open+1 < i && tokens[open+1].isName() {
			return Hint{Column: unqualifiedName(tokens, open+1)}
		}
	}
	return Hint{}
}

// columnBefore returns the column name at index i, or the one before it if NOT is at index i.
func columnBefore(tokens []token, i int) string {
	if i >= 0 && tokens[i].is("not") {
		i--
	}
	if i >= 0 && tokens[i].isName() {
		return tokens[i].text
	}
	return ""
}

// betweenColumn returns the column compared by a BETWEEN that is at most three tokens before index i,
// or an empty string.
func betweenColumn(tokens []token, i int) string {
	for j := i - 1; j > 0 && j > i-4; j-- {
		if tokens[j].is("between") {
			return columnBefore(tokens, j-1)
		}
	}
	return ""
}

// openParenthesis returns the index of the parenthesis that encloses index i, or -1.
func openParenthesis(tokens []token, i int) int {
	depth := 0
	for j := i - 1; j >= 0; j-- {
		depth -= depthChange(tokens[j])
		if depth < 0 {
			return j
		}
	}
	return -1
}

// insertColumns maps the indexes of tokens inside VALUES to a hint for the column that they are
// stored into.
func insertColumns(tokens []token) map[int]Hint {
	into := indexOfSequence(tokens, "insert", "into")
	values := indexOf(tokens, "values")
	if into < 0 || values < into {
		return nil
	}
	names := insertColumnNames(tokens[into:values])
	columns := make(map[int]Hint)
	depth, position := 0, 0
	for i := values + 1; i < len(tokens); i++ {
		depth += depthChange(tokens[i])
		switch {
		case depth == 0 && !tokens[i].is(")") && !tokens[i].is(","):
			return columns
		case depth == 0:
			position = 0
		case depth == 1 && tokens[i].is(","):
			position++
		case len(names) == 0:
			columns[i] = Hint{Ordinal: position + 1}
		case position < len(names):
			columns[i] = Hint{Column: names[position]}
		}
	}
	return columns
}

// insertColumnNames returns the names in the column list of an INSERT; nil if it has none.
func insertColumnNames(tokens []token) []string {
	open := indexOf(tokens, "(")
	if open < 0 {
		return nil
	}
	var names []string
	for _, t := range tokens[open+1:] {
		if t.is(")") {
			break
		}
		if t.isName() {
			names = append(names, t.text)
		}
	}
	return names
}

// castAfter returns the type of a cast that directly follows index i, or an empty string.
func castAfter(tokens []token, i int) string {
	if i+2 >= len(tokens) || !tokens[i+1].is("::") {
		return ""
	}
	name, _ := typeName(tokens, i+2)
	return name
}

// typeName returns the type name that starts at index i, without a length, and the index after it.
func typeName(tokens []token, i int) (string, int) {
	name := tokens[i].text
	i++
	if i < len(tokens) && (name == "double" || name == "character") && tokens[i].kind == kindWord {
		name += " " + tokens[i].text
		i++
	}
	if i < len(tokens) && tokens[i].is("(") {
		for i < len(tokens) && !tokens[i].is(")") {
			i++
		}
		i++
	}
	for _, suffix := range [][]string{{"with", "time", "zone"}, {"without", "time", "zone"}} {
		if i+3 <= len(tokens) && hasSequence(tokens[i:i+3], suffix...) {
			name += " " + strings.Join(suffix, " ")
			i += 3
		}
	}
	if i+1 < len(tokens) && tokens[i].is("[") && tokens[i+1].is("]") {
		name += "[]"
		i += 2
	}
	return name, i
}

// isSameTypeOperator reports whether the token is an operator whose operands have the same type.
func isSameTypeOperator(t token) bool {
	switch t.text {
	case "=", "<", ">", "<=", ">=", "<>", "!=", "+", "-", "*", "/", "%", "like", "ilike":
		return t.kind == kindOperator || t.kind == kindWord
	default:
		return false
	}
}

// unqualifiedName returns the last part of the possibly qualified name that starts at index i.
func unqualifiedName(tokens []token, i int) string {
	for i+2 < len(tokens) && tokens[i+1].is(".") && tokens[i+2].isName() {
		i += 2
	}
	return tokens[i].text
}

// numberType returns the type of a number literal.
func numberType(text string) string {
	if strings.Contains(text, ".") {
		return "double precision"
	}
	return "bigint"
}
