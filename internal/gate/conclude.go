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

// conclude confirms what was committed and composes the last reply.
func (b *batch) conclude(ctx context.Context, transactionStatus byte, err error) *api.ExecuteReply {
	if err != nil {
		return b.fail(ctx, err)
	}
	if refusal := b.reroute(transactionStatus); refusal != nil {
		return b.gate.refuse(b.req, refusal)
	}
	if b.isUnbacked {
		// Nothing may rely on data that no majority backs, so the reply has no position.
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
			// A block that was begun after the commit must not outlive the failure.
			b.gate.endTransaction(b.req.SessionID)
			return b.fail(ctx, err)
		}
		reply.Position = position
	}
	reply.AgeMs = 0
	b.log(reply, "primary")
	return reply
}

// needsConfirmation reports whether the batch may have committed something.
func (b *batch) needsConfirmation(transactionStatus byte) bool {
	if b.committed {
		return true
	}
	return transactionStatus == statusIdle && !b.failed && !b.rolledBack
}

// reroute returns a refusal when the target refused the batch before anything ran because it
// does not accept writes, so that the entry daemon can send it elsewhere.
func (b *batch) reroute(transactionStatus byte) *result.Error {
	if b.state != stateReadOnly || b.pinned || b.shipped || b.committed || transactionStatus != statusIdle {
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

// fail classifies a failure by what may have run.
func (b *batch) fail(ctx context.Context, err error) *api.ExecuteReply {
	var known *result.Error
	if errors.As(err, &known) && known.Code != result.OutcomeUnknown {
		if known.Code.IsNotRun() && b.shipped {
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

// giveBack returns the connection to the pool, or keeps it for the transaction.
func (b *batch) giveBack(transactionStatus byte, err error) {
	session := b.req.SessionID
	b.gate.mu.Lock()
	delete(b.gate.inflight, session)
	b.gate.mu.Unlock()
	keeps := err == nil && transactionStatus != statusIdle
	isAbandoned := b.answer.ctx.Err() != nil
	switch {
	case keeps && isAbandoned:
		b.gate.transactions.end(session)
		b.gate.finish(b.slot, b.admitted, !b.slot.rollBack())
	case keeps && b.pinned:
		if b.gate.transactions.idle(b, transactionStatus) {
			b.gate.finish(b.slot, b.admitted, !b.slot.rollBack())
		}
	case keeps:
		b.gate.transactions.begin(b, transactionStatus)
		if b.gate.released.covers(b.req) {
			// The release came after the look at the answer and before the transaction was noted.
			b.gate.endTransaction(session)
		}
	default:
		if b.pinned {
			b.gate.transactions.end(session)
		}
		b.gate.finish(b.slot, b.admitted, leavesBroken(err))
	}
}

// leavesBroken reports whether a connection is of no more use after an error.
func leavesBroken(err error) bool {
	switch result.CodeOf(err) {
	case result.OK, result.AlreadyRan:
		return false
	default:
		return true
	}
}

// maxAge returns the allowed age of the data; negative when the floor alone counts.
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
