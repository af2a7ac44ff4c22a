package frontend

import "strings"

// maxLeadingTokens is the largest number of tokens that are kept of a statement.
const maxLeadingTokens = 48

// initialTokenCapacity is the number of tokens for which memory is allocated when a scan begins.
const initialTokenCapacity = 16

// statementScan accumulates the properties of one statement that its classification depends on.
type statementScan struct {
	tokens    []token
	truncated bool
	// hintComment is the comment with options before the first token; empty for none.
	hintComment string
	// misplacedHint is true when a comment with options stands in another place.
	misplacedHint bool
	// isLast is true when the text ends with this statement.
	isLast bool

	// modifies is true when the statement contains INSERT, UPDATE, DELETE or MERGE.
	modifies bool
	// locksRows is true for SELECT ... FOR UPDATE and the other row locks.
	locksRows            bool
	selectsInto          bool
	selectsIntoTemporary bool
	// analyzes is true when the statement contains ANALYZE.
	analyzes bool
	// readOnly and readWrite are true when the statement contains READ ONLY or READ WRITE.
	readOnly         bool
	readWrite        bool
	declaresWithHold bool
	// callsPrimaryFunction is true for a call of one of primaryFunctions.
	callsPrimaryFunction bool
	// sessionFunction is the name of a called function whose effect is bound to one connection; empty for none.
	sessionFunction string
	setConfigCalls  int
	// namesOperationTable is true when the text contains the name of the table of operation keys.
	// escapesName is true when it writes an identifier with Unicode escapes, which could hide that name.
	namesOperationTable bool
	escapesName         bool
	// callsTargetControl is true for a call of a function that only the failover may use.
	callsTargetControl bool
	// localConfigCalls counts calls of set_config whose last argument is true.
	localConfigCalls int
	// depth is the number of open parentheses.
	depth int
	// atomicDepth is the number of open BEGIN ATOMIC and CASE of a function body in SQL.
	atomicDepth int
	// setConfigDepth is the depth of the arguments of the open call of set_config, or 0.
	setConfigDepth int
}

// primaryFunctions are the functions that need the primary even when they are called in a SELECT: they write, or a
// replica fails to run them or returns another result.
var primaryFunctions = map[string]bool{
	"nextval":                          true,
	"setval":                           true,
	"pg_logical_emit_message":          true,
	"txid_current":                     true,
	"pg_advisory_xact_lock":            true,
	"pg_advisory_xact_lock_shared":     true,
	"pg_try_advisory_xact_lock":        true,
	"pg_try_advisory_xact_lock_shared": true,
	"pg_current_wal_lsn":               true,
	"pg_current_wal_insert_lsn":        true,
	"pg_current_xact_id":               true,
	"pg_is_in_recovery":                true,
	"lo_create":                        true,
	"lo_creat":                         true,
	"lo_import":                        true,
	"lo_unlink":                        true,
	"lo_put":                           true,
	"lo_from_bytea":                    true,
}

// sessionFunctions are the functions whose effect is bound to one connection.
var sessionFunctions = map[string]bool{
	"pg_advisory_lock":            true,
	"pg_advisory_lock_shared":     true,
	"pg_try_advisory_lock":        true,
	"pg_try_advisory_lock_shared": true,
	"pg_advisory_unlock":          true,
	"pg_advisory_unlock_shared":   true,
	"pg_advisory_unlock_all":      true,
	"pg_notify":                   true,
	"currval":                     true,
	"lastval":                     true,
}

// targetControlFunctions are the functions with which the failover controls a target.
var targetControlFunctions = map[string]bool{
	"target_fence":   true,
	"target_promote": true,
	"target_follow":  true,
}

// scanStatement reads the tokens up to the semicolon that ends the statement, or up to the end of the text.
func scanStatement(t *tokenizer) *statementScan {
	scan := &statementScan{tokens: make([]token, 0, initialTokenCapacity)}
	var previous, beforePrevious token
	for {
		current := t.next()
		switch {
		case current.kind == tokenEnd:
			scan.isLast = true
			return scan
		case current.kind == tokenComment:
			scan.addComment(current)
			continue
		case current.isSymbol(";") && scan.depth <= 0 && scan.atomicDepth == 0:
			return scan
		}
		scan.add(current, previous, beforePrevious)
		beforePrevious, previous = previous, current
	}
}

func (s *statementScan) addComment(t token) {
	if !isHintComment(t.value) {
		return
	}
	if len(s.tokens) > 0 || s.hintComment != "" {
		s.misplacedHint = true
		return
	}
	s.hintComment = t.value
}

func (s *statementScan) add(current, previous, beforePrevious token) {
	if len(s.tokens) < maxLeadingTokens {
		s.tokens = append(s.tokens, current)
	} else {
		s.truncated = true
	}
	s.addName(current, previous, beforePrevious)
	switch current.kind {
	case tokenWord:
		s.addWord(current, previous)
	case tokenSymbol:
		s.addSymbol(current, previous, beforePrevious)
	}
}

// operationTableName is the table with the operation keys of all workspaces of a group.
const operationTableName = "papayacove_operation"

// addName searches for the table of operation keys in identifiers, and also in strings, because a statement may run
// a string as SQL.
func (s *statementScan) addName(current, previous, beforePrevious token) {
	switch current.kind {
	case tokenWord, tokenQuotedIdentifier, tokenString:
		s.namesOperationTable = s.namesOperationTable || strings.Contains(strings.ToLower(current.value), operationTableName)
	}
	isEscaped := beforePrevious.isWord("u") && previous.isSymbol("&") &&
		beforePrevious.end == previous.start && previous.end == current.start
	if isEscaped && current.kind == tokenQuotedIdentifier {
		s.escapesName = true
	}
}

func (s *statementScan) addWord(current, previous token) {
	s.trackFunctionBody(current, previous)
	switch current.value {
	case "insert", "update", "delete", "merge":
		s.modifies = true
	case "into":
		s.selectsInto = true
	case "temp", "temporary":
		s.selectsIntoTemporary = s.selectsIntoTemporary || previous.isWord("into", "local", "global")
	case "analyze", "analyse":
		s.analyzes = true
	case "only":
		s.readOnly = s.readOnly || previous.isWord("read")
	case "write":
		s.readWrite = s.readWrite || previous.isWord("read")
	case "hold":
		s.declaresWithHold = s.declaresWithHold || previous.isWord("with")
	}
	if previous.isWord("for") && current.isWord("update", "share", "no", "key") {
		s.locksRows = true
	}
}

// trackFunctionBody tracks whether the scan is inside a function body in SQL, whose semicolons do not end the
// statement.
func (s *statementScan) trackFunctionBody(current, previous token) {
	isCreate := s.tokens[0].isWord("create")
	switch {
	case isCreate && current.isWord("atomic") && previous.isWord("begin"):
		s.atomicDepth++
	case s.atomicDepth > 0 && current.isWord("case"):
		s.atomicDepth++
	case s.atomicDepth > 0 && current.isWord("end"):
		s.atomicDepth--
	}
}

func (s *statementScan) addSymbol(current, previous, beforePrevious token) {
	switch current.value {
	case "(":
		s.depth++
		if previous.kind == tokenWord || previous.kind == tokenQuotedIdentifier {
			s.addCall(strings.ToLower(previous.value))
		}
	case ")":
		if s.setConfigDepth == s.depth && previous.isWord("true") && beforePrevious.isSymbol(",") {
			s.localConfigCalls++
		}
		if s.setConfigDepth == s.depth {
			s.setConfigDepth = 0
		}
		s.depth--
	}
}

func (s *statementScan) addCall(name string) {
	if primaryFunctions[name] {
		s.callsPrimaryFunction = true
	}
	if sessionFunctions[name] {
		s.sessionFunction = name
	}
	if targetControlFunctions[name] {
		s.callsTargetControl = true
	}
	if name == "set_config" {
		s.setConfigCalls++
		s.setConfigDepth = s.depth
	}
}

// setsConfigLocally reports whether there are calls of set_config and each applies only to the current transaction.
func (s *statementScan) setsConfigLocally() bool {
	return s.setConfigCalls > 0 && s.localConfigCalls >= s.setConfigCalls
}

// hasUnsupportedSetConfig reports whether the statement changes settings of the session by set_config in a form that
// the frontend does not parse.
func (s *statementScan) hasUnsupportedSetConfig(parsed statement) bool {
	if s.setConfigCalls == 0 || s.setsConfigLocally() {
		return false
	}
	isLone := s.setConfigCalls == 1 && parsed.verb() == "select" && parsed.at(1).isWord("set_config")
	return !isLone || parsed.truncated
}
