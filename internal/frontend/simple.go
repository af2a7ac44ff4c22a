package frontend

import (
	"bytes"
	"context"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/result"
)

// handleQuery processes a Query message, which is answered with its own ReadyForQuery.
func (s *session) handleQuery(ctx context.Context) error {
	if s.skipsToSync {
		s.discardLast()
		return nil
	}
	defer s.finishBatch()
	text, ok := queryText(s.collected.body())
	if !ok {
		return result.Errorf(result.ProtocolViolation, "malformed Query")
	}
	s.statements.unnamed = nil
	q := classify(text)
	if err := s.checkQuery(q); err != nil {
		return s.refuseQuery(ctx, err)
	}
	if s.block.isLost {
		return s.endLostBlock(ctx, q)
	}
	if q.isLocal() {
		return s.answerQuery(ctx, q)
	}
	s.addQuery(q)
	failed, err := s.forward(ctx)
	if err != nil || !failed {
		return err
	}
	return s.write(s.readyForQuery(nil))
}

// queryText returns the SQL text of a Query message, and false when the message is malformed.
func queryText(body []byte) (string, bool) {
	text, rest, ok := cutString(body)
	return text, ok && len(rest) == 0
}

// cutString splits body after its first zero byte and returns the text before that byte.
func cutString(body []byte) (text string, rest []byte, ok bool) {
	i := bytes.IndexByte(body, 0)
	if i < 0 {
		return "", nil, false
	}
	return string(body[:i]), body[i+1:], true
}

// checkQuery returns an error when a query cannot run. It is called before any part of the query runs.
func (s *session) checkQuery(q query) error {
	if reason := q.refusal(); reason != "" {
		return result.Errorf(result.Unsupported, "%s", reason)
	}
	if err := q.hints.check(); err != nil {
		return err
	}
	if err := s.checkHintedKey(q.hints, q.usesOperationKey(s.settings.isReadOnly())); err != nil {
		return err
	}
	c := s.collected
	if c.hasLocal || q.isLocal() && (c.hasForward || s.status == StatusOpenPipeline) {
		return result.Errorf(result.Unsupported, "a Query cannot end a pipeline with statements that the proxy answers")
	}
	return nil
}

func (s *session) refuseQuery(ctx context.Context, err error) error {
	s.undoFrom(0)
	if err := s.refuse(ctx, err); err != nil {
		return err
	}
	return s.write(s.readyForQuery(nil))
}

// addQuery adds a query to the collected batch.
func (s *session) addQuery(q query) {
	c := s.collected
	c.hasForward = true
	c.hasExecute = true
	c.endsBlock = q.endsBlock()
	c.usesOperationKey = c.usesOperationKey || q.usesOperationKey(s.settings.isReadOnly())
	c.hints.merge(q.hints)
	c.recordAccess(s.queryAccess(q))
}

// queryAccess returns the access that a query needs in this session, in which transactions may be read-only by
// default.
func (s *session) queryAccess(q query) api.ExecuteRequestAccess {
	if len(q.statements) == 1 && q.statements[0].opensReadOnly(s.settings.isReadOnly()) {
		return api.ExecuteRequestAccessRead
	}
	return q.access()
}

// answerQuery answers a query whose statements concern only the session. When one of them fails, the settings that
// the others changed are restored.
func (s *session) answerQuery(ctx context.Context, q query) error {
	counters.Add("batches_local", 1)
	saved := s.settings
	var out []byte
	for i := range q.statements {
		a, err := s.answer(ctx, &q.statements[i])
		if err != nil {
			s.settings = saved
			return s.refuseQuery(ctx, err)
		}
		out = a.appendDescription(out)
		out = a.appendResult(out)
	}
	return s.write(s.readyForQuery(out))
}

// endLostBlock answers a query while the transaction block is lost, in place of the target, on which the block no
// longer exists. Only the end of the block and an empty query are accepted.
func (s *session) endLostBlock(ctx context.Context, q query) error {
	if len(q.statements) == 0 {
		return s.write(s.readyForQuery(appendMessage(nil, &pgproto3.EmptyQueryResponse{})))
	}
	if q.statements[0].block != blockEnds || len(q.statements) > 1 {
		return s.refuseQuery(ctx, errInFailedBlock())
	}
	s.block = transactionBlock{}
	s.status = StatusIdle
	out := appendMessage(nil, &pgproto3.CommandComplete{CommandTag: []byte("ROLLBACK")})
	return s.write(s.readyForQuery(out))
}

func errInFailedBlock() error {
	return &failure{sqlStateInFailedTransaction, failedTransactionMessage}
}

// handleFunctionCall refuses the fast-path interface, which current clients do not use.
func (s *session) handleFunctionCall(ctx context.Context) error {
	if s.skipsToSync {
		s.discardLast()
		return nil
	}
	defer s.finishBatch()
	return s.refuseQuery(ctx, result.Errorf(result.Unsupported, "function calls are not supported; use SELECT"))
}

// rollBackMessages returns messages that end a transaction block and also an open pipeline.
func rollBackMessages() []byte {
	var out []byte
	for _, message := range []pgproto3.FrontendMessage{
		&pgproto3.Parse{Query: "ROLLBACK"},
		&pgproto3.Bind{},
		&pgproto3.Execute{},
		&pgproto3.Sync{},
	} {
		encoded, err := message.Encode(out)
		if err != nil {
			return out
		}
		out = encoded
	}
	return out
}
