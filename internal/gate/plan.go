package gate

import (
	"maps"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/target"
)

// Transaction status bytes, and one for a pipeline that a Flush left open.
const (
	statusIdle         byte = 'I'
	statusTransaction  byte = 'T'
	statusFailed       byte = 'E'
	statusOpenPipeline byte = 'F'
)

// discardQuery drops all session state: settings, statements, cursors, temporary tables and locks.
const discardQuery = "DISCARD ALL"

// plan says what is sent around a batch and which answers are kept back.
type plan struct {
	// discards drops what another workspace left on the connection before anything else.
	discards bool
	// settings are set first; nil when they are in place.
	settings map[string]string
	// statusAfter asks for the position of the primary after the batch.
	statusAfter bool
	// inject are Close and Parse messages for the statements that the batch refers to.
	inject []byte
	// swallow is the number of answers to inject that are kept back.
	swallow int
	// parsing are the names that ParseComplete answers stand for, in order.
	parsing []string
	// isOpenPipeline is true when the batch ends in Flush; answers is then the number to expect.
	isOpenPipeline bool
	answers        int
}

// newPlan composes the plan of a batch for its connection.
func (b *batch) newPlan(leads bool) plan {
	p := plan{}
	if !b.pinned {
		p.discards = b.slot.enter(b.req.Workspace)
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

// scan notes the statements that the batch itself parses, and returns the type of its last message.
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

// scanParse closes a statement of the same name first, since parsing a name twice is an error.
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
	p.swallow++
}

func (p *plan) planSettings(b *batch, leads bool) {
	wanted := settingsMap(b.req.Settings)
	if leads && b.req.Access == api.ExecuteRequestAccessRead {
		wanted[readOnlySetting] = "on"
	}
	if !maps.Equal(wanted, b.slot.applied) {
		p.settings = wanted
	}
}

// planStatements injects the statements that the batch refers to and the connection lacks.
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
		p.swallow++
		injected = append(injected, statement.Name)
	}
	p.parsing = append(injected, p.parsing...)
}

func (p *plan) parses(name string) bool {
	for _, parsed := range p.parsing {
		if parsed == name {
			return true
		}
	}
	return false
}

// closeAll makes room on a connection that holds many statements.
func (p *plan) closeAll(s *slot) {
	for name := range s.prepared {
		p.inject, _ = (&pgproto3.Close{ObjectType: describeStatementObject, Name: name}).Encode(p.inject)
		p.swallow++
	}
	clear(s.prepared)
}

// encodePrefix returns the queries that put the session state in place.
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

// swallows reports whether an answer belongs to an injected message, and counts it.
func (p *plan) swallows(kind byte) bool {
	if p.swallow == 0 {
		return false
	}
	if kind == messageErrorResponse {
		p.swallow = 0
		return false
	}
	if kind != messageParseComplete && kind != messageCloseComplete {
		return false
	}
	p.swallow--
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
