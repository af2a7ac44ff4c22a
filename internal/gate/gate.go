package gate

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/logevent"
	"github.com/papayacove/papayacove/internal/logfield"
	"github.com/papayacove/papayacove/internal/observer"
	"github.com/papayacove/papayacove/internal/policy/confirm"
	"github.com/papayacove/papayacove/internal/result"
	"github.com/papayacove/papayacove/internal/target"
	"github.com/papayacove/papayacove/internal/telemetry"
	"github.com/papayacove/papayacove/internal/terms"
	"github.com/sirupsen/logrus"
)

const (
	// noPrimaryRetryAfter is the time after which a request that found no primary may be retried.
	noPrimaryRetryAfter = 200 * time.Millisecond
	// appliedWait is the longest time that a read waits for a replica to apply the read's minimum position.
	appliedWait = 100 * time.Millisecond
	// unknownLagWait is the time that a read waits for a replica whose lag is not known.
	unknownLagWait = 5 * time.Millisecond
	// idleTransactionCheckInterval is the time between two passes over idle transactions.
	idleTransactionCheckInterval = 100 * time.Millisecond
)

// Options configure a Gate.
type Options struct {
	// Self is the name of this daemon.
	Self string
	// Group and Spec describe the target.
	Group api.GroupSpec
	Spec  api.TargetSpec
	// Target holds the account that the daemon uses at targets.
	Target target.Options
	// Limits limit the length of the queue and the idle time of transactions.
	Limits api.LimitSettings
	// Observer polls the status of the targets of the group.
	Observer *observer.Observer
	// Terms holds the newest known terms.
	Terms *terms.Table
	// IsLeaving reports whether the platform lists a target's VM as leaving; nil means that none is listed.
	IsLeaving func(target string) bool
	// MaxSlots returns the largest number of slots that a workspace may use at a time, 0 for no limit; if nil, no
	// workspace is limited.
	MaxSlots func(workspace string) int
}

// Gate runs batches on one target and holds the connections to it. It is safe for concurrent use.
type Gate struct {
	options      Options
	pool         *pool
	queue        *queue
	confirmer    *confirmer
	transactions *transactions
	released     *releases
	workContext  workContext
	age          *ageTracker
	applied      *appliedWatch
	cancel       context.CancelFunc
	draining     atomic.Bool
	// stoppedUntil is the time, in Unix nanoseconds, until which no new work on the primary is admitted.
	stoppedUntil atomic.Int64

	mu sync.Mutex
	// answers holds the answers that are not fetched to the end, by ID.
	answers map[uint64]*answer
	// inflight holds the running batches, by session; the newest one if a session gave the one before up.
	inflight map[string]*batch
}

// New returns a gate without connections; they are opened when batches need them.
func New(options Options) *Gate {
	confirmer := newConfirmer(options.Observer)
	return &Gate{
		options:      options,
		pool:         newPool(options.Spec, options.Target),
		queue:        newQueue(options.Group.Name, options.Spec, options.Limits.QueueLength, options.MaxSlots),
		confirmer:    confirmer,
		transactions: newTransactions(),
		released:     newReleases(),
		age:          newAgeTracker(confirmer),
		applied:      newAppliedWatch(options.Spec, options.Target, options.Observer),
		answers:      make(map[uint64]*answer),
		inflight:     make(map[string]*batch),
	}
}

// Run maintains connections and transactions until ctx ends or Close is called.
func (g *Gate) Run(ctx context.Context) {
	ctx, g.cancel = context.WithCancel(ctx)
	go g.runEvery(ctx, maintenanceInterval, g.pool.maintain)
	go g.runEvery(ctx, idleTransactionCheckInterval, g.endIdleTransactions)
	go g.runEvery(ctx, maintenanceInterval, g.checkIdleTransactions)
	go g.runEvery(ctx, releaseRetention, g.released.expire)
	go g.sampleAge(ctx)
	go g.applied.run(ctx)
	go g.followPrimary(ctx)
}

func (g *Gate) runEvery(ctx context.Context, interval time.Duration, task func()) {
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

// sampleAge adds the position of the primary to the age tracker at each new observation, until ctx ends.
func (g *Gate) sampleAge(ctx context.Context) {
	for {
		_, changed := g.options.Observer.All()
		if current, ok := g.options.Terms.Current(g.options.Group.Name); ok && current.Primary != "" {
			g.age.recordPrimary(g.options.Observer.Latest(current.Primary), current)
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// Close closes the connections; the target rolls back the work that is in progress on them. Run must have been called.
func (g *Gate) Close() {
	g.cancel()
	g.pool.shut()
	for _, ended := range g.transactions.abandon(func(*transaction) bool { return true }) {
		g.releaseSlot(ended.slot, ended.admitted, true)
	}
}

// Drain stops the admission of new work and waits until no work is in progress, or ctx ends, or Resume is called.
func (g *Gate) Drain(ctx context.Context) {
	g.draining.Store(true)
	g.awaitIdle(ctx)
}

// awaitIdle waits until no work is in progress, ctx ends, or the gate is no longer draining.
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

// StopAdmission refuses new work on the primary for the time hold; 0 resumes admission. It returns the number of
// batches and transactions in progress.
func (g *Gate) StopAdmission(hold time.Duration) int {
	g.stoppedUntil.Store(time.Now().Add(hold).UnixNano())
	g.mu.Lock()
	busy := len(g.inflight)
	g.mu.Unlock()
	return busy + g.transactions.count()
}

// IsIdle reports whether no batch, answer or transaction is in progress.
func (g *Gate) IsIdle() bool {
	return !g.isBusy()
}

// Resume admits new work again after Drain.
func (g *Gate) Resume() {
	g.draining.Store(false)
	g.pool.reopen()
}

// Execute starts a batch and returns the first chunk of its answer; Fetch returns the others. A failure is reported
// in the reply.
func (g *Gate) Execute(ctx context.Context, req *api.ExecuteRequest) *api.ExecuteReply {
	deadline := time.Now().Add(time.Duration(req.TimeoutMs) * time.Millisecond)
	workCtx, cancel := context.WithDeadline(g.workContext.context(ctx), deadline)
	batch, err := g.prepare(workCtx, req)
	if err != nil {
		err = g.refusalWhenReplaced(workCtx, req, err)
		cancel()
		return g.refuse(req, err)
	}
	g.mu.Lock()
	batch.answer = newAnswer(ctx, g.freeAnswerID(), req.SessionID)
	batch.answer.sequence = req.Sequence
	g.answers[batch.answer.id] = batch.answer
	g.inflight[req.SessionID] = batch
	g.mu.Unlock()
	if g.released.covers(req) {
		// The session released the batch while it waited for a slot; a transaction that it begins is rolled back.
		batch.answer.cancel()
	}
	go func() {
		defer cancel()
		batch.run(workCtx)
	}()
	return g.next(context.WithoutCancel(ctx), batch.answer, 0)
}

// freeAnswerID returns an unused random ID, which is not 0. It is random so that none names an answer of an earlier gate of the
// target, whose session may still fetch. The caller holds mu.
func (g *Gate) freeAnswerID() uint64 {
	for {
		id := rand.Uint64()
		if _, taken := g.answers[id]; id != 0 && !taken {
			return id
		}
	}
}

// Fetch returns the chunk of an answer that the request numbers; chunk 0 is the one that Execute returned.
func (g *Gate) Fetch(ctx context.Context, req *api.FetchRequest) *api.ExecuteReply {
	g.mu.Lock()
	found, ok := g.answers[req.StreamID]
	g.mu.Unlock()
	if !ok {
		return failure(result.Errorf(result.AnswerInterrupted, "answer %d is not known", req.StreamID))
	}
	return g.next(ctx, found, req.Number)
}

// next returns a chunk of an answer, which is dropped after its last chunk.
func (g *Gate) next(ctx context.Context, a *answer, number uint64) *api.ExecuteReply {
	reply := a.next(ctx, number)
	if reply.StreamID == 0 {
		g.dropAnswer(a)
	}
	return reply
}

func (g *Gate) dropAnswer(a *answer) {
	g.mu.Lock()
	delete(g.answers, a.id)
	g.mu.Unlock()
	a.cancel()
}

// abandonAnswers drops the answers to batches of a session up to sequence, which the session no longer fetches.
func (g *Gate) abandonAnswers(session string, sequence uint64) {
	g.mu.Lock()
	var abandoned []*answer
	for _, a := range g.answers {
		if a.session == session && a.sequence <= sequence {
			abandoned = append(abandoned, a)
		}
	}
	g.mu.Unlock()
	for _, a := range abandoned {
		g.dropAnswer(a)
	}
}

// ConfirmedPosition returns the confirmed position of the group: a position at or after every commit that was
// acknowledged before the call. It fails with a result.Error when the target is not the primary or no majority is known
// to follow it.
func (g *Gate) ConfirmedPosition(ctx context.Context) (api.Position, error) {
	current, err := g.leads()
	if err != nil {
		return api.Position{}, err
	}
	return g.confirmer.confirmedPosition(ctx, current)
}

// leads returns the current term, and a result.Error unless the target is its primary.
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

// refuse logs a refusal and returns the reply that reports it.
func (g *Gate) refuse(req *api.ExecuteRequest, err error) *api.ExecuteReply {
	var refusal *result.Error
	if !errors.As(err, &refusal) {
		refusal = result.Errorf(result.Internal, "%v", err)
	}
	logrus.WithFields(logrus.Fields{
		logfield.Group: req.Group, logfield.Target: req.Target, logfield.Session: req.SessionID, logfield.Access: req.Access,
		logfield.Code: int(refusal.Code), logfield.Reason: refusal.Reason, logfield.Floor: req.Floor.String(),
	}).Info(logevent.BatchRefused)
	return failure(refusal)
}

// confirm decides whether the commit of a batch may be acknowledged, and returns its position. The status is that of
// the target after the batch, requested at asked; committed is the time at which the batch was answered.
func (g *Gate) confirm(ctx context.Context, b *batch, status target.Status, asked, committed time.Time) (api.Position, error) {
	g.options.Observer.RecordStatus(g.options.Spec.Name, status, asked)
	if status.LogPosition().IsZero() && status.Term == b.term.Term && status.Role == target.RolePrimary {
		// No commit was ever made in the group, so there is no log record to confirm.
		return g.confirmer.confirmedPosition(ctx, b.term)
	}
	commit := api.Position{Term: b.term.Term, Offset: status.Received}
	if status.Term != b.term.Term || status.Role != target.RolePrimary || status.LogTerm != b.term.Term {
		return commit, result.Errorf(result.OutcomeUnknown, "target %s shows term %d as %s after the commit, not term %d",
			g.options.Spec.Name, status.Term, status.Role, b.term.Term)
	}
	replicationWait := time.Duration(b.req.ReplicationWaitMs) * time.Millisecond
	decision := g.confirmer.confirm(ctx, b.term, commit, committed, replicationWait)
	fields := decision.Fields()
	fields[logfield.Group], fields[logfield.Session] = b.req.Group, b.req.SessionID
	switch decision.Outcome {
	case confirm.Confirmed:
		telemetry.Trace(logevent.CommitConfirmed, fields)
		return commit, nil
	case confirm.FenceOnly:
		counters.Add("commits_fence_only", 1)
		logrus.WithFields(fields).Warn(logevent.CommitFenceOnly)
		return commit, nil
	default:
		logrus.WithFields(fields).Warn(logevent.CommitUnconfirmed)
		return commit, result.Errorf(result.OutcomeUnknown, "the commit at %s was not confirmed: %s", commit, decision.Reason)
	}
}

// Status describes the target and its connections.
func (g *Gate) Status() api.HeldTargetStatus {
	observation := g.options.Observer.Latest(g.options.Spec.Name)
	open, free := g.pool.counts()
	status := api.HeldTargetStatus{
		Target: g.options.Spec.Name, Group: g.options.Group.Name, Role: string(observation.Status.Role), Term: observation.Status.Term,
		Slots: g.options.Spec.Slots, SlotsInUse: open - free, Queue: g.queue.length(),
		Received: observation.Status.LogPosition(), Applied: observation.Status.AppliedPosition(), AgeMs: -1,
	}
	if age := ageOf(g.age.bound(observation.Status.AppliedPosition(), time.Now())); age >= 0 {
		status.AgeMs = age.Milliseconds()
	}
	return status
}
