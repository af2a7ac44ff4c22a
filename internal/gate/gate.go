package gate

import (
	"context"
	"errors"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/observer"
	"github.com/papayacove/papayacove/internal/policy/confirm"
	"github.com/papayacove/papayacove/internal/policy/readroute"
	"github.com/papayacove/papayacove/internal/result"
	"github.com/papayacove/papayacove/internal/target"
	"github.com/papayacove/papayacove/internal/telemetry"
	"github.com/papayacove/papayacove/internal/terms"
	"github.com/sirupsen/logrus"
)

const (
	// noPrimaryRetryAfter is the time after which a request that found no primary may come back.
	noPrimaryRetryAfter = 200 * time.Millisecond
	// appliedWait is the time that a read waits for a replica to apply what the session relies on.
	appliedWait = 100 * time.Millisecond
	// appliedLook is the time that a read waits for a replica whose lag is not known.
	appliedLook = 5 * time.Millisecond
	// idleTransactionCheck is the time between two passes over idle transactions.
	idleTransactionCheck = 100 * time.Millisecond
)

// Options configure a Gate.
type Options struct {
	// Self is the name of this daemon.
	Self string
	// Group and Spec describe the target.
	Group api.GroupSpec
	Spec  api.TargetSpec
	// Target holds the account towards targets.
	Target target.Options
	// Limits bound queue and transactions.
	Limits api.LimitSettings
	// Observer watches the targets of the group.
	Observer *observer.Observer
	// Terms tells the newest term.
	Terms *terms.Table
	// SlotsOf returns the largest number of slots that a workspace uses at a time, 0 for all; nil
	// limits none.
	SlotsOf func(workspace string) int
}

// Gate holds the connections to one target.
type Gate struct {
	options      Options
	pool         *pool
	queue        *queue
	confirmer    *confirmer
	transactions *transactions
	leadership   leadership
	age          *ageTracker
	applied      *appliedWatch
	cancel       context.CancelFunc
	draining     atomic.Bool
	// stoppedUntil is the time, in Unix nanoseconds, until which no new writes are admitted.
	stoppedUntil atomic.Int64

	answerID atomic.Uint64
	mu       sync.Mutex
	answers  map[uint64]*answer
	inflight map[string]*slot
}

// New returns a gate that holds no connection yet.
func New(options Options) *Gate {
	confirmer := newConfirmer(options.Observer)
	return &Gate{
		options:      options,
		pool:         newPool(options.Spec, options.Target),
		queue:        newQueue(options.Group.Name, options.Spec, options.Limits.QueueLength, options.SlotsOf),
		confirmer:    confirmer,
		transactions: newTransactions(),
		age:          newAgeTracker(confirmer),
		applied:      newAppliedWatch(options.Spec, options.Target, options.Observer),
		answers:      make(map[uint64]*answer),
		inflight:     make(map[string]*slot),
	}
}

// Run maintains connections and transactions until ctx ends or Close is called.
func (g *Gate) Run(ctx context.Context) {
	ctx, g.cancel = context.WithCancel(ctx)
	go g.every(ctx, maintenanceInterval, g.pool.maintain)
	go g.every(ctx, idleTransactionCheck, g.endIdleTransactions)
	go g.sampleAge(ctx)
	go g.applied.run(ctx)
	go g.followLeadership(ctx)
}

func (g *Gate) every(ctx context.Context, interval time.Duration, task func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			task()
		}
	}
}

// sampleAge notes the positions of the primary as they come in.
func (g *Gate) sampleAge(ctx context.Context) {
	for {
		_, changed := g.options.Observer.All()
		if current, ok := g.options.Terms.Current(g.options.Group.Name); ok && current.Primary != "" {
			g.age.note(g.options.Observer.Latest(current.Primary), current)
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// Close closes the connections; what is in progress at the target is rolled back by it.
func (g *Gate) Close() {
	g.cancel()
	g.pool.shut()
	for _, ended := range g.transactions.abandon(func(*transaction) bool { return true }) {
		g.finish(ended.slot, ended.admitted, true)
	}
}

// Drain stops the admission of new work and waits for what is in progress.
func (g *Gate) Drain(ctx context.Context) {
	g.draining.Store(true)
	g.awaitIdle(ctx)
}

// awaitIdle waits until nothing is in progress, or the gate is taken back into use.
func (g *Gate) awaitIdle(ctx context.Context) {
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	for g.draining.Load() && g.isBusy() {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (g *Gate) isBusy() bool {
	g.mu.Lock()
	busy := len(g.inflight) > 0 || len(g.answers) > 0
	g.mu.Unlock()
	return busy || g.transactions.count() > 0
}

// StopAdmission refuses new work on the primary for a time; 0 resumes admission. It returns the
// number of batches and transactions in progress.
func (g *Gate) StopAdmission(hold time.Duration) int {
	g.stoppedUntil.Store(time.Now().Add(hold).UnixNano())
	g.mu.Lock()
	busy := len(g.inflight)
	g.mu.Unlock()
	return busy + g.transactions.count()
}

// IsIdle reports whether nothing is in progress at the target.
func (g *Gate) IsIdle() bool {
	return !g.isBusy()
}

// Resume takes the target back into use after Drain.
func (g *Gate) Resume() {
	g.draining.Store(false)
	g.pool.reopen()
}

// Execute runs a batch and returns the first chunk of its answer.
func (g *Gate) Execute(ctx context.Context, req *api.ExecuteRequest) *api.ExecuteReply {
	deadline := time.Now().Add(time.Duration(req.TimeoutMs) * time.Millisecond)
	work, cancel := context.WithDeadline(g.leadership.context(ctx), deadline)
	batch, err := g.prepare(work, req)
	if err != nil {
		err = g.refusalWhenReplaced(work, req, err)
		cancel()
		return g.refuse(req, err)
	}
	batch.answer = newAnswer(ctx, g.answerID.Add(1), req.SessionID)
	g.mu.Lock()
	g.answers[batch.answer.id] = batch.answer
	g.inflight[req.SessionID] = batch.slot
	g.mu.Unlock()
	go func() {
		defer cancel()
		batch.run(work)
	}()
	return g.next(context.WithoutCancel(ctx), batch.answer, 0)
}

// Fetch returns a further chunk of an answer.
func (g *Gate) Fetch(ctx context.Context, req *api.FetchRequest) *api.ExecuteReply {
	g.mu.Lock()
	found, ok := g.answers[req.StreamID]
	g.mu.Unlock()
	if !ok {
		return failure(result.Errorf(result.AnswerInterrupted, "answer %d is not known", req.StreamID))
	}
	return g.next(ctx, found, req.Number)
}

func (g *Gate) next(ctx context.Context, a *answer, number uint64) *api.ExecuteReply {
	reply := a.next(ctx, number)
	if reply.StreamID == 0 {
		g.forget(a)
	}
	return reply
}

func (g *Gate) forget(a *answer) {
	g.mu.Lock()
	delete(g.answers, a.id)
	g.mu.Unlock()
	a.cancel()
}

// abandonAnswers gives up the answers that a session no longer fetches.
func (g *Gate) abandonAnswers(session string) {
	g.mu.Lock()
	var abandoned []*answer
	for _, a := range g.answers {
		if a.session == session {
			abandoned = append(abandoned, a)
		}
	}
	g.mu.Unlock()
	for _, a := range abandoned {
		g.forget(a)
	}
}

// Cancel cancels the batch that a session is running.
func (g *Gate) Cancel(session string) bool {
	g.mu.Lock()
	running, ok := g.inflight[session]
	if ok {
		running.cancelled = true
	}
	g.mu.Unlock()
	if !ok {
		return false
	}
	g.cancelAt(running)
	return true
}

func (g *Gate) cancelAt(s *slot) {
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	err := target.CancelRequest(ctx, s.address, g.options.Target, s.connection.ProcessID, s.connection.SecretKey)
	if err != nil {
		logrus.WithFields(logrus.Fields{"group": g.options.Group.Name, "target": g.options.Spec.Name, "error": err}).Warn("cancel_failed")
	}
}

// Release rolls back what a session has open and gives up its answers.
func (g *Gate) Release(session string) bool {
	g.abandonAnswers(session)
	return g.endTransaction(session)
}

func (g *Gate) endTransaction(session string) bool {
	ended := g.transactions.abandon(func(t *transaction) bool { return t.session == session })
	g.rollBack(ended, "released")
	return len(ended) > 0
}

// ReleaseOwner rolls back what the sessions of a daemon have open.
func (g *Gate) ReleaseOwner(isGone func(owner string) bool) {
	ended := g.transactions.abandon(func(t *transaction) bool {
		owner, _, _ := strings.Cut(t.session, "/")
		return isGone(owner)
	})
	g.rollBack(ended, "daemon_gone")
}

func (g *Gate) endIdleTransactions() {
	limit := time.Duration(g.options.Limits.IdleTransactionTimeoutMs) * time.Millisecond
	ended := g.transactions.abandon(func(t *transaction) bool { return time.Since(t.lastUsed) > limit })
	g.rollBack(ended, "idle_in_transaction")
}

func (g *Gate) rollBack(ended []*transaction, reason string) {
	for _, t := range ended {
		logrus.WithFields(logrus.Fields{
			"group": g.options.Group.Name, "target": g.options.Spec.Name, "session": t.session, "reason": reason,
		}).Info("transaction_rolled_back")
		go func() {
			broken := !t.slot.rollBack()
			g.finish(t.slot, t.admitted, broken)
		}()
	}
}

// finish gives the connection and the admission back. A cancel request that is still on its way
// must not meet another session, so that a connection that was cancelled is closed.
func (g *Gate) finish(s *slot, admitted *ticket, broken bool) {
	g.mu.Lock()
	s.broken = s.broken || s.cancelled || broken
	g.mu.Unlock()
	g.pool.release(s)
	admitted.done()
}

// Floor returns the confirmed position of the group.
func (g *Gate) Floor(ctx context.Context) (api.Position, error) {
	current, err := g.leads()
	if err != nil {
		return api.Position{}, err
	}
	return g.confirmer.floor(ctx, current)
}

// leads returns the term in which the target is the primary.
func (g *Gate) leads() (api.GroupTerm, error) {
	current, ok := g.options.Terms.Current(g.options.Group.Name)
	if !ok || current.Primary == "" {
		return current, result.Errorf(result.NotRunNoPrimary, "group %s has no primary", g.options.Group.Name).
			WithRetryAfter(noPrimaryRetryAfter)
	}
	if current.Primary != g.options.Spec.Name {
		return current, result.Errorf(result.NotRunTermChanged, "the primary of term %d is %s", current.Term, current.Primary)
	}
	return current, nil
}

// prepare checks a request, and finds a connection for it.
func (g *Gate) prepare(ctx context.Context, req *api.ExecuteRequest) (*batch, error) {
	b := &batch{gate: g, req: req, asked: time.Now()}
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
		admitted.done()
		return nil, err
	}
	b.admitted = admitted
	return b, nil
}

// resume takes up the transaction of a session. A commit on a primary that was replaced can never
// be confirmed, so its transaction is rolled back before a COMMIT can reach the target.
func (g *Gate) resume(b *batch) error {
	resumed, err := g.transactions.resume(b.req)
	if err != nil {
		return err
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

// check refuses what this target cannot run at the moment.
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

// checkPrimary refuses work that could not be confirmed. A primary without a majority serves only
// reads whose allowed age covers the time since it was last backed.
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
		decision := readroute.AtPrimary(false, b.req.Floor, b.maxAge(), position, g.age.bound(position, time.Now()))
		if decision.Action == readroute.Run {
			b.isUnbacked = true
			b.age = decision.Age
			return nil
		}
	}
	return result.Errorf(admission.Code, "%s: %d of %d targets seen", admission.Reason, admission.Seen, admission.Needed).
		WithRetryAfter(admission.RetryAfter)
}

// checkReplica refuses reads on a replica that is leaving, too old, or too far behind to wait for.
func (g *Gate) checkReplica(ctx context.Context, b *batch) error {
	seen := g.options.Observer.Latest(g.options.Spec.Name)
	if seen.Status.Leaving {
		return result.Errorf(result.NotRunTargetLeaving, "target %s is leaving", g.options.Spec.Name)
	}
	applied := seen.Status.AppliedPosition()
	decision := readroute.AtReplica(b.req.Floor, b.maxAge(), applied, g.certainLag(applied), appliedWait)
	if decision.Action == readroute.WaitThenRun || decision.Action == readroute.Behind {
		// The newest answer may be older than the floor, so the replica itself is asked.
		wait := max(decision.Wait, appliedLook)
		if !g.applied.wait(ctx, b.req.Floor, wait) {
			return result.Errorf(result.NotRunBehind, "target %s: %s, applied %s, floor %s", g.options.Spec.Name, decision.Reason, applied, b.req.Floor)
		}
		// The observer keeps the answer that was asked for last, which may be an earlier one.
		applied = g.options.Observer.Latest(g.options.Spec.Name).Status.AppliedPosition().Max(b.req.Floor)
		decision = readroute.AtReplica(b.req.Floor, b.maxAge(), applied, g.age.bound(applied, time.Now()), 0)
	}
	b.age = decision.Age
	if decision.Action != readroute.Run {
		return result.Errorf(decision.Code(), "target %s: %s, age %v, applied %s, floor %s",
			g.options.Spec.Name, decision.Reason, decision.Age, applied, b.req.Floor)
	}
	return nil
}

// refuse logs a refusal and converts it to a reply.
func (g *Gate) refuse(req *api.ExecuteRequest, err error) *api.ExecuteReply {
	var refusal *result.Error
	if !errors.As(err, &refusal) {
		refusal = result.Errorf(result.Internal, "%v", err)
	}
	logrus.WithFields(logrus.Fields{
		"group": req.Group, "target": req.Target, "session": req.SessionID, "access": req.Access,
		"code": int(refusal.Code), "reason": refusal.Reason, "floor": req.Floor.String(),
	}).Info("batch_refused")
	return failure(refusal)
}

// confirm decides whether the batch may be acknowledged.
func (g *Gate) confirm(ctx context.Context, b *batch, status target.Status, asked, committed time.Time) (api.Position, error) {
	g.options.Observer.Report(g.options.Spec.Name, status, asked)
	if status.LogPosition().IsZero() && status.Term == b.term.Term && status.Role == target.RolePrimary {
		// Nothing was ever committed in the group, so there is no record to confirm.
		return g.confirmer.floor(ctx, b.term)
	}
	commit := api.Position{Term: b.term.Term, Offset: status.Received}
	if status.Term != b.term.Term || status.Role != target.RolePrimary || status.LogTerm != b.term.Term {
		return commit, result.Errorf(result.OutcomeUnknown, "target %s shows term %d as %s after the commit, not term %d",
			g.options.Spec.Name, status.Term, status.Role, b.term.Term)
	}
	replicationWait := time.Duration(b.req.ReplicationWaitMs) * time.Millisecond
	decision := g.confirmer.confirm(ctx, b.term, commit, committed, replicationWait)
	fields := decision.Fields()
	fields["group"], fields["session"] = b.req.Group, b.req.SessionID
	switch decision.Outcome {
	case confirm.Confirmed:
		telemetry.Trace("commit_confirmed", fields)
		return commit, nil
	case confirm.FenceOnly:
		counters.Add("commits_fence_only", 1)
		logrus.WithFields(fields).Warn("commit_fence_only")
		return commit, nil
	default:
		logrus.WithFields(fields).Warn("commit_unconfirmed")
		return commit, result.Errorf(result.OutcomeUnknown, "the commit at %s was not confirmed: %s", commit, decision.Reason)
	}
}

// Status describes the target and its connections.
func (g *Gate) Status() api.HeldTargetStatus {
	seen := g.options.Observer.Latest(g.options.Spec.Name)
	open, free := g.pool.counts()
	status := api.HeldTargetStatus{
		Target: g.options.Spec.Name, Group: g.options.Group.Name, Role: string(seen.Status.Role), Term: seen.Status.Term,
		Slots: g.options.Spec.Slots, SlotsInUse: open - free, Queue: g.queue.length(),
		Received: seen.Status.LogPosition(), Applied: seen.Status.AppliedPosition(), AgeMs: -1,
	}
	if age := ageOf(g.age.bound(seen.Status.AppliedPosition(), time.Now())); age >= 0 {
		status.AgeMs = age.Milliseconds()
	}
	return status
}
