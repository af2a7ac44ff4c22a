package gate

import (
	"fmt"
	"time"

	"github.com/papayacove/papayacove/internal/result"
)

// The ledger of operation keys is a table of the group, so that a key and the work done under it
// commit together.
const ledgerTable = `CREATE TABLE IF NOT EXISTS papayacove_operation (
workspace text NOT NULL, operation_key text NOT NULL, session text NOT NULL, committed_at timestamptz NOT NULL,
PRIMARY KEY (workspace, operation_key))`

// simpleAnswer is what a query of the gate itself gave.
type simpleAnswer struct {
	state             string
	message           string
	transactionStatus byte
}

// entersKey reports whether the batch starts what its operation key stands for.
func (b *batch) entersKey() bool {
	return b.req.OperationKey != "" && !b.pinned
}

// checkKey refuses an operation key before a Flush: the transaction could end in a later batch.
func (b *batch) checkKey() error {
	if b.entersKey() && endsInFlush(b.req.Messages) {
		return result.Errorf(result.Unsupported, "an operation key needs a batch that ends in Sync")
	}
	return nil
}

// ask runs a query of the gate itself.
func (b *batch) ask(query string) (simpleAnswer, error) {
	if err := b.write(appendQuery(nil, query)); err != nil {
		return simpleAnswer{}, err
	}
	var answer simpleAnswer
	for {
		kind, body, err := b.slot.connection.ReadRaw()
		if err != nil {
			return simpleAnswer{}, err
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

func (b *batch) insertKey() string {
	return fmt.Sprintf("INSERT INTO papayacove_operation (workspace, operation_key, session, committed_at) VALUES (%s, %s, %s, now())",
		quoteText(b.req.Workspace), quoteText(b.req.OperationKey), quoteText(b.req.SessionID))
}

// beginWithKey opens a transaction that holds the key.
func (b *batch) beginWithKey() error {
	for attempt := 0; ; attempt++ {
		answer, err := b.ask("BEGIN; " + b.insertKey())
		if err != nil {
			return result.Errorf(result.NotRunUnreachable, "target %s: %v", b.gate.options.Spec.Name, err)
		}
		if answer.state == "" {
			return nil
		}
		if _, err := b.ask("ROLLBACK"); err != nil {
			return result.Errorf(result.NotRunUnreachable, "target %s: %v", b.gate.options.Spec.Name, err)
		}
		if answer.state != stateUndefinedTable || attempt > 0 {
			return b.keyRefused(answer)
		}
		if _, err := b.ask(ledgerTable); err != nil {
			return result.Errorf(result.NotRunUnreachable, "target %s: %v", b.gate.options.Spec.Name, err)
		}
	}
}

func (b *batch) keyRefused(answer simpleAnswer) error {
	switch answer.state {
	case stateUniqueViolation:
		return b.alreadyRan()
	case stateReadOnly:
		return result.Errorf(result.NotRunTermChanged, "target %s does not accept writes", b.gate.options.Spec.Name)
	default:
		return result.Errorf(result.NotRunNoPrimary, "the operation key could not be entered: %s", answer.message).
			WithRetryAfter(noPrimaryRetryAfter)
	}
}

// alreadyRan answers that the key is there, once the commit that entered it is confirmed; a failover
// could still cut it before.
func (b *batch) alreadyRan() error {
	if _, err := b.gate.confirmer.floor(b.answer.ctx, b.term); err != nil {
		return result.Errorf(result.OutcomeUnknown, "the operation key is there and not confirmed: %v", err)
	}
	return result.Errorf(result.AlreadyRan, "an operation with this key of workspace %s was committed before", b.req.Workspace)
}

// performWithKey runs a batch outside a transaction block in one that holds the key.
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

// commitKey ends the transaction that the gate began, and asks for the position. A block that the
// batch itself has begun stays open.
func (b *batch) commitKey(transactionStatus byte) (byte, error) {
	if b.began && transactionStatus != statusIdle {
		return transactionStatus, nil
	}
	ending := "COMMIT"
	if transactionStatus == statusFailed {
		ending = "ROLLBACK"
	}
	if transactionStatus != statusIdle {
		answer, err := b.ask(ending)
		if err != nil {
			return 0, err
		}
		if answer.state != "" {
			return 0, result.Errorf(result.TransactionLost, "%s: %s", ending, answer.message)
		}
		// The caller sent no BEGIN, so the answer ends outside a transaction block.
		b.buffer[len(b.buffer)-1] = statusIdle
	}
	return statusIdle, b.askStatus()
}

// enterKey puts the key into a transaction block that the caller has just opened.
func (b *batch) enterKey(transactionStatus byte) (byte, error) {
	for attempt := 0; ; attempt++ {
		answer, err := b.ask(b.insertKey())
		if err != nil {
			return 0, result.Errorf(result.NotRunUnreachable, "target %s: %v", b.gate.options.Spec.Name, err)
		}
		if answer.state == "" {
			return transactionStatus, nil
		}
		if _, err := b.ask("ROLLBACK"); err != nil {
			return 0, result.Errorf(result.NotRunUnreachable, "target %s: %v", b.gate.options.Spec.Name, err)
		}
		if answer.state != stateUndefinedTable || attempt > 0 {
			return 0, b.keyRefused(answer)
		}
		if _, err := b.ask(ledgerTable); err != nil {
			return 0, result.Errorf(result.NotRunUnreachable, "target %s: %v", b.gate.options.Spec.Name, err)
		}
		if _, err := b.ask(b.executed()[0]); err != nil {
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
