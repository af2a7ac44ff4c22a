package frontend

import (
	"bytes"
	"context"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/result"
)

// handleQuery runs a message of the simple protocol, which has a ReadyForQuery of its own.
func (s *session) handleQuery(ctx context.Context) error {
	if s.skipsToSync {
		s.dropLast()
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
	s.noteQuery(q)
	failed, err := s.forward(ctx)
	if err != nil || !failed {
		return err
	}
	return s.write(s.readyForQuery(nil))
}

// queryText returns the SQL text of a Query message.
func queryText(body []byte) (string, bool) {
	text, rest, ok := cutString(body)
	return text, ok && len(rest) == 0
}

// cutString reads a string that ends in a zero byte.
func cutString(body []byte) (text string, rest []byte, ok bool) {
	i := bytes.IndexByte(body, 0)
	if i < 0 {
		return "", nil, false
	}
	return string(body[:i]), body[i+1:], true
}

// checkQuery returns why a query cannot run, before any part of it has run.
func (s *session) checkQuery(q query) error {
	if reason := q.refusal(); reason != "" {
		return result.Errorf(result.Unsupported, "%s", reason)
	}
	if err := q.hints.check(); err != nil {
		return err
	}
	if err := s.checkKey(q.hints, q.takesKey(s.settings.isReadOnly())); err != nil {
		return err
	}
	c := s.collected
	if c.hasLocal || q.isLocal() && (c.hasForward || s.status == StatusOpenPipeline) {
		return result.Errorf(result.Unsupported, "a Query cannot end a pipeline with statements that the proxy answers")
	}
	return nil
}

func (s *session) refuseQuery(ctx context.Context, err error) error {
	if err := s.refuse(ctx, err); err != nil {
		return err
	}
	return s.write(s.readyForQuery(nil))
}

// noteQuery adds a query to the collected batch.
func (s *session) noteQuery(q query) {
	c := s.collected
	c.hasForward = true
	c.hasExecute = true
	c.endsBlock = q.endsBlock()
	c.takesKey = c.takesKey || q.takesKey(s.settings.isReadOnly())
	c.hints.merge(q.hints)
	c.noteAccess(s.effectiveAccess(q))
}

// effectiveAccess takes into account that the session may be read-only.
func (s *session) effectiveAccess(q query) api.ExecuteRequestAccess {
	if len(q.statements) == 1 && q.statements[0].opensReadOnly(s.settings.isReadOnly()) {
		return api.ExecuteRequestAccessRead
	}
	return q.access()
}

// answerQuery answers a query of statements that belong to the session itself. When one fails,
// none has had an effect.
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

// endLostBlock answers in place of the target that no longer holds the transaction block.
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
	return &failure{sqlStateInFailedTransaction, failedTransactionExplanation}
}

// handleFunctionCall refuses the fast-path interface, which current clients do not use.
func (s *session) handleFunctionCall(ctx context.Context) error {
	if s.skipsToSync {
		s.dropLast()
		return nil
	}
	defer s.finishBatch()
	return s.refuseQuery(ctx, result.Errorf(result.Unsupported, "function calls are not supported; use SELECT"))
}

// rollBackMessages end a transaction block as well as an open pipeline.
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
