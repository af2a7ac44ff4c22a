package sqltext

import (
	"strconv"
	"strings"
)

// Kind is the class of a statement, which determines how it is executed.
type Kind int

// The kinds of statements.
const (
	// KindUnsupported is a statement that the stand-in rejects.
	KindUnsupported Kind = iota
	// KindRead returns rows and changes nothing.
	KindRead
	// KindWrite changes rows.
	KindWrite
	// KindSchema changes tables or indexes.
	KindSchema
	KindBegin
	KindCommit
	KindRollback
	// KindSavepoint is SAVEPOINT, RELEASE or ROLLBACK TO.
	KindSavepoint
	KindSet
	KindShow
	// KindReset is RESET, DISCARD or DEALLOCATE.
	KindReset
	// KindStatus is the query for the status of the target.
	KindStatus
	// KindNoOperation is accepted and does nothing.
	KindNoOperation
)

// Statement is the result of parsing one statement.
type Statement struct {
	Kind Kind
	// Tag is the first part of the command tag, such as INSERT.
	Tag string
	// SQL is the statement in the dialect of SQLite.
	SQL string
	// ReadOnly is set by BEGIN READ ONLY and SET TRANSACTION READ ONLY.
	ReadOnly bool
	// LocksRows is true for SELECT with FOR UPDATE or another row lock.
	LocksRows bool
	// ReturnsRows is true for reads and for writes with RETURNING.
	ReturnsRows bool
	// RollbackTo is true for ROLLBACK TO SAVEPOINT.
	RollbackTo bool
	// Setting is the name of a setting for KindSet, KindShow and KindReset, or the operand of
	// DISCARD and DEALLOCATE. Value is the new value for KindSet.
	Setting string
	Value   string
	// Local is true for SET LOCAL.
	Local bool
	// Tables are the names of the tables that the statement refers to.
	Tables []string
	// Series are the names of the columns that generate_series yields.
	Series []string
	// Parameters holds a hint for each parameter; the first one is for $1.
	Parameters []Hint
	// Columns holds a hint for each result column; it is nil if the select list has a star.
	Columns []Hint
}

// kinds maps the first word of a statement to its kind.
var kinds = map[string]Kind{
	"select": KindRead, "values": KindRead, "with": KindRead, "table": KindRead,
	"insert": KindWrite, "update": KindWrite, "delete": KindWrite, "truncate": KindWrite,
	"create": KindSchema, "drop": KindSchema, "alter": KindSchema,
	"begin": KindBegin, "start": KindBegin,
	"commit": KindCommit, "end": KindCommit,
	"rollback": KindRollback, "abort": KindRollback,
	"savepoint": KindSavepoint, "release": KindSavepoint,
	"set": KindSet, "show": KindShow, "reset": KindReset, "discard": KindReset,
	"deallocate": KindReset,
	"lock":       KindNoOperation, "analyze": KindNoOperation, "vacuum": KindNoOperation,
	"comment": KindNoOperation, "grant": KindNoOperation,
}

// StatusFunction is the name of the function that returns the status of the target.
const StatusFunction = "target_status"

// Parse parses one statement without a semicolon. It accepts any text; an empty one has KindNoOperation.
func Parse(sql string) Statement {
	tokens := tokenize(sql)
	if len(tokens) == 0 {
		return Statement{Kind: KindNoOperation}
	}
	s := Statement{Kind: kinds[tokens[0].text], Tag: strings.ToUpper(tokens[0].text)}
	switch s.Kind {
	case KindRead, KindWrite, KindSchema:
		parseData(&s, sql, tokens)
	case KindBegin:
		s.Tag = "BEGIN"
		s.ReadOnly = hasSequence(tokens, "read", "only")
	case KindCommit:
		s.Tag = "COMMIT"
	case KindRollback:
		parseRollback(&s, sql, tokens)
	case KindSavepoint:
		s.SQL = sql
	case KindSet:
		parseSet(&s, sql, tokens)
	case KindShow, KindReset:
		s.Setting = objectName(tokens[1:])
	}
	return s
}

func parseData(s *Statement, sql string, tokens []token) {
	s.LocksRows = s.Kind == KindRead && lockClauseStart(tokens) >= 0
	if word := firstDataChange(tokens); s.Kind == KindRead && word != "" {
		s.Kind = KindWrite
	}
	if tokens[0].text == "with" {
		s.Tag = withTag(tokens)
	}
	if s.Kind == KindSchema && len(tokens) > 1 {
		s.Tag = schemaTag(tokens)
	}
	if s.Kind == KindRead && hasSequence(tokens, StatusFunction, "(") {
		s.Kind = KindStatus
	}
	s.ReturnsRows = s.Kind == KindRead || indexOf(tokens, "returning") >= 0
	s.Tables = tableNames(tokens)
	s.Parameters = parameterHints(tokens)
	s.Columns = columnHints(tokens)
	s.SQL, s.Series = translate(sql, tokens, s.Kind)
}

// firstDataChange returns the first keyword that makes a WITH query a write, or an empty string.
func firstDataChange(tokens []token) string {
	if tokens[0].text != "with" {
		return ""
	}
	for _, t := range tokens {
		if t.is("insert") || t.is("update") || t.is("delete") {
			return t.text
		}
	}
	return ""
}

// withTag returns the command tag of the main statement of a WITH query.
func withTag(tokens []token) string {
	depth := 0
	for _, t := range tokens {
		depth += depthChange(t)
		if depth == 0 && (t.is("select") || t.is("insert") || t.is("update") || t.is("delete")) {
			return strings.ToUpper(t.text)
		}
	}
	return "SELECT"
}

// schemaTag returns the command tag of a schema change, such as CREATE TABLE.
func schemaTag(tokens []token) string {
	object := tokens[1].text
	for _, t := range tokens[1:] {
		if t.is("table") || t.is("index") || t.is("view") || t.is("sequence") || t.is("extension") {
			object = t.text
			break
		}
	}
	return strings.ToUpper(tokens[0].text + " " + object)
}

func parseRollback(s *Statement, sql string, tokens []token) {
	s.Tag = "ROLLBACK"
	if indexOf(tokens, "to") < 0 {
		return
	}
	s.Kind = KindSavepoint
	s.RollbackTo = true
	s.SQL = sql
}

func parseSet(s *Statement, sql string, tokens []token) {
	rest := tokens[1:]
	if len(rest) > 0 && (rest[0].is("session") || rest[0].is("local")) {
		s.Local = rest[0].is("local")
		rest = rest[1:]
	}
	if len(rest) > 0 && (rest[0].is("transaction") || rest[0].is("characteristics")) {
		s.Setting = "transaction"
		if rest[0].is("characteristics") {
			s.Setting = "default_transaction_read_only"
			s.Value = onOff(hasSequence(rest, "read", "only"))
		}
		s.ReadOnly = hasSequence(rest, "read", "only")
		return
	}
	for i, t := range rest {
		if !t.is("=") && !t.is("to") {
			continue
		}
		s.Setting = settingName(rest[:i])
		s.Value = settingValue(sql, rest[i+1:])
		return
	}
	s.Setting = settingName(rest)
}

// objectName returns the name of a setting or a prepared statement.
func objectName(tokens []token) string {
	if len(tokens) > 1 && tokens[0].is("prepare") {
		tokens = tokens[1:]
	}
	return settingName(tokens)
}

func settingName(tokens []token) string {
	var name strings.Builder
	for _, t := range tokens {
		name.WriteString(t.text)
	}
	return strings.ToLower(name.String())
}

func settingValue(sql string, tokens []token) string {
	if len(tokens) == 0 {
		return ""
	}
	if len(tokens) == 1 && tokens[0].kind == kindString {
		return unquote(tokens[0].text, "'")
	}
	return strings.Trim(sql[tokens[0].start:tokens[len(tokens)-1].end], `"`)
}

func onOff(on bool) string {
	if on {
		return "on"
	}
	return "off"
}

// tableNames returns the names that follow FROM, JOIN, INTO, UPDATE and TABLE.
func tableNames(tokens []token) []string {
	var names []string
	for i, t := range tokens {
		if !isTableKeyword(t) {
			continue
		}
		names = append(names, namesAfter(tokens[i+1:])...)
	}
	return names
}

func isTableKeyword(t token) bool {
	switch t.text {
	case "from", "join", "into", "update", "table", "truncate":
		return t.kind == kindWord
	default:
		return false
	}
}

// namesAfter returns the comma-separated table names at the start of tokens, without schemas and aliases.
func namesAfter(tokens []token) []string {
	var names []string
	for i := 0; i < len(tokens); i++ {
		t := tokens[i]
		switch {
		case t.is("only") || t.is("table") || t.is("if") || t.is("not") || t.is("exists"):
			continue
		case t.isName() && i+2 < len(tokens) && tokens[i+1].is("."):
			i += 2
			names = append(names, tokens[i].text)
		case t.isName():
			names = append(names, t.text)
		default:
			return names
		}
		comma := commaAfterAlias(tokens, i+1)
		if comma < 0 {
			return names
		}
		i = comma
	}
	return names
}

// commaAfterAlias returns the index of a comma that follows an optional alias, or -1.
func commaAfterAlias(tokens []token, i int) int {
	if i < len(tokens) && tokens[i].is("as") {
		i++
	}
	if i+1 < len(tokens) && tokens[i].isName() && tokens[i+1].is(",") {
		i++
	}
	if i < len(tokens) && tokens[i].is(",") {
		return i
	}
	return -1
}

// indexOf returns the index of the first token that is word, or -1.
func indexOf(tokens []token, word string) int {
	for i, t := range tokens {
		if t.is(word) {
			return i
		}
	}
	return -1
}

// hasSequence reports whether the words occur consecutively in tokens.
func hasSequence(tokens []token, words ...string) bool {
	return indexOfSequence(tokens, words...) >= 0
}

// indexOfSequence returns the index of the first consecutive occurrence of the words, or -1.
func indexOfSequence(tokens []token, words ...string) int {
	for i := 0; i+len(words) <= len(tokens); i++ {
		matched := true
		for j, word := range words {
			matched = matched && tokens[i+j].is(word)
		}
		if matched {
			return i
		}
	}
	return -1
}

// lockClauseStart returns the index of FOR UPDATE or another row-locking clause, or -1.
func lockClauseStart(tokens []token) int {
	for i := range tokens {
		if startsLockClause(tokens, i) {
			return i
		}
	}
	return -1
}

func startsLockClause(tokens []token, i int) bool {
	if i+1 >= len(tokens) || !tokens[i].is("for") {
		return false
	}
	next := tokens[i+1]
	return next.is("update") || next.is("share") || next.is("no") || next.is("key")
}

// lockClauseEnd returns the index after the lock clause that starts at i.
func lockClauseEnd(tokens []token, i int) int {
	for end := i + 2; end < len(tokens); end++ {
		if tokens[end].is(")") || tokens[end].is("limit") || tokens[end].is("offset") {
			return end
		}
	}
	return len(tokens)
}

// depthChange returns how the token changes the nesting of parentheses.
func depthChange(t token) int {
	switch {
	case t.is("("):
		return 1
	case t.is(")"):
		return -1
	default:
		return 0
	}
}

// parameterNumber returns the number of a parameter token, counted from 1, or 1 if the number is invalid.
func parameterNumber(t token) int {
	n, err := strconv.Atoi(t.text)
	if err != nil || n < 1 || n > maxParameters {
		return 1
	}
	return n
}

// maxParameters is the maximum number of parameters of a statement.
const maxParameters = 65535
