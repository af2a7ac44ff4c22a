package frontend

import (
	"context"
	"errors"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/result"
)

const (
	objectStatement byte = 'S'
	objectPortal    byte = 'P'
	// rowLimitBytes is the length of the row limit at the end of Execute.
	rowLimitBytes = 4
)

// handleExtended processes a message of the extended protocol.
func (s *session) handleExtended(ctx context.Context, kind byte) error {
	if kind == 'S' {
		return s.handleSync(ctx)
	}
	if s.skipsToSync {
		s.discardLast()
		return nil
	}
	err := s.collect(kind)
	if err == nil && kind == 'H' {
		return s.handleFlush(ctx)
	}
	if err == nil {
		return nil
	}
	var e *result.Error
	if errors.As(err, &e) && e.Code == result.ProtocolViolation {
		return err
	}
	return s.refuseToSync(ctx, err)
}

// refuseToSync answers with an error and makes the session skip the messages up to the next Sync.
func (s *session) refuseToSync(ctx context.Context, err error) error {
	s.skipsToSync = true
	s.undoFrom(0)
	s.finishBatch()
	return s.refuse(ctx, err)
}

// undoFrom reverts the changes of the batch to the prepared statements, except for the first ones, which have been
// answered and become permanent. completed is the number of those.
func (s *session) undoFrom(completed int) {
	c := s.collected
	if c == nil {
		return
	}
	s.statements.undo(c.changes[min(completed, len(c.changes)):])
	c.changes = nil
}

// collect adds the message that was received last to the batch and rewrites the names of prepared statements in it.
func (s *session) collect(kind byte) error {
	c := s.collected
	if len(c.messages) > s.server.limits.messageBytes {
		return result.Errorf(result.MessageTooLarge, "a pipeline of more than %d bytes without Sync or Flush", s.server.limits.messageBytes)
	}
	var err error
	switch kind {
	case 'P':
		err = s.collectParse(c)
	case 'B':
		err = s.collectBind(c)
	case 'D':
		err = s.collectDescribe(c)
	case 'E':
		err = s.collectExecute(c)
	case 'C':
		err = s.collectClose(c)
	}
	if err == nil && c.hasLocal && (c.hasForward || s.status == StatusOpenPipeline) {
		err = result.Errorf(result.Unsupported,
			"SET and other statements that the proxy answers cannot share a pipeline with statements that it passes on")
	}
	return err
}

func (s *session) collectParse(c *collector) error {
	var message pgproto3.Parse
	if err := message.Decode(c.body()); err != nil {
		return malformed("Parse")
	}
	p, refused := prepare(message.Query, message.ParameterOIDs)
	if refused != nil {
		return refused
	}
	if s.block.isLost && p.block != blockEnds {
		return errInFailedBlock()
	}
	if message.Name != "" {
		p = p.named()
	}
	if err := s.statements.add(message.Name, p); err != nil {
		return err
	}
	c.changes = append(c.changes, statementChange{name: message.Name})
	if p.local != nil || s.block.isLost {
		c.addLocalStep(step{kind: 'P'})
		return nil
	}
	c.hasForward = true
	c.recordAccess(s.preparedAccess(p))
	if message.Name == "" {
		c.parsedUnnamed = true
		return nil
	}
	rest := c.body()[len(message.Name):]
	c.replaceLast('P', []byte(c.nameToParse(p)), rest)
	return nil
}

// preparedAccess returns the access that a prepared statement needs in this session, in which transactions may be
// read-only by default.
func (s *session) preparedAccess(p preparedStatement) api.ExecuteRequestAccess {
	if p.mayOpenReadOnly && s.settings.isReadOnly() {
		return api.ExecuteRequestAccessRead
	}
	return p.access
}

func (s *session) collectBind(c *collector) error {
	var message pgproto3.Bind
	if err := message.Decode(c.body()); err != nil {
		return malformed("Bind")
	}
	p, err := s.statements.get(message.PreparedStatement)
	if err != nil {
		return err
	}
	if s.block.isLost && p.block != blockEnds {
		return errInFailedBlock()
	}
	if answered := s.localStatement(p); answered != nil {
		if c.localPortals == nil {
			c.localPortals = make(map[string]*statement)
		}
		c.localPortals[message.DestinationPortal] = answered
		c.addLocalStep(step{kind: 'B'})
		return nil
	}
	delete(c.localPortals, message.DestinationPortal)
	p.access = s.preparedAccess(p)
	p.usesOperationKey = p.usesOperationKey && !(p.mayOpenReadOnly && s.settings.isReadOnly())
	if err := s.checkHintedKey(p.hints, p.usesOperationKey); err != nil {
		return err
	}
	c.addStatement(p)
	if message.PreparedStatement == "" && c.parsedUnnamed {
		return nil
	}
	p = p.named()
	c.requirePrepared(p)
	portal := message.DestinationPortal + "\x00"
	rest := c.body()[len(portal)+len(message.PreparedStatement):]
	c.replaceLast('B', []byte(portal), []byte(p.name), rest)
	return nil
}

// localStatement returns the statement that the frontend answers in place of p, or nil when p has to be forwarded.
// In a lost block that is always a statement of kindEndLostBlock.
func (s *session) localStatement(p preparedStatement) *statement {
	if s.block.isLost {
		return &statement{kind: kindEndLostBlock}
	}
	return p.local
}

func (s *session) collectDescribe(c *collector) error {
	object, name, ok := parseObjectName(c.body())
	if !ok {
		return malformed("Describe")
	}
	if object == objectPortal {
		return s.collectPortal(c, 'D', name)
	}
	p, err := s.statements.get(name)
	if err != nil {
		return err
	}
	if answered := s.localStatement(p); answered != nil {
		c.addLocalStep(step{kind: 'D', object: object, statement: answered})
		return nil
	}
	c.hasForward = true
	c.recordAccess(s.preparedAccess(p))
	if name == "" && c.parsedUnnamed {
		return nil
	}
	p = p.named()
	c.requirePrepared(p)
	c.replaceLast('D', []byte{object}, []byte(p.name), []byte{0})
	return nil
}

func (s *session) collectExecute(c *collector) error {
	var message pgproto3.Execute
	err := message.Decode(c.body())
	if err != nil || len(c.body()) != len(message.Portal)+1+rowLimitBytes {
		return malformed("Execute")
	}
	c.hasExecute = true
	return s.collectPortal(c, 'E', message.Portal)
}

// collectPortal adds a Describe or Execute of a portal.
func (s *session) collectPortal(c *collector, kind byte, portal string) error {
	if answered := c.localPortals[portal]; answered != nil {
		c.addLocalStep(step{kind: kind, object: objectPortal, statement: answered})
		return nil
	}
	if s.block.isLost {
		return errInFailedBlock()
	}
	c.hasForward = true
	c.hasPortal = true
	return nil
}

func (s *session) collectClose(c *collector) error {
	object, name, ok := parseObjectName(c.body())
	if !ok {
		return malformed("Close")
	}
	c.addStep(step{kind: 'C'})
	if object == objectPortal {
		isOnTarget := c.localPortals[name] == nil && s.status != StatusIdle && !s.block.isLost
		c.hasForward = c.hasForward || isOnTarget
		c.changes = append(c.changes, statementChange{isPortal: true})
		return nil
	}
	c.changes = append(c.changes, statementChange{name: name, closed: s.statements.remove(name)})
	if name != "" {
		c.replaceLast('C', []byte{object}, []byte(closedName), []byte{0})
	}
	return nil
}

// parseObjectName parses the body of Describe or Close. It returns false for a malformed body.
func parseObjectName(body []byte) (object byte, name string, ok bool) {
	if len(body) < 2 {
		return 0, "", false
	}
	name, rest, ok := cutString(body[1:])
	isKnown := body[0] == objectStatement || body[0] == objectPortal
	return body[0], name, ok && isKnown && len(rest) == 0
}

func malformed(message string) *result.Error {
	return result.Errorf(result.ProtocolViolation, "malformed %s", message)
}

// handleSync ends a batch. Each Sync is answered with exactly one ReadyForQuery.
func (s *session) handleSync(ctx context.Context) error {
	defer s.finishBatch()
	isSkipped := s.skipsToSync
	s.skipsToSync = false
	if isSkipped && s.status != StatusOpenPipeline {
		return s.write(s.readyForQuery(nil))
	}
	if !s.collected.hasForward && s.status != StatusOpenPipeline {
		if err := s.answerSteps(ctx); err != nil {
			return err
		}
		s.skipsToSync = false
		return s.write(s.readyForQuery(nil))
	}
	failed, err := s.forward(ctx)
	if err != nil || !failed {
		return err
	}
	return s.write(s.readyForQuery(nil))
}

// answerSteps answers a batch of which nothing has to be forwarded. When a message of the batch
// fails, no SET of the batch has an effect.
func (s *session) answerSteps(ctx context.Context) error {
	saved := s.settings
	completed := 0
	var out []byte
	for _, step := range s.collected.steps {
		answered, err := s.answerStep(ctx, out, step)
		if err != nil {
			s.settings = saved
			s.undoFrom(completed)
			if err := s.write(out); err != nil {
				return err
			}
			return s.refuseToSync(ctx, err)
		}
		out = answered
		if step.kind == 'P' || step.kind == 'C' {
			completed++
		}
	}
	return s.write(out)
}

// answerStep appends the answer to one message.
func (s *session) answerStep(ctx context.Context, out []byte, step step) ([]byte, error) {
	switch step.kind {
	case 'P':
		return appendMessage(out, &pgproto3.ParseComplete{}), nil
	case 'B':
		return appendMessage(out, &pgproto3.BindComplete{}), nil
	case 'C':
		return appendMessage(out, &pgproto3.CloseComplete{}), nil
	case 'D':
		if step.object == objectStatement {
			out = appendMessage(out, &pgproto3.ParameterDescription{})
		}
		return appendColumn(out, step.statement.resultColumn()), nil
	}
	a, err := s.answer(ctx, step.statement)
	if err != nil {
		return out, err
	}
	return a.appendResult(out), nil
}
