package frontend

import (
	"context"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/logevent"
	"github.com/papayacove/papayacove/internal/logfield"
	"github.com/papayacove/papayacove/internal/result"
	"github.com/papayacove/papayacove/internal/telemetry"
	"github.com/sirupsen/logrus"
)

// transactionBlock is the state of the transaction block of a session.
type transactionBlock struct {
	// access is the access of the batch that opened the block.
	access api.ExecuteRequestAccess
	// isOpen is true between BEGIN and COMMIT or ROLLBACK.
	isOpen bool
	// isLost is true when the block no longer exists on the target and the caller has not yet ended it.
	isLost bool
}

// forward runs the collected batch on a target. It returns true when the batch failed and the caller
// received an ErrorResponse from the frontend. An error ends the session.
func (s *session) forward(ctx context.Context) (bool, error) {
	return s.forwardTo(ctx, &answerCheck{write: s.write}, false)
}

// forwardTo runs the collected batch like forward, but sends the answers through check.
func (s *session) forwardTo(ctx context.Context, check *answerCheck, isFlush bool) (bool, error) {
	c := s.collected
	c.isPassedToRunner = true
	batch := s.batchOf(c)
	s.logBatch(batch)
	outcome, err := s.execute(ctx, batch, check.emit)
	s.undoFrom(check.completed)
	if s.writeError != nil {
		return false, s.writeError
	}
	if broken := check.verify(outcome, err, isFlush); broken != nil {
		return false, broken
	}
	if err == nil {
		s.applyOutcome(c, batch, outcome)
		return false, nil
	}
	s.logFailure(err)
	s.applyBlockLoss(c.endsBlock)
	return true, s.write(appendMessage(nil, errorResponse(severityError, err)))
}

// execute runs a batch. It cancels the batch when it runs for longer than the statement timeout and
// statementTimeoutMargin, or when the caller has closed its connection.
func (s *session) execute(ctx context.Context, batch *Batch, emit func([]byte) error) (Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, batch.Timeout+statementTimeoutMargin)
	defer cancel()
	watch := s.watchCaller(cancel)
	defer watch.stop()
	return s.runner.Run(ctx, batch, emit)
}

// batchOf returns the batch for the runner and consumes the operation key.
func (s *session) batchOf(c *collector) *Batch {
	batch := &Batch{
		Messages:      c.messages,
		Prepared:      c.prepared,
		Settings:      s.settings.current,
		Access:        c.access(),
		InTransaction: s.status != StatusIdle,
		MaxAge:        noMaxAge,
		Timeout:       s.server.limits.statement,
	}
	if c.hasExecute && c.usesOperationKey && !s.isInReadOnlyBlock() {
		batch.OperationKey = s.settings.consumeOperationKey(c.hints.operationKey)
	}
	if batch.OperationKey != "" {
		// The key is recorded in the same transaction as the work, which only the primary can do.
		batch.Access = api.ExecuteRequestAccessWrite
	}
	if batch.InTransaction {
		batch.Access = s.block.access
	}
	if batch.Access == api.ExecuteRequestAccessRead {
		batch.MaxAge = s.maxAge(c.hints)
	}
	return batch
}

func (s *session) isInReadOnlyBlock() bool {
	return s.status != StatusIdle && s.block.access == api.ExecuteRequestAccessRead
}

// checkHintedKey returns Unsupported for an operation key in a comment that would have no effect.
func (s *session) checkHintedKey(h hints, usesOperationKey bool) error {
	if h.operationKey == "" || usesOperationKey && !s.isInReadOnlyBlock() {
		return nil
	}
	return result.Errorf(result.Unsupported, "an operation key needs a statement that may write")
}

// maxAge returns the allowed age of a read; options in a comment override the setting of the session.
func (s *session) maxAge(h hints) time.Duration {
	if h.hasMaxAge {
		return h.maxAge
	}
	return s.settings.maxAge
}

// consumeOperationKey returns the key for the next transaction, or an empty string. A key that was set
// is used once. A key in a comment takes precedence over it and leaves it for a later transaction.
func (s *sessionSettings) consumeOperationKey(hinted string) string {
	key := hinted
	if key == "" {
		key = s.operationKey
		s.operationKey = ""
	}
	if key != "" {
		s.lastOperationKey = key
	}
	return key
}

// applyOutcome updates the transaction status and block of the session after a batch that the
// runner ran without an error.
func (s *session) applyOutcome(c *collector, batch *Batch, outcome Outcome) {
	wasIdle := s.status == StatusIdle
	s.status = outcome.TransactionStatus
	switch s.status {
	case StatusIdle:
		s.block = transactionBlock{}
		return
	case StatusOpenPipeline:
		s.block.isOpen = (s.block.isOpen || c.beginsBlock) && !c.endsBlock
	default:
		s.block.isOpen = true
	}
	if wasIdle {
		s.block.access = batch.Access
	}
}

// applyBlockLoss updates the transaction status and block after what was open on the target is lost.
// The caller has to end a lost block itself, because statements that it has already sent for the block
// must not run outside of it. endsBlock is true when the batch that failed would have ended the block.
func (s *session) applyBlockLoss(endsBlock bool) {
	isLost := s.block.isOpen && !endsBlock
	s.block = transactionBlock{isOpen: isLost, isLost: isLost}
	s.status = StatusIdle
	if isLost {
		s.status = StatusFailed
	}
}

// refuse sends ErrorResponse for a message that cannot run. It also rolls back what is open on the
// target, because in PostgreSQL no transaction continues after an error.
func (s *session) refuse(ctx context.Context, err error) error {
	counters.Add("statements_refused", 1)
	s.logRefusal(err)
	if s.status != StatusIdle && !s.block.isLost {
		s.rollBack(ctx)
		s.applyBlockLoss(false)
	}
	return s.write(appendMessage(nil, errorResponse(severityError, err)))
}

// rollBack ends the transaction block or pipeline that is open on the target. The caller receives nothing of the
// answer.
func (s *session) rollBack(ctx context.Context) {
	batch := &Batch{
		Messages:      rollBackMessages(),
		Settings:      s.settings.current,
		Access:        s.block.access,
		InTransaction: true,
		MaxAge:        noMaxAge,
		Timeout:       s.server.limits.statement,
	}
	discard := func([]byte) error { return nil }
	if _, err := s.execute(ctx, batch, discard); err != nil {
		s.logFailure(err)
	}
}

func (s *session) logBatch(batch *Batch) {
	class := string(batch.Access)
	if batch.InTransaction {
		class = "transaction"
	}
	counters.Add("batches_"+class, 1)
	telemetry.Trace(logevent.BatchClassified, logrus.Fields{
		logfield.Session:       s.info.ID,
		logfield.Group:         s.info.Group,
		logfield.Access:        string(batch.Access),
		logfield.InTransaction: batch.InTransaction,
		logfield.MaxAgeMs:      batch.MaxAge.Milliseconds(),
		logfield.Prepared:      len(batch.Prepared),
		logfield.Bytes:         len(batch.Messages),
		logfield.HasKey:        batch.OperationKey != "",
	})
}

func (s *session) logRefusal(err error) {
	s.server.log.WithError(err).WithFields(logrus.Fields{
		logfield.Session: s.info.ID,
		logfield.Group:   s.info.Group,
		logfield.Code:    int(result.CodeOf(err)),
	}).Info(logevent.StatementRefused)
}

func (s *session) logFailure(err error) {
	s.server.log.WithError(err).WithFields(logrus.Fields{
		logfield.Session: s.info.ID,
		logfield.Group:   s.info.Group,
		logfield.Code:    int(result.CodeOf(err)),
	}).Info(logevent.BatchFailed)
}
