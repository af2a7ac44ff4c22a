package router

import (
	"context"
	"sync"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/frontend"
	"github.com/papayacove/papayacove/internal/invariant"
	"github.com/papayacove/papayacove/internal/logevent"
	"github.com/papayacove/papayacove/internal/logfield"
	"github.com/papayacove/papayacove/internal/peer"
	"github.com/papayacove/papayacove/internal/result"
	"github.com/papayacove/papayacove/internal/telemetry"
	"github.com/sirupsen/logrus"
)

// session routes the batches of one caller connection.
type session struct {
	router   *Router
	info     frontend.Session
	id       string
	sequence uint64
	// rotation is the number of the session; it distributes sessions over targets of equal rank.
	rotation uint64

	// minPosition is the minimum position of strict reads. minPositionKnown is true once it was requested from the
	// gate of the primary, or set by a strict read or a write of the session.
	minPosition      api.Position
	minPositionKnown bool
	// written is the position of the last commit of the session: the minimum position of reads with an allowed age.
	written api.Position
	// writtenUnknown is true after the session has learned that a write had run before, at a position that it does not
	// know.
	writtenUnknown bool

	// mu guards running, the daemon that runs a batch of the session ("" for none), runningSequence, the number of the batch,
	// and block, the open transaction block (nil for none).
	mu              sync.Mutex
	running         string
	runningSequence uint64
	block           *block
}

// block is a transaction block, or an open pipeline, with the daemon and the target at which it runs. The ID is the
// sequence number of its first batch.
type block struct {
	daemon string
	target string
	id     uint64
	access api.ExecuteRequestAccess
}

// Position returns the highest position that reads of the session must not fall behind.
func (s *session) Position() api.Position {
	return s.minPosition.Max(s.written)
}

// Run executes a batch and records its latency; see frontend.SessionRunner.
func (s *session) Run(ctx context.Context, batch *frontend.Batch, emit func([]byte) error) (frontend.Outcome, error) {
	began := time.Now()
	outcome, err := s.run(ctx, batch, emit)
	key := telemetry.LatencyKey{Workspace: s.info.Workspace, Group: s.info.Group, Decision: decisionOf(batch)}
	now := time.Now()
	telemetry.StatementLatencies.Record(key, now.Sub(began), now)
	return outcome, err
}

// decisionOf returns the label of a batch in the latency statistics: "transaction", or its access.
func decisionOf(batch *frontend.Batch) string {
	if batch.InTransaction {
		return "transaction"
	}
	return string(batch.Access)
}

func (s *session) run(ctx context.Context, batch *frontend.Batch, emit func([]byte) error) (frontend.Outcome, error) {
	s.sequence++
	effective, ok := s.router.options.Workspaces.Workspace(s.info.Workspace)
	if ok && effective.StatementTimeout > 0 {
		batch.Timeout = min(batch.Timeout, effective.StatementTimeout)
	}
	if batch.InTransaction {
		return s.runInBlock(ctx, batch, emit)
	}
	if !ok || !effective.HasGroup(s.info.Group) {
		return idleOutcome, result.Errorf(result.UnknownGroup, "workspace %s has no group %s any more", s.info.Workspace, s.info.Group)
	}
	if err := s.checkTruncation(); err != nil {
		return idleOutcome, err
	}
	if batch.Access == api.ExecuteRequestAccessRead {
		return s.runRead(ctx, batch, emit)
	}
	return s.runWrite(ctx, batch, emit)
}

var idleOutcome = frontend.Outcome{TransactionStatus: frontend.StatusIdle}

// checkTruncation returns an AcknowledgedCut error, once, when a failover truncated a position that the session relies
// on. The session then relies on the start of the term that truncated it.
func (s *session) checkTruncation() error {
	position := s.Position()
	if position.IsZero() {
		return nil
	}
	truncating, isTruncated := s.router.options.Terms.TruncatedBy(s.info.Group, position)
	if !isTruncated {
		return nil
	}
	s.minPosition, s.written = truncating.Start, truncating.Start
	counters.Add("acknowledged_cut", 1)
	logrus.WithFields(logrus.Fields{
		logfield.Session: s.id, logfield.Group: s.info.Group, logfield.Position: position.String(), logfield.Start: truncating.Start.String(),
	}).Warn(logevent.AcknowledgedCut)
	return result.Errorf(result.AcknowledgedCut, "the session relied on %s; term %d starts at %s", position, truncating.Term, truncating.Start)
}

// request returns the request that runs a batch at a target.
func (s *session) request(batch *frontend.Batch, target string, deadline time.Time) *api.ExecuteRequest {
	effective, _ := s.router.options.Workspaces.Workspace(s.info.Workspace)
	return &api.ExecuteRequest{
		Workspace: s.info.Workspace, User: s.info.User, Group: s.info.Group, Target: target,
		SessionID: s.id, Sequence: s.sequence, Access: batch.Access, MaxAgeMs: -1,
		TimeoutMs:         max(time.Until(deadline).Milliseconds(), 0),
		ReplicationWaitMs: effective.ReplicationWait.Milliseconds(),
		Settings:          batch.Settings, Prepared: batch.Prepared, Messages: batch.Messages,
		OperationKey: batch.OperationKey,
	}
}

// runInBlock sends a batch to the target at which its transaction block runs. A failure ends the block.
func (s *session) runInBlock(ctx context.Context, batch *frontend.Batch, emit func([]byte) error) (frontend.Outcome, error) {
	open := s.currentBlock()
	if !invariant.Check(open != nil, "block_is_known", logrus.Fields{logfield.Session: s.id}) {
		return idleOutcome, result.Errorf(result.TransactionLost, "the transaction is not known")
	}
	req := s.request(batch, open.target, time.Now().Add(batch.Timeout))
	req.TransactionID = open.id
	req.Access = open.access
	outcome, _, failed := s.send(ctx, open.daemon, req, emit)
	if failed != nil {
		s.setBlock(nil)
		s.release(open.daemon)
		return idleOutcome, transactionFailure(failed)
	}
	return outcome, nil
}

// transactionFailure converts a failure within a transaction block. A batch that did not run, or whose answer was
// interrupted, means that the transaction is lost.
func transactionFailure(failed *result.Error) *result.Error {
	if failed.Code.IsNotRun() || failed.Code == result.AnswerInterrupted {
		return result.Errorf(result.TransactionLost, "%s", failed.Reason)
	}
	return failed
}

// send runs a request at a daemon and emits the answer to the caller. It reports whether any part was emitted.
func (s *session) send(ctx context.Context, daemon string, req *api.ExecuteRequest, emit func([]byte) error) (frontend.Outcome, bool, *result.Error) {
	s.setRunning(daemon)
	defer s.setRunning("")
	// When the caller is gone, its statement would occupy a slot without anyone to receive the answer.
	sequence := s.sequence
	stop := context.AfterFunc(ctx, func() { s.cancel(daemon, sequence) })
	defer stop()
	outcome, emitted, failed := s.relay(ctx, daemon, req, emit)
	if failed == nil {
		return outcome, emitted, nil
	}
	if emitted || !failed.Code.IsNotRun() {
		// The rest of the answer will not be fetched, so the gate need not keep it.
		s.release(daemon)
	}
	return outcome, emitted, failureAfterPart(req, emitted, failed)
}

// failureAfterPart converts a failure by whether the caller has received a part of the answer and whether the batch
// may have run. An interrupted answer to a write leaves its outcome unknown.
func failureAfterPart(req *api.ExecuteRequest, emitted bool, failed *result.Error) *result.Error {
	kept := invariant.Check(!emitted || !failed.Code.IsNotRun(), "no_refusal_after_an_answer", logrus.Fields{
		logfield.Session: req.SessionID, logfield.Target: req.Target, logfield.Code: int(failed.Code),
	})
	if kept && failed.Code != result.AnswerInterrupted {
		return failed
	}
	if req.Access == api.ExecuteRequestAccessWrite {
		return result.Errorf(result.OutcomeUnknown, "%s", failed.Reason)
	}
	return result.Errorf(result.AnswerInterrupted, "%s", failed.Reason)
}

// relay runs a request and emits its answer chunk by chunk. It reports whether any part was emitted.
func (s *session) relay(ctx context.Context, daemon string, req *api.ExecuteRequest, emit func([]byte) error) (frontend.Outcome, bool, *result.Error) {
	reply, err := s.router.execute(ctx, daemon, req)
	if err != nil {
		return idleOutcome, false, callError(daemon, req.Access, err)
	}
	emitted := false
	stream := reply.StreamID
	for number := uint64(1); ; number++ {
		if reply.Code != 0 {
			s.recordFailure(result.Code(reply.Code))
			return idleOutcome, emitted, replyError(reply)
		}
		if !s.isOfStream(reply, stream) {
			return idleOutcome, emitted, result.Errorf(result.AnswerInterrupted, "daemon %s sent a part of another answer", daemon)
		}
		if err := emit(reply.Chunk); err != nil {
			return idleOutcome, true, result.Errorf(result.AnswerInterrupted, "caller: %v", err)
		}
		emitted = true
		if reply.StreamID == 0 {
			return s.recordReply(daemon, req, reply), true, nil
		}
		reply, err = s.router.fetch(ctx, daemon, &api.FetchRequest{Target: req.Target, StreamID: reply.StreamID, Number: number})
		if err != nil {
			return idleOutcome, true, callError(daemon, req.Access, err)
		}
	}
}

// isOfStream reports whether a chunk belongs to the answer that is being fetched. The last chunk has no stream ID.
func (s *session) isOfStream(reply *api.ExecuteReply, stream uint64) bool {
	return invariant.Check(reply.StreamID == 0 || reply.StreamID == stream, "part_of_its_answer", logrus.Fields{
		logfield.Session: s.id, logfield.Stream: stream, logfield.Received: reply.StreamID,
	})
}

// recordReply updates the positions and the transaction block of the session from the last reply of an answer, and
// returns the outcome of the batch.
func (s *session) recordReply(daemon string, req *api.ExecuteRequest, reply *api.ExecuteReply) frontend.Outcome {
	if !reply.Position.IsZero() {
		s.minPosition = s.minPosition.Max(reply.Position)
		// A read with an allowed age does not set the minimum position of the strict reads that follow.
		s.minPositionKnown = s.minPositionKnown || req.MaxAgeMs < 0
		if req.Access == api.ExecuteRequestAccessWrite {
			s.written, s.writtenUnknown = s.written.Max(reply.Position), false
		}
	}
	outcome := idleOutcome
	if reply.TransactionStatus != "" {
		outcome.TransactionStatus = reply.TransactionStatus[0]
	}
	if outcome.TransactionStatus == frontend.StatusIdle {
		s.setBlock(nil)
	} else if s.currentBlock() == nil {
		s.setBlock(&block{daemon: daemon, target: req.Target, id: req.Sequence, access: req.Access})
	}
	return outcome
}

// recordFailure makes the next read request its minimum position anew after a write that had run before: the reply
// has no position, and the commit may be later than all that the session knows of.
func (s *session) recordFailure(code result.Code) {
	if code == result.AlreadyRan {
		s.minPositionKnown, s.writtenUnknown = false, true
	}
}

// replyError returns the error that a reply reports.
func replyError(reply *api.ExecuteReply) *result.Error {
	return &result.Error{
		Code:       result.Code(reply.Code),
		Reason:     reply.Reason,
		RetryAfter: time.Duration(reply.RetryAfterMs) * time.Millisecond,
		Holder:     reply.Holder,
	}
}

func (s *session) setRunning(daemon string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running, s.runningSequence = daemon, s.sequence
}

func (s *session) currentBlock() *block {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.block
}

func (s *session) setBlock(open *block) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.block = open
}

// Cancel requests the cancellation of the batch that the session is running, if any. It may be called concurrently.
func (s *session) Cancel() {
	s.mu.Lock()
	daemon, sequence := s.running, s.runningSequence
	s.mu.Unlock()
	if daemon != "" {
		s.cancel(daemon, sequence)
	}
}

// cancel requests the cancellation of one batch, which may have ended: the request must not reach the next one.
func (s *session) cancel(daemon string, sequence uint64) {
	req := &api.CancelRequest{SessionID: s.id, Sequence: sequence}
	s.router.notify(daemon,
		func() { s.router.options.Gates.Cancel(req) },
		func(ctx context.Context, client *peer.Client) { _, _ = client.Cancel(ctx, req) })
}

// Close rolls back the open transaction, if any, and releases the connection of the workspace.
func (s *session) Close() {
	if open := s.currentBlock(); open != nil {
		s.release(open.daemon)
	}
	s.router.releaseConnection(s.info.Workspace)
}

// release notifies a daemon that the session abandons its batches so far.
func (s *session) release(daemon string) {
	req := &api.ReleaseRequest{SessionID: s.id, Sequence: s.sequence}
	s.router.notify(daemon,
		func() { s.router.options.Gates.Release(req) },
		func(ctx context.Context, client *peer.Client) { _, _ = client.Release(ctx, req) })
}
