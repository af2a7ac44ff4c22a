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

// counters count the batches of all gates by outcome.
var counters = expvar.NewMap("gate")

// cancelGrace is the time that a target gets to answer a batch that was cancelled at its deadline.
const cancelGrace = 150 * time.Millisecond

// readOnlySetting keeps a statement that was taken for a read from writing on the primary.
const readOnlySetting = "default_transaction_read_only"

// commitPattern finds the statements that may end a transaction with a commit.
var commitPattern = regexp.MustCompile(`(?i)\b(commit|end)\b`)

// SQLSTATE classes that the gate looks at.
const (
	stateReadOnly        = "25006"
	stateUniqueViolation = "23505"
	stateUndefinedTable  = "42P01"
)

// batch is one statement batch on its way through a connection.
type batch struct {
	gate     *Gate
	req      *api.ExecuteRequest
	asked    time.Time
	slot     *slot
	admitted *ticket
	answer   *answer
	// pinned is true when a transaction kept the connection, inPipeline when it is a pipeline.
	pinned     bool
	inPipeline bool
	// leads is true when the target is the primary of term.
	leads bool
	term  api.GroupTerm
	// age bounds the age of the data of a replica.
	age time.Duration
	// isUnbacked is true for a read on a primary without a majority, allowed by its age.
	isUnbacked bool

	plan    plan
	buffer  []byte
	shipped bool
	// committed is true once the answer shows a COMMIT; failed once it shows an error; rolledBack
	// when the newest statement was a ROLLBACK; began once it shows a BEGIN.
	committed  bool
	failed     bool
	rolledBack bool
	began      bool
	state      string
	statusAt   time.Time
	status     target.Status
}

// run sends the batch, relays the answer and gives the connection back.
func (b *batch) run(ctx context.Context) {
	interrupted := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(interrupted)
		b.interrupt(ctx)
	})
	transactionStatus, err := b.perform(ctx)
	if !stop() {
		<-interrupted
		b.slot.endInterrupt()
	}
	// The connection is free while the confirmation is awaited.
	b.giveBack(transactionStatus, err)
	b.answer.finish(b.conclude(ctx, transactionStatus, err))
	if b.shipped {
		time.AfterFunc(fetchTimeout, func() { b.gate.forget(b.answer) })
	}
}

// interrupt cancels a batch whose deadline has passed or whose primary was replaced, and gives the
// target a short time to answer.
func (b *batch) interrupt(ctx context.Context) {
	if !errors.Is(ctx.Err(), context.DeadlineExceeded) && !isReplaced(ctx) {
		return
	}
	_ = b.slot.connection.Conn.SetReadDeadline(time.Now().Add(cancelGrace))
	b.gate.cancelAt(b.slot)
}

// perform sends the batch and reads its answer up to the last message, which stays in the buffer.
// It returns the transaction status.
func (b *batch) perform(ctx context.Context) (byte, error) {
	if b.entersKey() && !b.opensBlock() {
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
		// The transaction has ended in a way that its text did not show.
		if err := b.askStatus(); err != nil {
			return 0, err
		}
	}
	if b.entersKey() && transactionStatus == statusTransaction {
		return b.enterKey(transactionStatus)
	}
	return transactionStatus, nil
}

// performPipeline reads the answers up to a Flush, and the position when they show a commit.
func (b *batch) performPipeline() (byte, error) {
	transactionStatus, err := b.relayPipeline()
	if err != nil || !b.committed || !b.leads {
		return transactionStatus, err
	}
	return transactionStatus, b.askStatus()
}

// askStatus asks the target for its position.
func (b *batch) askStatus() error {
	b.statusAt = time.Now()
	if err := b.write(appendQuery(nil, target.StatusQuery)); err != nil {
		return err
	}
	return b.readStatus()
}

// send writes encoded messages. Large ones are written beside reading, because a target that
// waits for its answers to be read does not read.
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

// relay passes the answer on up to ReadyForQuery.
func (b *batch) relay() (byte, error) {
	for {
		frame, err := b.slot.connection.ReadFrame()
		if err != nil {
			return 0, err
		}
		kind := frame[0]
		body := frame[messageHeaderBytes:]
		if b.plan.swallows(kind) {
			b.notePrepared(kind)
			continue
		}
		if err := b.look(kind, body); err != nil {
			return 0, err
		}
		b.buffer = append(b.buffer, frame...)
		if kind == messageReadyForQuery {
			return body[0], nil
		}
		// A CommandComplete may tell the caller that its statement is committed, so that it is
		// passed on only with what follows it.
		if len(b.buffer) >= chunkBytes && kind != messageCommandComplete {
			if err := b.ship(); err != nil {
				return 0, err
			}
		}
	}
}

// relayPipeline passes on the answers to a batch that ends in Flush.
func (b *batch) relayPipeline() (byte, error) {
	for remaining := b.plan.answers; remaining > 0; {
		frame, err := b.slot.connection.ReadFrame()
		if err != nil {
			return 0, err
		}
		kind := frame[0]
		if b.plan.swallows(kind) {
			b.notePrepared(kind)
			continue
		}
		if err := b.look(kind, frame[messageHeaderBytes:]); err != nil {
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
			if err := b.ship(); err != nil {
				return 0, err
			}
		}
	}
	return statusOpenPipeline, b.confirmEarly()
}

// look notes what an answer message tells about the batch.
func (b *batch) look(kind byte, body []byte) error {
	switch kind {
	case messageParseComplete:
		b.notePrepared(kind)
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

func (b *batch) notePrepared(kind byte) {
	if kind != messageParseComplete || len(b.plan.parsing) == 0 {
		return
	}
	name := b.plan.parsing[0]
	b.plan.parsing = b.plan.parsing[1:]
	if name != "" {
		b.slot.prepared[name] = struct{}{}
	}
}

// ship passes on a part of the answer. What shows a commit is passed on after its confirmation.
func (b *batch) ship() error {
	if err := b.confirmEarly(); err != nil {
		return err
	}
	chunk := b.buffer
	b.buffer = make([]byte, 0, chunkBytes+chunkBytes/4)
	b.shipped = true
	return b.answer.ship(chunk)
}

// confirmEarly confirms a COMMIT whose answer is passed on before the batch has ended.
func (b *batch) confirmEarly() error {
	if !b.committed || !b.leads {
		return nil
	}
	_, err := b.gate.confirmer.floor(b.answer.ctx, b.term)
	if err != nil {
		return result.Errorf(result.OutcomeUnknown, "a COMMIT within the batch was not confirmed: %v", err)
	}
	return nil
}
