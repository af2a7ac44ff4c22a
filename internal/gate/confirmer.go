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

// confirmer applies the acknowledgement rule to the commits of one primary.
type confirmer struct {
	observer *observer.Observer

	mu      sync.Mutex
	tracker *confirm.Tracker
}

func newConfirmer(o *observer.Observer) *confirmer {
	return &confirmer{observer: o}
}

// at runs decide on the tracker of the term with the newest answers, and returns the channel that
// is closed when newer answers are in.
func (c *confirmer) at(current api.GroupTerm, decide func(t *confirm.Tracker)) <-chan struct{} {
	all, changed := c.observer.All()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.tracker == nil || c.tracker.Term() != current.Term || c.tracker.Primary() != current.Primary {
		members := len(c.observer.Group().Targets)
		c.tracker = confirm.NewTracker(current.Primary, current.Term, members, confirm.Validity)
	}
	for _, seen := range all {
		if seen.Asked.IsZero() {
			continue
		}
		c.tracker.Observe(confirm.Answer{
			Target:   seen.Target,
			AskedAt:  seen.Asked,
			Term:     seen.Status.Term,
			Role:     seen.Role(),
			Received: seen.Status.LogPosition(),
		})
	}
	decide(c.tracker)
	return changed
}

// admit decides whether a write may be sent to the primary.
func (c *confirmer) admit(current api.GroupTerm) confirm.Admission {
	var admission confirm.Admission
	c.at(current, func(t *confirm.Tracker) { admission = t.Admit(time.Now()) })
	return admission
}

// confirm waits until a commit is confirmed or can never be. After replicationWait a commit that
// only the primary holds is confirmed by a majority that still follows it.
func (c *confirmer) confirm(ctx context.Context, current api.GroupTerm, commit api.Position, committed time.Time, replicationWait time.Duration) confirm.Decision {
	c.observer.Committing()
	decide := func(t *confirm.Tracker) confirm.Decision { return t.Decide(commit, committed, time.Now()) }
	return c.wait(ctx, current, committed.Add(replicationWait), decide)
}

// floor returns the position that a new session may rely on.
func (c *confirmer) floor(ctx context.Context, current api.GroupTerm) (api.Position, error) {
	requested := time.Now()
	c.observer.Committing()
	c.observer.Ask(current.Primary)
	decide := func(t *confirm.Tracker) confirm.Decision { return t.Floor(requested, time.Now()) }
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

// wait repeats a decision with newer answers until it is final. From fenceFrom on, FenceOnly is
// final as well.
func (c *confirmer) wait(ctx context.Context, current api.GroupTerm, fenceFrom time.Time, decide func(t *confirm.Tracker) confirm.Decision) confirm.Decision {
	var timer *time.Timer
	for {
		var decision confirm.Decision
		changed := c.at(current, func(t *confirm.Tracker) { decision = decide(t) })
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
