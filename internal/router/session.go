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
	// rotation spreads the sessions over targets of equal rank.
	rotation uint64

	// floor is the position that strict reads rely on; known once it was asked for or written.
	floor      api.Position
	floorKnown bool
	// written is the position of the session's own last commit; reads with an allowed age rely on it.
	written api.Position

	mu      sync.Mutex
	running string
	block   *block
}

// block is a transaction block, or an open pipeline, and where it runs.
type block struct {
	daemon string
	target string
	id     uint64
	access api.ExecuteRequestAccess
}

// Position returns the highest position that the session relies on.
func (s *session) Position() api.Position {
	return s.floor.Max(s.written)
}

// Run executes a batch; see frontend.SessionRunner.
func (s *session) Run(ctx context.Context, batch *frontend.Batch, emit func([]byte) error) (frontend.Outcome, error) {
	began := time.Now()
	outcome, err := s.run(ctx, batch, emit)
	key := telemetry.LatencyKey{Workspace: s.info.Workspace, Group: s.info.Group, Decision: decisionOf(batch)}
	now := time.Now()
	telemetry.StatementLatencies.Record(key, now.Sub(began), now)
	return outcome, err
}

// decisionOf names what was decided about a batch.
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
		return idle, result.Errorf(result.UnknownGroup, "workspace %s has no group %s any more", s.info.Workspace, s.info.Group)
	}
	if err := s.checkCut(); err != nil {
		return idle, err
	}
	if batch.Access == api.ExecuteRequestAccessRead {
		return s.runRead(ctx, batch, emit)
	}
	return s.runWrite(ctx, batch, emit)
}

var idle = frontend.Outcome{TransactionStatus: frontend.StatusIdle}

// checkCut reports once when a failover cut positions that the session relies on.
func (s *session) checkCut() error {
	position := s.Position()
	if position.IsZero() {
		return nil
	}
	cutting, isCut := s.router.options.Terms.CutBy(s.info.Group, position)
	if !isCut {
		return nil
	}
	s.floor, s.written = cutting.Start, cutting.Start
	counters.Add("acknowledged_cut", 1)
	logrus.WithFields(logrus.Fields{
		logfield.Session: s.id, logfield.Group: s.info.Group, logfield.Position: position.String(), logfield.Start: cutting.Start.String(),
	}).Warn(logevent.AcknowledgedCut)
	return result.Errorf(result.AcknowledgedCut, "the session relied on %s; term %d starts at %s", position, cutting.Term, cutting.Start)
}

// request composes the message of a batch for a target.
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

// runInBlock sends a batch to where its transaction block runs.
func (s *session) runInBlock(ctx context.Context, batch *frontend.Batch, emit func([]byte) error) (frontend.Outcome, error) {
	open := s.currentBlock()
	if !invariant.Check(open != nil, "block_is_known", logrus.Fields{logfield.Session: s.id}) {
		return idle, result.Errorf(result.TransactionLost, "the transaction is not known")
	}
	req := s.request(batch, open.target, time.Now().Add(batch.Timeout))
	req.TransactionID = open.id
	req.Access = open.access
	outcome, _, failed := s.send(ctx, open.daemon, req, emit)
	if failed != nil {
		s.setBlock(nil)
		s.release(open.daemon)
		return idle, lostIfNotRun(failed)
	}
	return outcome, nil
}

// lostIfNotRun converts a refusal within a transaction block: the block itself is lost with it.
func lostIfNotRun(failed *result.Error) *result.Error {
	if failed.Code.IsNotRun() || failed.Code == result.AnswerInterrupted {
		return result.Errorf(result.TransactionLost, "%s", failed.Reason)
	}
	return failed
}

// send executes a request at a daemon and passes its answer on. It reports whether anything was
// passed on.
func (s *session) send(ctx context.Context, daemon string, req *api.ExecuteRequest, emit func([]byte) error) (frontend.Outcome, bool, *result.Error) {
	s.setRunning(daemon)
	defer s.setRunning("")
	// A caller that has gone needs no answer, and its statement holds a slot.
	stop := context.AfterFunc(ctx, s.Cancel)
	defer stop()
	outcome, emitted, failed := s.relay(ctx, daemon, req, emit)
	if failed == nil {
		return outcome, emitted, nil
	}
	if emitted || !failed.Code.IsNotRun() {
		// The rest of the answer is not fetched.
		s.release(daemon)
	}
	return outcome, emitted, afterPart(req, emitted, failed)
}

// afterPart converts a failure by what the caller has seen and by what may have run. An answer that
// was cut short says nothing of what a write has done.
func afterPart(req *api.ExecuteRequest, emitted bool, failed *result.Error) *result.Error {
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

// relay executes a request and passes its answer on part by part.
func (s *session) relay(ctx context.Context, daemon string, req *api.ExecuteRequest, emit func([]byte) error) (frontend.Outcome, bool, *result.Error) {
	reply, err := s.router.execute(ctx, daemon, req)
	if err != nil {
		return idle, false, callError(daemon, req.Access, err)
	}
	emitted := false
	stream := reply.StreamID
	for number := uint64(1); ; number++ {
		if reply.Code != 0 {
			return idle, emitted, replyError(reply)
		}
		if !s.belongs(reply, stream) {
			return idle, emitted, result.Errorf(result.AnswerInterrupted, "daemon %s sent a part of another answer", daemon)
		}
		if err := emit(reply.Chunk); err != nil {
			return idle, true, result.Errorf(result.AnswerInterrupted, "caller: %v", err)
		}
		emitted = true
		if reply.StreamID == 0 {
			return s.settle(daemon, req, reply), true, nil
		}
		reply, err = s.router.fetch(ctx, daemon, &api.FetchRequest{Target: req.Target, StreamID: reply.StreamID, Number: number})
		if err != nil {
			return idle, true, callError(daemon, req.Access, err)
		}
	}
}

// belongs reports whether a part is of the answer that is being fetched; the last one has no number.
func (s *session) belongs(reply *api.ExecuteReply, stream uint64) bool {
	return invariant.Check(reply.StreamID == 0 || reply.StreamID == stream, "part_of_its_answer", logrus.Fields{
		logfield.Session: s.id, logfield.Stream: stream, logfield.Received: reply.StreamID,
	})
}

// settle takes in the last part of an answer.
func (s *session) settle(daemon string, req *api.ExecuteRequest, reply *api.ExecuteReply) frontend.Outcome {
	if !reply.Position.IsZero() {
		s.floor = s.floor.Max(reply.Position)
		// A read with an allowed age does not fix the floor of the strict reads that follow.
		s.floorKnown = s.floorKnown || req.MaxAgeMs < 0
		if req.Access == api.ExecuteRequestAccessWrite {
			s.written = s.written.Max(reply.Position)
		}
	}
	outcome := idle
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
	s.running = daemon
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

// Cancel asks the gate that runs a batch of the session to cancel it.
func (s *session) Cancel() {
	s.mu.Lock()
	daemon := s.running
	s.mu.Unlock()
	if daemon == "" {
		return
	}
	req := &api.CancelRequest{SessionID: s.id}
	s.router.tell(daemon,
		func() { s.router.options.Gates.Cancel(req) },
		func(ctx context.Context, client *peer.Client) { _, _ = client.Cancel(ctx, req) })
}

// Close rolls back what is open.
func (s *session) Close() {
	if open := s.currentBlock(); open != nil {
		s.release(open.daemon)
	}
	s.router.countOut(s.info.Workspace)
}

func (s *session) release(daemon string) {
	req := &api.ReleaseRequest{SessionID: s.id, Sequence: s.sequence}
	s.router.tell(daemon,
		func() { s.router.options.Gates.Release(req) },
		func(ctx context.Context, client *peer.Client) { _, _ = client.Release(ctx, req) })
}
