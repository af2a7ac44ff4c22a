package engine

import "time"

// spend takes the right of the workspace to the operation, before it takes a slot, a connection or a place in a queue.
func (r *request) spend() (refusal *Refusal) {
	r.takenAt, r.hasSpent, refusal = r.session.engine.spend(r.session.identity.Workspace, r.startBy())
	return refusal
}

// returnUnused gives the right back if the operation certainly did not run.
func (r *request) returnUnused() {
	if r.hasSpent && !r.mayHaveRun {
		r.hasSpent = false
		r.session.engine.options.Quota.Return(r.session.identity.Workspace, r.takenAt)
	}
}

// spend takes the right to one operation of a workspace whose operations are limited, and returns when it was taken. It
// returns false when none was needed.
func (e *Engine) spend(workspace string, deadline time.Time) (takenAt time.Duration, hasSpent bool, refusal *Refusal) {
	if workspace == "" || e.options.Quota == nil || !e.isLimited(workspace) {
		return 0, false, nil
	}
	takenAt, err := e.options.Quota.Spend(workspace, deadline)
	if err != nil {
		return 0, false, refusalOf(err)
	}
	return takenAt, true, nil
}

func (e *Engine) isLimited(workspace string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	limit, ok := e.configuration.Callers.LimitOf(workspace)
	return ok && limit.RatePerS > 0
}
