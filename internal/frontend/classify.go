package frontend

import (
	"strings"

	"github.com/papayacove/papayacove/api"
)

// statementKind states how a statement is handled: forwarded, refused, or answered by the frontend.
type statementKind byte

const (
	// kindForward is a statement that runs on a target.
	kindForward statementKind = iota
	// kindRefused is a statement that the frontend refuses, for example because its effect is bound to one connection.
	kindRefused
	// kindSet and the kinds after it are answered by the frontend.
	kindSet
	kindReset
	kindDiscard
	kindDeallocate
	kindUnlisten
	kindSetConfig
	kindShow
	kindOutcome
	// kindEndLostBlock ends a transaction block that no longer exists on its target.
	kindEndLostBlock
)

// blockEffect states what a statement does to the transaction block.
type blockEffect byte

const (
	blockKept blockEffect = iota
	blockBegins
	blockEnds
)

// statement is the classification of one SQL statement.
type statement struct {
	kind   statementKind
	access api.ExecuteRequestAccess
	block  blockEffect
	// refusal is the reason of kindRefused; empty for the other kinds.
	refusal string
	// tokens are the first tokens of the statement, without comments and at most maxLeadingTokens.
	tokens []token
	// truncated is true when the statement has more tokens than are kept.
	truncated bool
	// isExplicitReadWrite is true for BEGIN ... READ WRITE.
	isExplicitReadWrite bool
}

// opensReadOnly reports whether the statement opens a read-only transaction block. isReadOnlySession
// is true when the transactions of the session are read-only by default.
func (s statement) opensReadOnly(isReadOnlySession bool) bool {
	isExplicit := s.access == api.ExecuteRequestAccessRead
	return s.block == blockBegins && (isExplicit || isReadOnlySession && !s.isExplicitReadWrite)
}

// neverWrites reports whether the statement cannot write even if it names a function that does. That holds for SHOW
// and for EXPLAIN without ANALYZE.
func (s statement) neverWrites() bool {
	return s.at(0).isWord("show") || s.at(0).isWord("explain") && s.access == api.ExecuteRequestAccessRead
}

// isLocal reports whether the frontend answers the statement itself.
func (s statement) isLocal() bool {
	return s.kind >= kindSet
}

// verb returns the leading keyword in lower case.
func (s statement) verb() string {
	return s.at(0).value
}

// at returns the token with index i, or an end token.
func (s statement) at(i int) token {
	if i >= len(s.tokens) {
		return token{kind: tokenEnd}
	}
	return s.tokens[i]
}

// query is the classification of a query text.
type query struct {
	statements []statement
	hints      hints
}

// access returns read when every statement may run on a replica, and write otherwise.
func (q query) access() api.ExecuteRequestAccess {
	for _, s := range q.statements {
		if s.access != api.ExecuteRequestAccessRead {
			return api.ExecuteRequestAccessWrite
		}
	}
	return api.ExecuteRequestAccessRead
}

// usesOperationKey reports whether the query uses an operation key, which it does when it may write.
// A SELECT may write, since it may call a function that does.
func (q query) usesOperationKey(isReadOnlySession bool) bool {
	for _, s := range q.statements {
		if s.kind == kindForward && !s.opensReadOnly(isReadOnlySession) && !s.neverWrites() {
			return true
		}
	}
	return false
}

// refusal returns why the query cannot run, or an empty string.
func (q query) refusal() string {
	local := 0
	for _, s := range q.statements {
		if s.kind == kindRefused {
			return s.refusal
		}
		if s.isLocal() {
			local++
		}
	}
	if local > 0 && local < len(q.statements) {
		return "SET and other statements that the proxy answers cannot share a query with statements that it passes on"
	}
	return ""
}

// isLocal reports whether the frontend answers the whole query itself.
func (q query) isLocal() bool {
	return len(q.statements) > 0 && q.statements[0].isLocal()
}

// endsBlock reports whether a statement of the query ends the transaction block.
func (q query) endsBlock() bool {
	for _, s := range q.statements {
		if s.block == blockEnds {
			return true
		}
	}
	return false
}

// classify splits a query text into statements and decides for each whether it is forwarded, refused
// or answered by the frontend, and which access it needs.
func classify(text string) query {
	var q query
	t := tokenizer{text: text}
	leading := true
	for {
		scan := scanStatement(&t)
		if leading {
			q.hints = parseHints(scan.hintComment)
		}
		if scan.misplacedHint || !leading && scan.hintComment != "" {
			q.hints.err = errMisplacedHint
		}
		leading = false
		if len(scan.tokens) > 0 {
			q.statements = append(q.statements, scan.statement())
		}
		if scan.isLast {
			return q
		}
	}
}

// statement returns the classification of a scanned statement.
func (s *statementScan) statement() statement {
	result := statement{
		access:    api.ExecuteRequestAccessWrite,
		tokens:    s.tokens,
		truncated: s.truncated,

		isExplicitReadWrite: s.readWrite,
	}
	result.refusal = refusalOf(result, s)
	if result.refusal != "" {
		result.kind = kindRefused
		return result
	}
	result.kind = kindOf(result, s)
	result.block = blockEffectOf(result)
	if result.kind == kindForward && isRead(result, s) {
		result.access = api.ExecuteRequestAccessRead
	}
	return result
}

func kindOf(s statement, scan *statementScan) statementKind {
	switch s.verb() {
	case "set":
		if isTransactionSet(s) {
			return kindForward
		}
		return kindSet
	case "reset":
		return kindReset
	case "discard":
		return kindDiscard
	case "deallocate":
		return kindDeallocate
	case "unlisten":
		return kindUnlisten
	case "show":
		if s.at(1).isWord(ownPrefix) && s.at(2).isSymbol(".") {
			return kindShow
		}
	case "select":
		if s.at(1).isWord("set_config") && !scan.setsConfigLocally() {
			return kindSetConfig
		}
		if s.at(1).isWord("papayacove_outcome") {
			return kindOutcome
		}
	}
	return kindForward
}

// isTransactionSet reports whether a SET applies to the current transaction and not to the session.
func isTransactionSet(s statement) bool {
	return s.at(1).isWord("local", "transaction", "constraints")
}

func blockEffectOf(s statement) blockEffect {
	if s.at(1).isWord("prepared") || s.opensNextBlock() {
		return blockKept
	}
	switch s.verb() {
	case "begin", "start":
		return blockBegins
	case "commit", "end", "abort":
		return blockEnds
	case "rollback":
		if isRollbackToSavepoint(s) {
			return blockKept
		}
		return blockEnds
	}
	return blockKept
}

// opensNextBlock reports whether a COMMIT or ROLLBACK has AND CHAIN, which opens the next block immediately.
func (s statement) opensNextBlock() bool {
	for i := 1; i+1 < len(s.tokens); i++ {
		if s.at(i).isWord("and") && s.at(i+1).isWord("chain") {
			return true
		}
	}
	return false
}

func isRollbackToSavepoint(s statement) bool {
	next := 1
	if s.at(next).isWord("work", "transaction") {
		next++
	}
	return s.at(next).isWord("to")
}

func isRead(s statement, scan *statementScan) bool {
	if scan.callsPrimaryFunction {
		return false
	}
	switch s.verb() {
	case "select", "table", "values":
		return !scan.locksRows && !scan.selectsInto
	case "with":
		return !scan.locksRows && !scan.selectsInto && !scan.modifies
	case "show":
		// Clients query these to find out whether they can write, so the primary has to answer.
		return !s.at(1).isWord("transaction_read_only", "in_hot_standby")
	case "explain":
		return !scan.analyzes
	case "begin", "start":
		return scan.readOnly
	}
	return s.at(0).isSymbol("(") && !scan.locksRows && !scan.selectsInto && !scan.modifies
}

// refusalOf returns why a statement cannot be supported, or an empty string. Most refused statements have an effect
// that stays with one connection, while the statements of a session run on changing connections.
func refusalOf(s statement, scan *statementScan) string {
	if scan.namesOperationTable {
		return "the table of operation keys belongs to papayacove; use SELECT papayacove_outcome('key')"
	}
	if scan.callsTargetControl {
		return "orders to a target are given by the failover only"
	}
	if scan.escapesName {
		return "names with Unicode escapes are not supported"
	}
	if scan.sessionFunction != "" {
		return scan.sessionFunction + " needs a connection of its own; use the transaction-level function"
	}
	switch s.verb() {
	case "set":
		if s.at(1).isWord("local") && s.at(2).isWord(ownPrefix) {
			return "SET LOCAL of a parameter of papayacove is not supported; use SET"
		}
	case "listen", "notify":
		return strings.ToUpper(s.verb()) + " is not supported: notifications need a connection of their own"
	case "unlisten":
		if !s.at(1).isSymbol("*") {
			return "UNLISTEN of a channel is not supported: no channel can be listened to"
		}
	case "prepare", "execute":
		return strings.ToUpper(s.verb()) + " in SQL is not supported; prepare through the extended protocol"
	case "copy":
		return "COPY is not supported"
	case "load":
		return "LOAD is not supported: it changes one connection only"
	case "declare":
		if scan.declaresWithHold {
			return "DECLARE ... WITH HOLD is not supported: the cursor would outlive its transaction"
		}
	case "create":
		if s.at(1).isWord("temp", "temporary") || s.at(1).isWord("local", "global") && s.at(2).isWord("temp", "temporary") {
			return "temporary objects are not supported: they belong to one connection"
		}
	case "select", "with":
		if scan.selectsIntoTemporary {
			return "temporary tables are not supported: they belong to one connection"
		}
	}
	if scan.hasUnsupportedSetConfig(s) {
		return "set_config is supported only as SELECT set_config('name', 'value', false) or with true as its last argument"
	}
	return ""
}
