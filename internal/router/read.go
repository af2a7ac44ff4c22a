package router

import (
	"context"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/frontend"
	"github.com/papayacove/papayacove/internal/logevent"
	"github.com/papayacove/papayacove/internal/logfield"
	"github.com/papayacove/papayacove/internal/policy/confirm"
	"github.com/papayacove/papayacove/internal/policy/readroute"
	"github.com/papayacove/papayacove/internal/policy/retry"
	"github.com/papayacove/papayacove/internal/result"
	"github.com/papayacove/papayacove/internal/telemetry"
	"github.com/sirupsen/logrus"
)

// runRead sends a batch to a replica that has applied the minimum position of the read, or to the primary. It retries
// until the deadline of the batch, and treats the batch as a write when the target rejects it as one.
func (s *session) runRead(ctx context.Context, batch *frontend.Batch, emit func([]byte) error) (frontend.Outcome, error) {
	began := time.Now()
	deadline := began.Add(batch.Timeout)
	request := retry.Policy{}.New(retry.Read, deadline, began)
	for {
		changed := s.router.options.Terms.Changed()
		outcome, failed := s.tryTargets(ctx, batch, deadline, emit)
		if failed == nil {
			return outcome, nil
		}
		if failed.Code == result.NotRunReadOnly {
			return s.runWrite(ctx, batch, emit)
		}
		decision := s.decideRetry(request, failed)
		if !decision.Retry || waitForChange(ctx, changed, decision.Delay) != nil {
			counters.Add("reads_"+failed.Code.String(), 1)
			return idleOutcome, withRetryAfter(failed, decision)
		}
	}
}

// minPositionFor returns the minimum position of a read. That of a strict read includes every commit that was
// confirmed before the first strict read or write of the session, so that a caller that reconnects to another daemon
// reads its own writes.
func (s *session) minPositionFor(ctx context.Context, batch *frontend.Batch) (api.Position, *result.Error) {
	if batch.MaxAge >= 0 && !s.writtenUnknown {
		return s.written, nil
	}
	if s.minPositionKnown {
		return s.minPosition, nil
	}
	current, ok := s.router.options.Terms.Current(s.info.Group)
	if !ok || current.Primary == "" {
		return api.Position{}, result.Errorf(result.NotRunNoPrimary, "group %s has no primary", s.info.Group)
	}
	daemon := s.router.options.Gates.Holder(current.Primary)
	reply, err := s.router.confirmedPosition(ctx, daemon, s.info.Group)
	if err != nil {
		return api.Position{}, result.Errorf(result.NotRunNoPrimary, "floor of group %s: %v", s.info.Group, err)
	}
	if reply.Code != 0 {
		return api.Position{}, result.Errorf(result.NotRunNoPrimary, "floor of group %s: %s", s.info.Group, reply.Reason)
	}
	s.minPosition = s.minPosition.Max(reply.Position)
	s.minPositionKnown = true
	if s.writtenUnknown {
		s.written, s.writtenUnknown = s.minPosition, false
	}
	return s.minPosition, nil
}

// tryTargets makes one attempt at a read: it sends the batch to the targets of the group in the order of the policy,
// each at most once, until one serves it.
func (s *session) tryTargets(ctx context.Context, batch *frontend.Batch, deadline time.Time, emit func([]byte) error) (frontend.Outcome, *result.Error) {
	minPosition, failed := s.minPositionFor(ctx, batch)
	if failed != nil {
		return idleOutcome, failed
	}
	read := readroute.Read{Zone: s.router.options.Zone, MinPosition: minPosition, MaxAge: batch.MaxAge}
	attempt, decision := s.newAttempt(read, deadline)
	for !decision.Stop {
		s.logRead(decision)
		req := s.request(batch, decision.Candidate.Target, deadline)
		req.Floor = minPosition
		if batch.MaxAge >= 0 {
			req.MaxAgeMs = batch.MaxAge.Milliseconds()
		}
		outcome, emitted, refusal := s.send(ctx, decision.Candidate.Holder, req, emit)
		if refusal == nil {
			counters.Add("reads_"+decision.Candidate.Role.String(), 1)
			return outcome, nil
		}
		failed = refusal
		if refusal.Code == result.NotRunReadOnly && !emitted {
			return idleOutcome, refusal
		}
		s.recordReadRefusal(read, decision.Candidate.Target, refusal)
		decision = s.nextAttempt(attempt, refusal, emitted)
	}
	s.logRead(decision)
	reason := string(decision.Reason)
	if failed != nil {
		reason += ": " + failed.Reason
	}
	return idleOutcome, result.Errorf(decision.Code, "%s", reason).WithRetryAfter(decision.RetryAfter)
}

// newAttempt starts an attempt with the targets and their last refusals, and returns the first decision.
func (s *session) newAttempt(read readroute.Read, deadline time.Time) (*readroute.Attempt, readroute.Decision) {
	targets := s.targets()
	s.router.mu.Lock()
	defer s.router.mu.Unlock()
	for i := range targets {
		targets[i].Refusal = s.router.refusals[targets[i].Name]
	}
	return readroute.NewAttempt(read, targets, s.router.budget(s.info.Workspace), deadline, time.Now())
}

// nextAttempt returns the next decision of an attempt after a refusal.
func (s *session) nextAttempt(attempt *readroute.Attempt, refusal *result.Error, emitted bool) readroute.Decision {
	s.router.mu.Lock()
	defer s.router.mu.Unlock()
	failure := readroute.Failure{Code: refusal.Code, RetryAfter: refusal.RetryAfter, RowsSent: emitted}
	return attempt.Failed(failure, time.Now())
}

func (s *session) recordReadRefusal(read readroute.Read, target string, refusal *result.Error) {
	s.router.recordRefusal(target, readroute.Refusal{
		Code: refusal.Code, At: time.Now(), RetryAfter: refusal.RetryAfter, MinPosition: read.MinPosition, MaxAge: read.MaxAge,
	})
}

// targets returns the targets of the session's group that its reads may use, for the policy: the primary, and replicas
// in the zones of the workspace. Their order is rotated by session: the policy keeps the order of targets of equal rank,
// so without the rotation all sessions would read from the same one.
func (s *session) targets() []readroute.Target {
	group, _ := s.router.options.Gates.Group(s.info.Group)
	current, known := s.router.options.Terms.Current(s.info.Group)
	effective, _ := s.router.options.Workspaces.Workspace(s.info.Workspace)
	targets := make([]readroute.Target, 0, len(group.Targets))
	for i := range group.Targets {
		spec := group.Targets[(uint64(i)+s.rotation)%uint64(len(group.Targets))]
		holder := s.router.options.Gates.Holder(spec.Name)
		role := confirm.RoleReplica
		if known && current.Primary == spec.Name {
			role = confirm.RolePrimary
		} else if !effective.ReadsIn(spec.Zone) {
			continue
		}
		targets = append(targets, readroute.Target{
			Name: spec.Name, Zone: spec.Zone, Role: role, Holder: holder,
			HolderReachable: holder == s.router.options.Self || s.router.options.Peers.IsLive(holder),
		})
	}
	return targets
}

func (s *session) logRead(decision readroute.Decision) {
	if decision.Stop {
		logrus.WithFields(decision.Fields()).WithFields(logrus.Fields{logfield.Session: s.id, logfield.Group: s.info.Group}).Info(logevent.ReadNotServed)
		return
	}
	fields := decision.Fields()
	fields[logfield.Session], fields[logfield.Group], fields[logfield.Workspace] = s.id, s.info.Group, s.info.Workspace
	telemetry.Trace(logevent.ReadRouted, fields)
}
