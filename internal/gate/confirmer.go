package gate

import (
	"context"
	"sync"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/observer"
	"github.com/papayacove/papayacove/internal/policy/confirm"
	"github.com/papayacove/papayacove/internal/result"
)

// confirmer applies the acknowledgement rule of the policy package confirm to the commits of one primary. It is safe
// for concurrent use.
type confirmer struct {
	observer *observer.Observer

	mu      sync.Mutex
	tracker *confirm.Tracker
}

func newConfirmer(o *observer.Observer) *confirmer {
	return &confirmer{observer: o}
}

// withTracker adds the newest observations to the tracker of the term and calls decide with it. It returns a channel
// that is closed when there are newer observations.
func (c *confirmer) withTracker(current api.GroupTerm, decide func(t *confirm.Tracker)) <-chan struct{} {
	all, changed := c.observer.All()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.tracker == nil || c.tracker.Term() != current.Term || c.tracker.Primary() != current.Primary {
		members := len(c.observer.Group().Targets)
		c.tracker = confirm.NewTracker(current.Primary, current.Term, members, confirm.Validity)
	}
	for _, observation := range all {
		if observation.AskedAt.IsZero() {
			continue
		}
		c.tracker.Observe(confirm.Status{
			Target:   observation.Target,
			AskedAt:  observation.AskedAt,
			Term:     observation.Status.Term,
			Role:     observation.Role(),
			Received: observation.Status.LogPosition(),
		})
	}
	decide(c.tracker)
	return changed
}

// admit decides whether a write may be sent to the primary.
func (c *confirmer) admit(current api.GroupTerm) confirm.Admission {
	var admission confirm.Admission
	c.withTracker(current, func(t *confirm.Tracker) { admission = t.Admit(time.Now()) })
	return admission
}

// confirm waits until a commit is confirmed, or can never be, or ctx ends. After replicationWait, a commit that too
// few targets hold is accepted while a majority still follows the primary (confirm.FenceOnly).
func (c *confirmer) confirm(ctx context.Context, current api.GroupTerm, commit api.Position, committed time.Time, replicationWait time.Duration) confirm.Decision {
	c.observer.RecordCommit()
	decide := func(t *confirm.Tracker) confirm.Decision { return t.Decide(commit, committed, time.Now()) }
	return c.wait(ctx, current, committed.Add(replicationWait), decide)
}

// confirmedPosition returns a position at or after every commit that was acknowledged before the call: the minimum
// position of the strict reads of a new session.
func (c *confirmer) confirmedPosition(ctx context.Context, current api.GroupTerm) (api.Position, error) {
	requested := time.Now()
	c.observer.RecordCommit()
	c.observer.PollNow(current.Primary)
	decide := func(t *confirm.Tracker) confirm.Decision { return t.MinPosition(requested, time.Now()) }
	decision := c.wait(ctx, current, requested, decide)
	switch decision.Outcome {
	case confirm.Confirmed, confirm.FenceOnly:
		return decision.Commit, nil
	case confirm.Refused:
		return api.Position{}, result.Errorf(result.NotRunTermChanged, "floor: %s", decision.Reason)
	default:
		return api.Position{}, result.Errorf(result.NotRunNoMajority, "floor: %s", decision.Reason)
	}
}

// wait repeats a decision with newer observations until it is final, and returns the last one when ctx ends. From
// fenceFrom on, FenceOnly is final as well.
func (c *confirmer) wait(ctx context.Context, current api.GroupTerm, fenceFrom time.Time, decide func(t *confirm.Tracker) confirm.Decision) confirm.Decision {
	var timer *time.Timer
	for {
		var decision confirm.Decision
		changed := c.withTracker(current, func(t *confirm.Tracker) { decision = decide(t) })
		if decision.Outcome == confirm.Confirmed || decision.Outcome == confirm.Refused {
			return decision
		}
		if decision.Outcome == confirm.FenceOnly && !time.Now().Before(fenceFrom) {
			return decision
		}
		if timer == nil {
			timer = time.NewTimer(max(time.Until(fenceFrom), 0))
			defer timer.Stop()
		}
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
			return decision
		}
	}
}
