package gate

import (
	"context"
	"errors"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/invariant"
	"github.com/papayacove/papayacove/internal/logevent"
	"github.com/papayacove/papayacove/internal/logfield"
	"github.com/papayacove/papayacove/internal/policy/readroute"
	"github.com/papayacove/papayacove/internal/result"
	"github.com/papayacove/papayacove/internal/target"
	"github.com/papayacove/papayacove/internal/telemetry"
	"github.com/sirupsen/logrus"
)

// conclude waits for the confirmation of what was committed and returns the last reply of the answer.
func (b *batch) conclude(ctx context.Context, transactionStatus byte, err error) *api.ExecuteReply {
	if err != nil {
		return b.fail(ctx, err)
	}
	if refusal := b.rerouteRefusal(transactionStatus); refusal != nil {
		return b.gate.refuse(b.req, refusal)
	}
	if b.isWithoutMajority {
		// The session must not rely on data that no majority is known to hold, so the reply has no position.
		return &api.ExecuteReply{Chunk: b.buffer, TransactionStatus: string(transactionStatus), AgeMs: b.age.Milliseconds()}
	}
	reply := &api.ExecuteReply{Chunk: b.buffer, TransactionStatus: string(transactionStatus), AgeMs: -1}
	if !b.leads && !invariant.Check(b.req.Access == api.ExecuteRequestAccessRead, "write_answered_by_primary", logrus.Fields{
		logfield.Session: b.req.SessionID, logfield.Target: b.req.Target,
	}) {
		return b.fail(ctx, result.Errorf(result.OutcomeUnknown, "target %s did not lead the group", b.gate.options.Spec.Name))
	}
	if !b.leads {
		reply.AgeMs = b.age.Milliseconds()
		b.log(reply, "replica")
		return reply
	}
	if b.needsConfirmation(transactionStatus) {
		position, err := b.gate.confirm(ctx, b, b.status, b.statusAt, time.Now())
		if err != nil {
			// A transaction block that began after the commit in the same batch must end with the failure.
			b.gate.endTransaction(b.req.SessionID)
			return b.fail(ctx, err)
		}
		reply.Position = position
	}
	reply.AgeMs = 0
	b.log(reply, "primary")
	return reply
}

// needsConfirmation reports whether the batch may have committed something: it contained a COMMIT, or it ended
// outside a transaction block without an error or a ROLLBACK.
func (b *batch) needsConfirmation(transactionStatus byte) bool {
	if b.committed {
		return true
	}
	return transactionStatus == statusIdle && !b.failed && !b.rolledBack
}

// rerouteRefusal returns a refusal when the target rejected the batch as read-only before anything ran, so that the
// entry daemon can send it to another target. It returns nil otherwise.
func (b *batch) rerouteRefusal(transactionStatus byte) *result.Error {
	if b.state != stateReadOnly || b.pinned || b.chunkSent || b.committed || transactionStatus != statusIdle {
		return nil
	}
	if b.req.Access == api.ExecuteRequestAccessRead {
		return result.Errorf(result.NotRunReadOnly, "the statement writes")
	}
	if b.plan.statusAfter && (b.status.Role != target.RolePrimary || b.status.Term != b.term.Term) {
		return result.Errorf(result.NotRunTermChanged, "target %s is %s in term %d", b.gate.options.Spec.Name, b.status.Role, b.status.Term)
	}
	return nil
}

// fail returns the reply for a failure, with a code that says which part of the batch may have run.
func (b *batch) fail(ctx context.Context, err error) *api.ExecuteReply {
	var known *result.Error
	if errors.As(err, &known) && known.Code != result.OutcomeUnknown {
		if known.Code.IsNotRun() && b.chunkSent {
			known = result.Errorf(result.TransactionLost, "%s", known.Reason)
		}
		return b.gate.refuse(b.req, known)
	}
	failed := b.classify(ctx, err)
	logrus.WithFields(logrus.Fields{
		logfield.Group: b.req.Group, logfield.Target: b.req.Target, logfield.Session: b.req.SessionID, logfield.Access: b.req.Access,
		logfield.Code: int(failed.Code), logfield.Reason: failed.Reason,
	}).Warn(logevent.BatchFailed)
	return failure(failed)
}

// releaseConnection returns the connection to the pool, or keeps it for the transaction.
func (b *batch) releaseConnection(transactionStatus byte, err error) {
	session := b.req.SessionID
	b.gate.mu.Lock()
	if b.gate.inflight[session] == b {
		delete(b.gate.inflight, session)
	}
	b.gate.mu.Unlock()
	keeps := err == nil && transactionStatus != statusIdle
	isAbandoned := b.answer.ctx.Err() != nil
	switch {
	case keeps && isAbandoned:
		b.gate.transactions.end(session)
		b.gate.releaseSlot(b.slot, b.admitted, !b.slot.rollBack())
	case keeps && b.pinned:
		if b.gate.transactions.idle(b, transactionStatus) {
			b.gate.releaseSlot(b.slot, b.admitted, !b.slot.rollBack())
		}
	case keeps:
		b.gate.transactions.begin(b, transactionStatus)
		if b.gate.released.covers(b.req) {
			// The session released the batch after isAbandoned was read and before the transaction was recorded.
			b.gate.endTransaction(session)
		}
	default:
		if b.pinned {
			b.gate.transactions.end(session)
		}
		b.gate.releaseSlot(b.slot, b.admitted, leavesBroken(err))
	}
}

// leavesBroken reports whether the connection must be closed after an error.
func leavesBroken(err error) bool {
	switch result.CodeOf(err) {
	case result.OK, result.AlreadyRan:
		return false
	default:
		return true
	}
}

// maxAge returns the allowed age of the data; it is negative when only the minimum position limits the read.
func (b *batch) maxAge() time.Duration {
	if b.req.MaxAgeMs < 0 {
		return readroute.NoMaxAge
	}
	return time.Duration(b.req.MaxAgeMs) * time.Millisecond
}

func (b *batch) log(reply *api.ExecuteReply, role string) {
	counters.Add("batches_"+role, 1)
	telemetry.Trace(logevent.BatchRan, logrus.Fields{
		logfield.Group: b.req.Group, logfield.Target: b.req.Target, logfield.Session: b.req.SessionID, logfield.Access: b.req.Access,
		logfield.Role: role, logfield.Position: reply.Position, logfield.AgeMs: reply.AgeMs, logfield.Duration: time.Since(b.asked),
	})
}
