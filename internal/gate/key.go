package gate

import (
	"fmt"
	"time"

	"github.com/papayacove/papayacove/internal/result"
)

// createOperationTable creates the operation table, which holds the operation keys. It is a table in the database of
// the group, so that a key is committed in the same transaction as the work done under it.
const createOperationTable = `CREATE TABLE IF NOT EXISTS papayacove_operation (
workspace text NOT NULL, operation_key text NOT NULL, session text NOT NULL, committed_at timestamptz NOT NULL,
PRIMARY KEY (workspace, operation_key))`

// queryAnswer is the answer to a query of the gate itself. state is the SQLSTATE of an error, empty for success.
type queryAnswer struct {
	state             string
	message           string
	transactionStatus byte
}

// startsOperation reports whether the batch has an operation key and must insert it: it is the first batch of the
// operation, not one within its transaction.
func (b *batch) startsOperation() bool {
	return b.req.OperationKey != "" && !b.pinned
}

// checkKey refuses an operation key for a batch that ends in Flush, because its transaction could end in a later
// batch.
func (b *batch) checkKey() error {
	if b.startsOperation() && endsInFlush(b.req.Messages) {
		return result.Errorf(result.Unsupported, "an operation key needs a batch that ends in Sync")
	}
	return nil
}

// runQuery runs a query of the gate itself and reads its answer.
func (b *batch) runQuery(query string) (queryAnswer, error) {
	if err := b.write(appendQuery(nil, query)); err != nil {
		return queryAnswer{}, err
	}
	var answer queryAnswer
	for {
		kind, body, err := b.slot.connection.ReadRaw()
		if err != nil {
			return queryAnswer{}, err
		}
		switch kind {
		case messageErrorResponse:
			answer.state, answer.message = sqlState(body)
		case messageReadyForQuery:
			answer.transactionStatus = body[0]
			return answer, nil
		}
	}
}

func (b *batch) insertKeyQuery() string {
	return fmt.Sprintf("INSERT INTO papayacove_operation (workspace, operation_key, session, committed_at) VALUES (%s, %s, %s, now())",
		quoteText(b.req.Workspace), quoteText(b.req.OperationKey), quoteText(b.req.SessionID))
}

// beginWithKey begins a transaction and inserts the key in it. It creates the operation table if that does not exist.
func (b *batch) beginWithKey() error {
	for attempt := 0; ; attempt++ {
		answer, err := b.runQuery("BEGIN; " + b.insertKeyQuery())
		if err != nil {
			return result.Errorf(result.NotRunUnreachable, "target %s: %v", b.gate.options.Spec.Name, err)
		}
		if answer.state == "" {
			return nil
		}
		if _, err := b.runQuery("ROLLBACK"); err != nil {
			return result.Errorf(result.NotRunUnreachable, "target %s: %v", b.gate.options.Spec.Name, err)
		}
		if answer.state != stateUndefinedTable || attempt > 0 {
			return b.keyError(answer)
		}
		if _, err := b.runQuery(createOperationTable); err != nil {
			return result.Errorf(result.NotRunUnreachable, "target %s: %v", b.gate.options.Spec.Name, err)
		}
	}
}

// keyError converts the error of an insert into the operation table.
func (b *batch) keyError(answer queryAnswer) error {
	switch answer.state {
	case stateUniqueViolation:
		return b.alreadyRanError()
	case stateReadOnly:
		return result.Errorf(result.NotRunTermChanged, "target %s does not accept writes", b.gate.options.Spec.Name)
	default:
		return result.Errorf(result.NotRunNoPrimary, "the operation key could not be entered: %s", answer.message).
			WithRetryAfter(noPrimaryRetryAfter)
	}
}

// alreadyRanError returns the error for a key that the operation table already contains. It first waits until
// the commit of the key is confirmed, since a failover could still truncate an unconfirmed one.
func (b *batch) alreadyRanError() error {
	if _, err := b.gate.confirmer.confirmedPosition(b.answer.ctx, b.term); err != nil {
		return result.Errorf(result.OutcomeUnknown, "the operation key is there and not confirmed: %v", err)
	}
	return result.Errorf(result.AlreadyRan, "an operation with this key of workspace %s was committed before", b.req.Workspace)
}

// performWithKey runs a batch that is outside a transaction block within a transaction of the gate that also inserts
// the key.
func (b *batch) performWithKey() (byte, error) {
	b.plan = b.newPlan(false)
	if prefix := b.plan.encodePrefix(); len(prefix) > 0 {
		if err := b.write(prefix); err != nil {
			return 0, err
		}
		if err := b.readPrefix(); err != nil {
			return 0, err
		}
		b.plan.discards, b.plan.settings = false, nil
	}
	if err := b.beginWithKey(); err != nil {
		return 0, err
	}
	if err := b.send(b.plan.encode(b.req.Messages)); err != nil {
		return 0, err
	}
	transactionStatus, err := b.relay()
	if err != nil {
		return 0, err
	}
	return b.commitKey(transactionStatus)
}

// commitKey ends the transaction that the gate began, and reads the status of the target. A transaction block that
// the batch itself began stays open.
func (b *batch) commitKey(transactionStatus byte) (byte, error) {
	if b.began && transactionStatus != statusIdle {
		return transactionStatus, nil
	}
	ending := "COMMIT"
	if transactionStatus == statusFailed {
		ending = "ROLLBACK"
	}
	if transactionStatus != statusIdle {
		answer, err := b.runQuery(ending)
		if err != nil {
			return 0, err
		}
		if answer.state != "" {
			return 0, result.Errorf(result.TransactionLost, "%s: %s", ending, answer.message)
		}
		// The caller sent no BEGIN, so the answer ends outside a transaction block.
		b.buffer[len(b.buffer)-1] = statusIdle
	}
	return statusIdle, b.queryStatus()
}

// insertKeyInBlock inserts the key in a transaction block that the caller has just opened. If the operation
// table does not exist, it is created and the block is opened again.
func (b *batch) insertKeyInBlock(transactionStatus byte) (byte, error) {
	for attempt := 0; ; attempt++ {
		answer, err := b.runQuery(b.insertKeyQuery())
		if err != nil {
			return 0, result.Errorf(result.NotRunUnreachable, "target %s: %v", b.gate.options.Spec.Name, err)
		}
		if answer.state == "" {
			return transactionStatus, nil
		}
		if _, err := b.runQuery("ROLLBACK"); err != nil {
			return 0, result.Errorf(result.NotRunUnreachable, "target %s: %v", b.gate.options.Spec.Name, err)
		}
		if answer.state != stateUndefinedTable || attempt > 0 {
			return 0, b.keyError(answer)
		}
		if _, err := b.runQuery(createOperationTable); err != nil {
			return 0, result.Errorf(result.NotRunUnreachable, "target %s: %v", b.gate.options.Spec.Name, err)
		}
		if _, err := b.runQuery(b.executed()[0]); err != nil {
			return 0, result.Errorf(result.NotRunUnreachable, "target %s: %v", b.gate.options.Spec.Name, err)
		}
	}
}

// rollBack ends the transaction on the connection and reports whether that worked.
func (s *slot) rollBack() bool {
	_ = s.connection.Conn.SetDeadline(time.Now().Add(checkTimeout))
	defer func() { _ = s.connection.Conn.SetDeadline(time.Time{}) }()
	sync := appendMessage(nil, messageSync, nil)
	if s.connection.WriteRaw(appendQuery(sync, "ROLLBACK")) != nil || s.connection.Flush() != nil {
		return false
	}
	for ready := 0; ready < 2; {
		kind, body, err := s.connection.ReadRaw()
		if err != nil {
			return false
		}
		if kind != messageReadyForQuery {
			continue
		}
		ready++
		if ready == 2 && body[0] != statusIdle {
			return false
		}
	}
	return true
}
