package router

import (
	"context"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/frontend"
	"github.com/papayacove/papayacove/internal/result"
	"github.com/sirupsen/logrus"
)

const (
	// primaryWait is the time that a write waits for a primary before it is refused.
	primaryWait = 5 * time.Second
	// firstBackoff and lastBackoff bound the pauses between attempts that surely did not run.
	firstBackoff = 5 * time.Millisecond
	lastBackoff  = 40 * time.Millisecond
	// redirectLimit is the number of redirects of one attempt.
	redirectLimit = 2
)

// runWrite sends a batch to the primary. It repeats only what surely did not run.
func (s *session) runWrite(ctx context.Context, batch *frontend.Batch, emit func([]byte) error) (frontend.Outcome, error) {
	began := time.Now()
	deadline := began.Add(batch.Timeout)
	giveUp := began.Add(min(batch.Timeout, primaryWait))
	backoff := firstBackoff
	for attempt := 1; ; attempt++ {
		changed := s.router.options.Terms.Changed()
		outcome, failed := s.tryPrimary(ctx, batch, deadline, emit)
		if failed == nil {
			counters.Add("writes", 1)
			return outcome, nil
		}
		retry := s.mayRepeat(failed.Code) && time.Now().Add(backoff).Before(giveUp)
		s.logWrite(failed, attempt, retry, time.Since(began))
		if !retry {
			return idle, withRetryAfter(failed)
		}
		if err := waitForChange(ctx, changed, backoff); err != nil {
			return idle, withRetryAfter(failed)
		}
		backoff = min(2*backoff, lastBackoff)
	}
}

// tryPrimary makes one attempt at the primary and follows redirects between daemons.
func (s *session) tryPrimary(ctx context.Context, batch *frontend.Batch, deadline time.Time, emit func([]byte) error) (frontend.Outcome, *result.Error) {
	current, ok := s.router.options.Terms.Current(s.info.Group)
	if !ok || current.Primary == "" {
		return idle, result.Errorf(result.NotRunNoPrimary, "group %s has no primary", s.info.Group)
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

// mayRepeat reports whether a refusal may pass a little later. A gate that does not know of a new
// workspace or group yet learns of it, unless this daemon has learnt meanwhile that it is gone.
func (s *session) mayRepeat(code result.Code) bool {
	if code != result.UnknownGroup {
		return mayRepeat(code)
	}
	effective, ok := s.router.options.Workspaces.Workspace(s.info.Workspace)
	return ok && effective.HasGroup(s.info.Group)
}

// mayRepeat reports whether a write that was refused may find its way a little later. Nothing
// else is repeated, because the write may have run.
func mayRepeat(code result.Code) bool {
	switch code {
	case result.NotRunNoPrimary, result.NotRunNotHolder, result.NotRunDraining, result.NotRunNoMajority,
		result.NotRunNoSlot, result.NotRunUnreachable, result.NotRunTargetLeaving, result.NotRunTermChanged:
		return true
	default:
		return false
	}
}

// withRetryAfter sees to it that a refusal says when to come back.
func withRetryAfter(failed *result.Error) *result.Error {
	if failed.Code.IsNotRun() && failed.RetryAfter == 0 {
		failed.RetryAfter = defaultRetryAfter
	}
	return failed
}

// defaultRetryAfter is the time after which a refused caller may come back.
const defaultRetryAfter = 200 * time.Millisecond

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

func (s *session) logWrite(failed *result.Error, attempt int, retry bool, elapsed time.Duration) {
	counters.Add("writes_"+failed.Code.String(), 1)
	logrus.WithFields(logrus.Fields{
		"session": s.id, "group": s.info.Group, "code": int(failed.Code), "reason": failed.Reason,
		"attempt": attempt, "retry": retry, "elapsed": elapsed,
	}).Info("write_not_served")
}
