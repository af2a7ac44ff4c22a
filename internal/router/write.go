package router

import (
	"context"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/frontend"
	"github.com/papayacove/papayacove/internal/logevent"
	"github.com/papayacove/papayacove/internal/logfield"
	"github.com/papayacove/papayacove/internal/policy/retry"
	"github.com/papayacove/papayacove/internal/result"
	"github.com/sirupsen/logrus"
)

// redirectLimit is the largest number of redirects that one attempt follows.
const redirectLimit = 2

// runWrite sends a batch to the primary. It retries only after failures that say that the batch did not run, until the
// deadline of the batch.
func (s *session) runWrite(ctx context.Context, batch *frontend.Batch, emit func([]byte) error) (frontend.Outcome, error) {
	began := time.Now()
	deadline := began.Add(batch.Timeout)
	request := retry.Policy{}.New(retry.Write, deadline, began)
	for {
		changed := s.router.options.Terms.Changed()
		outcome, failed := s.tryPrimary(ctx, batch, deadline, emit)
		if failed == nil {
			counters.Add("writes", 1)
			return outcome, nil
		}
		decision := s.decideRetry(request, failed)
		s.logWrite(failed, decision)
		if !decision.Retry || waitForChange(ctx, changed, decision.Delay) != nil {
			return idleOutcome, withRetryAfter(failed, decision)
		}
	}
}

// decideRetry decides whether to make another attempt. UnknownGroup is retried while this daemon's configuration still
// has the group: the gate may not have received the configuration of a new workspace or group yet.
func (s *session) decideRetry(request *retry.Request, failed *result.Error) retry.Decision {
	code := failed.Code
	if code == result.UnknownGroup && s.hasGroup() {
		code = result.NotRunNotHolder
	}
	rowsSent := failed.Code == result.AnswerInterrupted
	return request.Failed(retry.Failure{Code: code, RetryAfter: failed.RetryAfter, RowsSent: rowsSent}, time.Now())
}

// hasGroup reports whether the session's workspace still uses its group.
func (s *session) hasGroup() bool {
	effective, ok := s.router.options.Workspaces.Workspace(s.info.Workspace)
	return ok && effective.HasGroup(s.info.Group)
}

// tryPrimary makes one attempt at the primary and follows redirects between daemons.
func (s *session) tryPrimary(ctx context.Context, batch *frontend.Batch, deadline time.Time, emit func([]byte) error) (frontend.Outcome, *result.Error) {
	current, ok := s.router.options.Terms.Current(s.info.Group)
	if !ok || current.Primary == "" {
		return idleOutcome, result.Errorf(result.NotRunNoPrimary, "group %s has no primary", s.info.Group)
	}
	daemon := s.router.options.Gates.Holder(current.Primary)
	for hops := 0; ; hops++ {
		req := s.request(batch, current.Primary, deadline)
		req.Access = api.ExecuteRequestAccessWrite
		req.Hops = hops
		outcome, _, failed := s.send(ctx, daemon, req, emit)
		if failed == nil || failed.Code != result.NotRunNotHolder || hops == redirectLimit || failed.Holder == "" || failed.Holder == daemon {
			return outcome, failed
		}
		daemon = failed.Holder
	}
}

// withRetryAfter sets the time after which the caller may retry, if a failure that says "not run" has none.
func withRetryAfter(failed *result.Error, decision retry.Decision) *result.Error {
	if failed.Code.IsNotRun() && failed.RetryAfter == 0 {
		failed.RetryAfter = max(decision.RetryAfter, retry.DefaultRetryAfter)
	}
	return failed
}

// waitForChange waits until changed is closed or limit has passed. It fails when ctx ends.
func waitForChange(ctx context.Context, changed <-chan struct{}, limit time.Duration) error {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-changed:
		return nil
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *session) logWrite(failed *result.Error, decision retry.Decision) {
	counters.Add("writes_"+failed.Code.String(), 1)
	logrus.WithFields(decision.Fields()).WithFields(logrus.Fields{
		logfield.Session: s.id, logfield.Group: s.info.Group, logfield.Code: int(failed.Code), logfield.Cause: failed.Reason,
	}).Info(logevent.WriteNotServed)
}
