package gate

import (
	"maps"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/target"
)

// Transaction status bytes of ReadyForQuery, and statusOpenPipeline for a pipeline that a Flush left open, which the
// PostgreSQL protocol has no status for.
const (
	statusIdle         byte = 'I'
	statusTransaction  byte = 'T'
	statusFailed       byte = 'E'
	statusOpenPipeline byte = 'F'
)

// discardQuery resets all session state: settings, prepared statements, cursors, temporary tables and locks.
const discardQuery = "DISCARD ALL"

// plan describes the messages that are sent before and after a batch, and which answers are not relayed.
type plan struct {
	// discards is true when session state of another workspace must be discarded first.
	discards bool
	// settings are applied before the batch; nil when the connection has them already.
	settings map[string]string
	// statusAfter is true when the status of the primary, with its position, is queried after the batch.
	statusAfter bool
	// inject holds Close and Parse messages for the prepared statements that the batch uses.
	inject []byte
	// suppressCount is the number of answers to inject that are still to come and are not relayed.
	suppressCount int
	// parsing holds the names of the statements that the coming ParseComplete answers refer to, in order.
	parsing []string
	// isOpenPipeline is true when the batch ends in Flush; answers is then the number of answers to read.
	isOpenPipeline bool
	answers        int
}

// newPlan returns the plan of a batch for its connection, and updates the recorded state of the connection.
func (b *batch) newPlan(leads bool) plan {
	p := plan{}
	if !b.pinned {
		p.discards = b.slot.switchWorkspace(b.req.Workspace)
	}
	last := p.scan(b.req.Messages, b.slot)
	p.isOpenPipeline = last == messageFlush
	p.statusAfter = leads && !p.isOpenPipeline && (!b.pinned || b.mayCommit())
	if !b.pinned {
		p.planSettings(b, leads)
	}
	p.planStatements(b.req.Prepared, b.slot)
	return p
}

// scan records the statements that the batch itself parses and the number of answers to expect, and returns the type
// of its last message.
func (p *plan) scan(messages []byte, s *slot) byte {
	var last byte
	for {
		kind, body, rest, ok := nextMessage(messages)
		if !ok {
			return last
		}
		last = kind
		messages = rest
		switch kind {
		case messageParse:
			p.scanParse(cString(body), s)
			p.answers++
		case messageBind, messageClose, messageDescribe, messageExecute:
			p.answers++
		}
	}
}

// scanParse records a Parse message of the batch. It injects a Close when the connection has a statement of that name,
// since parsing an existing name is an error.
func (p *plan) scanParse(name string, s *slot) {
	p.parsing = append(p.parsing, name)
	if name == "" {
		return
	}
	if _, exists := s.prepared[name]; !exists {
		return
	}
	delete(s.prepared, name)
	p.inject, _ = (&pgproto3.Close{ObjectType: describeStatementObject, Name: name}).Encode(p.inject)
	p.suppressCount++
}

// planSettings plans the settings of the session, and on the primary readOnlySetting for a read.
func (p *plan) planSettings(b *batch, leads bool) {
	wanted := settingsMap(b.req.Settings)
	if leads && b.req.Access == api.ExecuteRequestAccessRead {
		wanted[readOnlySetting] = "on"
	}
	if !maps.Equal(wanted, b.slot.appliedSettings) {
		p.settings = wanted
	}
}

// planStatements injects the prepared statements that the batch uses and the connection lacks. It closes all others
// when the connection would hold more than preparedLimit.
func (p *plan) planStatements(statements []api.PreparedStatement, s *slot) {
	if len(s.prepared)+len(statements) > preparedLimit {
		p.closeAll(s)
	}
	var injected []string
	for _, statement := range statements {
		if _, exists := s.prepared[statement.Name]; exists || p.parses(statement.Name) {
			continue
		}
		parse := pgproto3.Parse{Name: statement.Name, Query: statement.Query, ParameterOIDs: statement.ParameterOids}
		p.inject, _ = parse.Encode(p.inject)
		p.suppressCount++
		injected = append(injected, statement.Name)
	}
	p.parsing = append(injected, p.parsing...)
}

// parses reports whether the batch itself parses a statement of that name.
func (p *plan) parses(name string) bool {
	for _, parsed := range p.parsing {
		if parsed == name {
			return true
		}
	}
	return false
}

// closeAll injects Close messages for all statements that the connection holds.
func (p *plan) closeAll(s *slot) {
	for name := range s.prepared {
		p.inject, _ = (&pgproto3.Close{ObjectType: describeStatementObject, Name: name}).Encode(p.inject)
		p.suppressCount++
	}
	clear(s.prepared)
}

// encodePrefix returns the queries that prepare the session state for the batch.
func (p *plan) encodePrefix() []byte {
	var out []byte
	if p.discards {
		out = appendQuery(out, discardQuery)
	}
	if p.settings != nil {
		out = appendQuery(out, settingsQuery(p.settings))
	}
	return out
}

// encode returns all messages of the plan around those of the batch.
func (p *plan) encode(messages []byte) []byte {
	out := p.encodePrefix()
	out = append(out, p.inject...)
	out = append(out, messages...)
	if p.statusAfter {
		out = appendQuery(out, target.StatusQuery)
	}
	return out
}

// suppresses reports whether an answer belongs to an injected message and is not relayed, and counts it. After an
// error, the target skips the messages up to Sync, so no further answers to injected messages come.
func (p *plan) suppresses(kind byte) bool {
	if p.suppressCount == 0 {
		return false
	}
	if kind == messageErrorResponse {
		p.suppressCount = 0
		return false
	}
	if kind != messageParseComplete && kind != messageCloseComplete {
		return false
	}
	p.suppressCount--
	return true
}

// endsAnswer reports whether a message is the last one that answers one frontend message.
func endsAnswer(kind byte) bool {
	switch kind {
	case messageParseComplete, messageBindComplete, messageCloseComplete, messageNoData,
		messageRowDescription, messageCommandComplete, messageEmptyQuery, messagePortalSuspended:
		return true
	default:
		return false
	}
}
