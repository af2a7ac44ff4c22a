package gate

import (
	"context"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/policy/readroute"
	"github.com/papayacove/papayacove/internal/result"
)

// prepare checks a request, waits for its admission and acquires a connection. A batch within a transaction uses the
// connection of the transaction.
func (g *Gate) prepare(ctx context.Context, req *api.ExecuteRequest) (*batch, error) {
	b := &batch{gate: g, req: req, asked: time.Now()}
	if g.released.covers(req) {
		return nil, result.Errorf(result.NotRunDeadline, "the session has given batch %d up", req.Sequence)
	}
	if req.TransactionID != 0 {
		return b, g.resume(b)
	}
	if err := b.checkKey(); err != nil {
		return nil, err
	}
	if err := g.check(ctx, b); err != nil {
		return nil, err
	}
	admitted, err := g.queue.admit(ctx, req)
	if err != nil {
		return nil, err
	}
	b.slot, err = g.pool.acquire(ctx)
	if err != nil {
		admitted.free()
		return nil, err
	}
	b.admitted = admitted
	return b, nil
}

// resume assigns the connection of the session's transaction to a batch. A commit on a primary that was replaced can
// never be confirmed, so its transaction is rolled back before a COMMIT can reach the target.
func (g *Gate) resume(b *batch) error {
	resumed, err := g.transactions.resume(b.req)
	if err != nil {
		return err
	}
	resumed.connectionMu.Lock()
	defer resumed.connectionMu.Unlock()
	if g.transactions.isEndRequested(resumed) {
		g.transactions.end(b.req.SessionID)
		g.rollBack([]*transaction{resumed}, "silent")
		return result.Errorf(result.TransactionLost, "the connection of the transaction went silent")
	}
	b.slot, b.admitted, b.pinned = resumed.slot, resumed.admitted, true
	b.leads, b.term = resumed.leads, resumed.term
	b.inPipeline, b.failed = resumed.inPipeline, resumed.failed
	current, _ := g.options.Terms.Current(g.options.Group.Name)
	if !b.leads || current.Term == b.term.Term {
		return nil
	}
	g.transactions.end(b.req.SessionID)
	g.rollBack([]*transaction{resumed}, "term_changed")
	return result.Errorf(result.TransactionLost, "the transaction began in term %d, the group is in term %d", b.term.Term, current.Term)
}

// check refuses a batch that this target cannot run at the moment. It sets the term and the role for the batch.
func (g *Gate) check(ctx context.Context, b *batch) error {
	if g.draining.Load() {
		return result.Errorf(result.NotRunDraining, "target %s takes no new work", g.options.Spec.Name)
	}
	current, err := g.leads()
	b.term = current
	b.leads = err == nil
	switch {
	case b.leads:
		return g.checkPrimary(b)
	case b.req.Access == api.ExecuteRequestAccessWrite:
		return err
	default:
		return g.checkReplica(ctx, b)
	}
}

// checkPrimary refuses work that could not be confirmed. A primary that no majority is known to follow serves only
// reads whose allowed age covers the time since a majority last followed it.
func (g *Gate) checkPrimary(b *batch) error {
	if time.Now().UnixNano() < g.stoppedUntil.Load() {
		return result.Errorf(result.NotRunDraining, "a planned switchover of group %s is in progress", g.options.Group.Name)
	}
	admission := g.confirmer.admit(b.term)
	if admission.Allowed {
		return nil
	}
	if b.req.Access == api.ExecuteRequestAccessRead {
		position := g.options.Observer.Latest(g.options.Spec.Name).Status.AppliedPosition()
		decision := readroute.DecideAtPrimary(false, b.req.Floor, b.maxAge(), position, g.age.bound(position, time.Now()))
		if decision.Action == readroute.Run {
			b.isWithoutMajority = true
			b.age = decision.Age
			return nil
		}
	}
	return result.Errorf(admission.Code, "%s: %d of %d targets seen", admission.Reason, admission.Seen, admission.Needed).
		WithRetryAfter(admission.RetryAfter)
}

// isListedLeaving reports whether the platform lists the target's VM as leaving.
func (g *Gate) isListedLeaving() bool {
	return g.options.IsLeaving != nil && g.options.IsLeaving(g.options.Spec.Name)
}

// checkReplica refuses a read on a replica that is leaving, whose data is too old, or that does not apply the minimum
// position of the read soon enough.
func (g *Gate) checkReplica(ctx context.Context, b *batch) error {
	observation := g.options.Observer.Latest(g.options.Spec.Name)
	if observation.Status.Leaving || g.isListedLeaving() {
		return result.Errorf(result.NotRunTargetLeaving, "target %s is leaving", g.options.Spec.Name)
	}
	applied := observation.Status.AppliedPosition()
	decision := readroute.DecideAtReplica(b.req.Floor, b.maxAge(), applied, g.certainLag(applied), appliedWait)
	if decision.Action == readroute.WaitThenRun || decision.Action == readroute.Behind {
		// The newest observation may be older than the commit at the minimum position, so the replica is polled.
		wait := max(decision.Wait, unknownLagWait)
		if !g.applied.wait(ctx, b.req.Floor, wait) {
			return result.Errorf(result.NotRunBehind, "target %s: %s, applied %s, floor %s", g.options.Spec.Name, decision.Reason, applied, b.req.Floor)
		}
		// The observer keeps the status that was requested last, which may show an earlier position than the status
		// that ended the wait.
		applied = g.options.Observer.Latest(g.options.Spec.Name).Status.AppliedPosition().Max(b.req.Floor)
		decision = readroute.DecideAtReplica(b.req.Floor, b.maxAge(), applied, g.age.bound(applied, time.Now()), 0)
	}
	b.age = decision.Age
	if decision.Action != readroute.Run {
		return result.Errorf(decision.Code(), "target %s: %s, age %v, applied %s, floor %s",
			g.options.Spec.Name, decision.Reason, decision.Age, applied, b.req.Floor)
	}
	return nil
}
