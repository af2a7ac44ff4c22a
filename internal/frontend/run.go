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

// transactionBlock is what a session remembers of its transaction block.
type transactionBlock struct {
	// access is that of the batch that opened the block.
	access api.ExecuteRequestAccess
	// isOpen is true between BEGIN and COMMIT or ROLLBACK.
	isOpen bool
	// isLost is true when the target no longer holds the block, which the caller has still to end.
	isLost bool
}

// forward runs the collected batch on a target. It returns true when the batch failed and the caller
// has an ErrorResponse; an error ends the session.
func (s *session) forward(ctx context.Context) (bool, error) {
	return s.forwardTo(ctx, &answerCheck{write: s.write}, false)
}

// forwardTo runs the collected batch like forward and passes the answers through check.
func (s *session) forwardTo(ctx context.Context, check *answerCheck, isFlush bool) (bool, error) {
	c := s.collected
	c.isHandedOver = true
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
		s.noteOutcome(c, batch, outcome)
		return false, nil
	}
	s.logFailure(err)
	s.loseBlock(c.endsBlock)
	return true, s.write(appendMessage(nil, errorResponse(severityError, err)))
}

// execute runs a batch within the statement timeout.
func (s *session) execute(ctx context.Context, batch *Batch, emit func([]byte) error) (Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, batch.Timeout+statementTimeoutMargin)
	defer cancel()
	watch := s.watchCaller(cancel)
	defer watch.stop()
	return s.runner.Run(ctx, batch, emit)
}

// batchOf makes the batch for the runner and consumes the operation key.
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
	if c.hasExecute && c.takesKey && !s.isInReadOnlyBlock() {
		batch.OperationKey = s.settings.takeOperationKey(c.hints.operationKey)
	}
	if batch.OperationKey != "" {
		// The key is recorded together with the work, which takes the primary.
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

// checkKey refuses an operation key in a comment that would have no effect.
func (s *session) checkKey(h hints, takesKey bool) error {
	if h.operationKey == "" || takesKey && !s.isInReadOnlyBlock() {
		return nil
	}
	return result.Errorf(result.Unsupported, "an operation key needs a statement that may write")
}

func (s *session) maxAge(h hints) time.Duration {
	if h.hasMaxAge {
		return h.maxAge
	}
	return s.settings.maxAge
}

// takeOperationKey returns the key for the next transaction. A key is used once; a key in a
// comment goes before the one that was set.
func (s *sessionSettings) takeOperationKey(hinted string) string {
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

// noteOutcome follows the transaction status.
func (s *session) noteOutcome(c *collector, batch *Batch, outcome Outcome) {
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

// loseBlock follows the loss of what was open on the target. The caller has to end a lost block
// itself: statements that it has already sent for the block must not run outside of it.
func (s *session) loseBlock(endsBlock bool) {
	isLost := s.block.isOpen && !endsBlock
	s.block = transactionBlock{isOpen: isLost, isLost: isLost}
	s.status = StatusIdle
	if isLost {
		s.status = StatusFailed
	}
}

// refuse answers a message that cannot run and rolls back what is open on the target, since
// PostgreSQL lets no transaction go on after an error.
func (s *session) refuse(ctx context.Context, err error) error {
	counters.Add("statements_refused", 1)
	s.logRefusal(err)
	if s.status != StatusIdle && !s.block.isLost {
		s.rollBack(ctx)
		s.loseBlock(false)
	}
	return s.write(appendMessage(nil, errorResponse(severityError, err)))
}

// rollBack ends what is open on the target without an answer to the caller.
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
