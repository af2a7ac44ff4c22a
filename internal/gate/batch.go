package gate

import (
	"bytes"
	"context"
	"errors"
	"expvar"
	"regexp"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/result"
	"github.com/papayacove/papayacove/internal/target"
)

// counters hold the numbers of batches of all gates by outcome.
var counters = expvar.NewMap("gate")

// cancelGrace is the time that a target has to answer a batch that was cancelled.
const cancelGrace = 150 * time.Millisecond

// readOnlySetting makes the primary reject writes by a statement that was classified as a read.
const readOnlySetting = "default_transaction_read_only"

// commitPattern matches the text of statements that may end a transaction with a commit.
var commitPattern = regexp.MustCompile(`(?i)\b(commit|end)\b`)

// SQLSTATE codes that the gate handles.
const (
	stateReadOnly        = "25006"
	stateUniqueViolation = "23505"
	stateUndefinedTable  = "42P01"
)

// batch is one statement batch and the state of its execution on a connection.
type batch struct {
	gate     *Gate
	req      *api.ExecuteRequest
	asked    time.Time
	slot     *slot
	admitted *ticket
	answer   *answer
	// pinned is true when the batch runs on the connection of a transaction in progress; inPipeline is true when
	// that transaction is an open pipeline.
	pinned     bool
	inPipeline bool
	// leads is true when the target was the primary of term as the batch (or its transaction) started.
	leads bool
	term  api.GroupTerm
	// age is the upper bound on the age of the data that a read returns.
	age time.Duration
	// isWithoutMajority is true for a read on a primary that no majority is known to follow; the allowed age of the
	// read permits it.
	isWithoutMajority bool

	plan      plan
	buffer    []byte
	chunkSent bool
	// committed is true once the answer contains a completed COMMIT, failed once it contains an error, and began
	// once it contains a completed BEGIN. rolledBack is true while the newest completed statement is a ROLLBACK.
	committed  bool
	failed     bool
	rolledBack bool
	began      bool
	state      string
	statusAt   time.Time
	status     target.Status
}

// run sends the batch, relays the answer and releases the connection.
func (b *batch) run(ctx context.Context) {
	interrupted := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(interrupted)
		b.interrupt(ctx)
	})
	transactionStatus, err := b.perform(ctx)
	if !stop() {
		<-interrupted
		b.slot.clearInterrupt()
	}
	// The connection is released before the commit is confirmed, so that other batches can use it meanwhile.
	b.releaseConnection(transactionStatus, err)
	b.answer.sendLast(b.conclude(ctx, transactionStatus, err))
	if b.chunkSent {
		time.AfterFunc(fetchTimeout, func() { b.gate.dropAnswer(b.answer) })
	}
}

// interrupt cancels a batch whose deadline has passed or whose primary was replaced. The target has cancelGrace to
// answer.
func (b *batch) interrupt(ctx context.Context) {
	if !errors.Is(ctx.Err(), context.DeadlineExceeded) && !isReplaced(ctx) {
		return
	}
	_ = b.slot.connection.Conn.SetReadDeadline(time.Now().Add(cancelGrace))
	b.gate.cancelAt(b.slot)
}

// perform sends the batch and reads its answer to the end; the part that was not sent yet stays in the buffer. It
// returns the transaction status.
func (b *batch) perform(ctx context.Context) (byte, error) {
	if b.startsOperation() && !b.opensBlock() {
		return b.performWithKey()
	}
	b.plan = b.newPlan(b.leads)
	b.statusAt = time.Now()
	if err := b.send(b.plan.encode(b.req.Messages)); err != nil {
		return 0, err
	}
	if err := b.readPrefix(); err != nil {
		return 0, err
	}
	if b.plan.isOpenPipeline {
		return b.performPipeline()
	}
	transactionStatus, err := b.relay()
	if err != nil {
		return 0, err
	}
	if b.plan.statusAfter {
		if err := b.readStatus(); err != nil && transactionStatus == statusIdle {
			return 0, err
		}
	} else if b.leads && b.needsConfirmation(transactionStatus) {
		// The transaction has ended although mayCommit found no commit in the text of the batch.
		if err := b.queryStatus(); err != nil {
			return 0, err
		}
	}
	if b.startsOperation() && transactionStatus == statusTransaction {
		return b.insertKeyInBlock(transactionStatus)
	}
	return transactionStatus, nil
}

// performPipeline reads the answers up to a Flush, and the status of the primary when they contain a commit.
func (b *batch) performPipeline() (byte, error) {
	transactionStatus, err := b.relayPipeline()
	if err != nil || !b.committed || !b.leads {
		return transactionStatus, err
	}
	return transactionStatus, b.queryStatus()
}

// queryStatus requests the status of the target, with its position, and reads it.
func (b *batch) queryStatus() error {
	b.statusAt = time.Now()
	if err := b.write(appendQuery(nil, target.StatusQuery)); err != nil {
		return err
	}
	return b.readStatus()
}

// send writes encoded messages. Large ones are written concurrently with reading the answers, because a target whose
// answers are not read stops reading messages, and both sides would block.
func (b *batch) send(messages []byte) error {
	if len(messages) > chunkBytes {
		go func() { _ = b.write(messages) }()
		return nil
	}
	return b.write(messages)
}

func (b *batch) write(messages []byte) error {
	if err := b.slot.connection.WriteRaw(messages); err != nil {
		return err
	}
	return b.slot.connection.Flush()
}

// readStatus reads the answer to a status query.
func (b *batch) readStatus() error {
	var parsed error = result.Errorf(result.OutcomeUnknown, "target %s gave no status", b.gate.options.Spec.Name)
	for {
		kind, body, err := b.slot.connection.ReadRaw()
		if err != nil {
			return err
		}
		switch kind {
		case messageDataRow:
			b.status, parsed = target.ParseStatusRow(rowValues(body))
		case messageReadyForQuery:
			return parsed
		}
	}
}

// relay reads the answer up to ReadyForQuery and sends it to the entry daemon in chunks.
func (b *batch) relay() (byte, error) {
	for {
		frame, err := b.slot.connection.ReadFrame()
		if err != nil {
			return 0, err
		}
		kind := frame[0]
		body := frame[messageHeaderBytes:]
		if b.plan.suppresses(kind) {
			b.recordPrepared(kind)
			continue
		}
		if err := b.recordMessage(kind, body); err != nil {
			return 0, err
		}
		b.buffer = append(b.buffer, frame...)
		if kind == messageReadyForQuery {
			return body[0], nil
		}
		// A CommandComplete may report to the caller that its statement is committed, so it is sent only
		// together with the message that follows it.
		if len(b.buffer) >= chunkBytes && kind != messageCommandComplete {
			if err := b.sendChunk(); err != nil {
				return 0, err
			}
		}
	}
}

// relayPipeline relays the answers to a batch that ends in Flush.
func (b *batch) relayPipeline() (byte, error) {
	for remaining := b.plan.answers; remaining > 0; {
		frame, err := b.slot.connection.ReadFrame()
		if err != nil {
			return 0, err
		}
		kind := frame[0]
		if b.plan.suppresses(kind) {
			b.recordPrepared(kind)
			continue
		}
		if err := b.recordMessage(kind, frame[messageHeaderBytes:]); err != nil {
			return 0, err
		}
		b.buffer = append(b.buffer, frame...)
		if kind == messageErrorResponse {
			break
		}
		if endsAnswer(kind) {
			remaining--
		}
		if len(b.buffer) >= chunkBytes {
			if err := b.sendChunk(); err != nil {
				return 0, err
			}
		}
	}
	return statusOpenPipeline, b.confirmEarly()
}

// recordMessage updates the state of the batch from a message of the answer. It answers a COPY FROM STDIN with
// CopyFail, since COPY is not supported.
func (b *batch) recordMessage(kind byte, body []byte) error {
	switch kind {
	case messageParseComplete:
		b.recordPrepared(kind)
	case messageCommandComplete:
		b.committed = b.committed || bytes.HasPrefix(body, []byte("COMMIT"))
		b.rolledBack = bytes.HasPrefix(body, []byte("ROLLBACK"))
		b.began = b.began || bytes.HasPrefix(body, []byte("BEGIN")) || bytes.HasPrefix(body, []byte("START TRANSACTION"))
	case messageErrorResponse:
		b.failed = true
		if b.state == "" {
			b.state, _ = sqlState(body)
		}
	case messageCopyInResponse:
		fail, _ := (&pgproto3.CopyFail{Message: "papayacove does not carry COPY"}).Encode(nil)
		return b.write(fail)
	}
	return nil
}

// recordPrepared records that the connection holds the next statement of the plan, once it was parsed.
func (b *batch) recordPrepared(kind byte) {
	if kind != messageParseComplete || len(b.plan.parsing) == 0 {
		return
	}
	name := b.plan.parsing[0]
	b.plan.parsing = b.plan.parsing[1:]
	if name != "" {
		b.slot.prepared[name] = struct{}{}
	}
}

// sendChunk sends the buffered part of the answer. If it contains a COMMIT, the commit is confirmed first.
func (b *batch) sendChunk() error {
	if err := b.confirmEarly(); err != nil {
		return err
	}
	chunk := b.buffer
	b.buffer = make([]byte, 0, chunkBytes+chunkBytes/4)
	b.chunkSent = true
	return b.answer.sendChunk(chunk)
}

// confirmEarly confirms a COMMIT whose answer is sent before the batch has ended.
func (b *batch) confirmEarly() error {
	if !b.committed || !b.leads {
		return nil
	}
	_, err := b.gate.confirmer.confirmedPosition(b.answer.ctx, b.term)
	if err != nil {
		return result.Errorf(result.OutcomeUnknown, "a COMMIT within the batch was not confirmed: %v", err)
	}
	return nil
}
