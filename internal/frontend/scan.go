package frontend

import "strings"

// maxLeadingTokens is the number of tokens of a statement that are kept.
const maxLeadingTokens = 48

// expectedTokens is the number of tokens for which memory is taken at once.
const expectedTokens = 16

// statementScan collects what classification needs from the tokens of one statement.
type statementScan struct {
	tokens    []token
	truncated bool
	// hintComment is the comment before the first token that carries options; empty for none.
	hintComment string
	// misplacedHint is true for such a comment in another place.
	misplacedHint bool
	// last is true when the text ends with this statement.
	last bool

	modifies             bool
	locksRows            bool
	selectsInto          bool
	selectsIntoTemporary bool
	analyzes             bool
	readOnly             bool
	readWrite            bool
	holds                bool
	writesInFunction     bool
	// sessionFunction names a function whose effect stays with one connection.
	sessionFunction string
	setConfigCalls  int
	// namesLedger is true when the text names the table of operation keys; escapesName when it
	// writes a name with Unicode escapes, which could hide one.
	namesLedger bool
	escapesName bool
	// ordersTarget is true for a call of a function that only the failover may use.
	ordersTarget bool
	// localConfigCalls counts calls of set_config whose last argument is true.
	localConfigCalls int
	depth            int
	// atomicDepth counts the open BEGIN ATOMIC and CASE of a function body.
	atomicDepth int
	// setConfigDepth is the depth inside the open call of set_config, or 0.
	setConfigDepth int
}

// writeFunctions need the primary although they are called in a SELECT.
var writeFunctions = map[string]bool{
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

// sessionFunctions have an effect that stays with one connection.
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

// targetOrders are the functions by which the failover directs a target.
var targetOrders = map[string]bool{
	"target_fence":   true,
	"target_promote": true,
	"target_follow":  true,
}

// scanStatement reads the tokens up to the next semicolon or the end of the text.
func scanStatement(t *tokenizer) *statementScan {
	scan := &statementScan{tokens: make([]token, 0, expectedTokens)}
	var previous, beforePrevious token
	for {
		current := t.next()
		switch {
		case current.kind == tokenEnd:
			scan.last = true
			return scan
		case current.kind == tokenComment:
			scan.comment(current)
			continue
		case current.isSymbol(";") && scan.depth <= 0 && scan.atomicDepth == 0:
			return scan
		}
		scan.add(current, previous, beforePrevious)
		beforePrevious, previous = previous, current
	}
}

func (s *statementScan) comment(t token) {
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

// ledgerName is the table that holds the operation keys of all workspaces of a group.
const ledgerName = "papayacove_operation"

// addName looks for the ledger in names, and in strings since those may be run as SQL.
func (s *statementScan) addName(current, previous, beforePrevious token) {
	switch current.kind {
	case tokenWord, tokenQuotedIdentifier, tokenString:
		s.namesLedger = s.namesLedger || strings.Contains(strings.ToLower(current.value), ledgerName)
	}
	isEscaped := beforePrevious.isWord("u") && previous.isSymbol("&") &&
		beforePrevious.end == previous.start && previous.end == current.start
	if isEscaped && current.kind == tokenQuotedIdentifier {
		s.escapesName = true
	}
}

func (s *statementScan) addWord(current, previous token) {
	s.followBody(current, previous)
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
		s.holds = s.holds || previous.isWord("with")
	}
	if previous.isWord("for") && current.isWord("update", "share", "no", "key") {
		s.locksRows = true
	}
}

// followBody finds the end of a function body in SQL, whose semicolons end no statement.
func (s *statementScan) followBody(current, previous token) {
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
	if writeFunctions[name] {
		s.writesInFunction = true
	}
	if sessionFunctions[name] {
		s.sessionFunction = name
	}
	if targetOrders[name] {
		s.ordersTarget = true
	}
	if name == "set_config" {
		s.setConfigCalls++
		s.setConfigDepth = s.depth
	}
}

// setsConfigLocally reports whether every call of set_config ends with its transaction.
func (s *statementScan) setsConfigLocally() bool {
	return s.setConfigCalls > 0 && s.localConfigCalls >= s.setConfigCalls
}

// setsConfigElsewhere reports calls of set_config that the frontend cannot follow.
func (s *statementScan) setsConfigElsewhere(parsed statement) bool {
	if s.setConfigCalls == 0 || s.setsConfigLocally() {
		return false
	}
	isLone := s.setConfigCalls == 1 && parsed.verb() == "select" && parsed.at(1).isWord("set_config")
	return !isLone || parsed.truncated
}
