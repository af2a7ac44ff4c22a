package feed

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/clock"
	"github.com/papayacove/papayacove/internal/logevent"
	"github.com/papayacove/papayacove/internal/logfield"
	"github.com/papayacove/papayacove/internal/objectstore"
	"github.com/papayacove/papayacove/internal/policy/watching"
)

const (
	// stepInterval is the time between two requests to other daemons.
	stepInterval = 10 * time.Millisecond
	// peerTimeout bounds a request to another daemon, without its wait.
	peerTimeout = time.Second
	// startDelay is the time after the start for which a daemon that knows of no others waits before its first watch: daemons
	// that start together soon learn of each other, and most of them then leave the store alone.
	startDelay = 700 * time.Millisecond
	// maxTryTime is the time after which a call asks no further daemon. The next call leaves out those that were silent.
	maxTryTime = time.Second
	// checkWait is the wait of a watch at the store that only checks what others answer, or is the first after their
	// answers: its own answer and proof come at once, and a store that does not answer is noticed early.
	checkWait = time.Millisecond
)

// errNoSource means that no source may be asked at present.
var errNoSource = errors.New("no source to ask")

// follower follows one kind. It implements objectstore.Source: each call is answered by the source that is chosen for it.
type follower struct {
	options Options
	kind    KindOptions
	hub     *hub

	started time.Duration
	// assigned is closed when the daemon has got a role other than RoleDirect.
	assigned chan struct{}

	mu      sync.Mutex
	chooser *watching.Chooser
	// awaited is true until assigned is closed.
	awaited bool

	// The following fields are used by the goroutine of run only.

	// era and revision are what has been applied.
	era, revision uint64
	// unapplied are the names of the objects whose newest version could not be applied.
	unapplied map[string]bool
	// pending is the answer that is being applied.
	pending answer
	// proof is the newest time of the boot clock up to which all is known here.
	proof    time.Duration
	hasProof bool
	// source is the source of the last answer.
	source watching.Source
	// failedSince is true if another daemon has failed since the last answer.
	failedSince bool
	// failing holds how the sources failed last that have not answered since.
	failing map[string]watching.Failure
	// nextStoreCall is the earliest time of the next watch at the store.
	nextStoreCall time.Duration
}

// answer is what a source has answered.
type answer struct {
	list    api.ObjectList
	byStore bool
	// asOf is the time of the boot clock up to which the objects are complete.
	asOf   time.Duration
	proven bool
	// failedAt is the last failure of the other daemon.
	failedAt time.Duration
}

// query is a call of objectstore.Source.
type query struct {
	isList bool
	after  uint64
	wait   time.Duration
}

func newFollower(options Options, kind KindOptions) *follower {
	return &follower{
		options: options, kind: kind, started: options.Now(), assigned: make(chan struct{}), awaited: true, hub: newHub(kind.HoldsKeys && options.RevokeWithin > 0, options.Now, kind.PassOn),
		chooser: watching.NewChooser(options.Random), unapplied: make(map[string]bool), failing: make(map[string]watching.Failure),
	}
}

func (f *follower) assign(a watching.Assignment) {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.chooser.Role()
	f.chooser.Assign(a, f.options.Now())
	if before == a.Role {
		return
	}
	if before == watching.RoleDirect && f.awaited {
		f.awaited = false
		close(f.assigned)
	}
	logrus.WithFields(logrus.Fields{
		logfield.Kind: f.kind.Kind, logfield.Role: a.Role.String(), logfield.Before: before.String(), logfield.Daemons: a.Daemons, logfield.Watchers: a.Watchers,
	}).Info(logevent.FeedRoleChanged)
}

func (f *follower) run(ctx context.Context) error {
	options := objectstore.FollowOptions{
		Kinds: []string{f.kind.Kind}, Wait: f.waits(watching.RoleDirect).Store, Interval: stepInterval, MaxRetryDelay: f.kind.MaxRetryDelay,
		AfterCall: f.afterCall, OnRestore: f.kind.OnRestore,
	}
	return objectstore.FollowSource(ctx, f, options, f.apply)
}

// waits returns the waits of this kind in a role.
func (f *follower) waits(role watching.Role) watching.Waits {
	bounds := watching.Bounds{ApplyWithin: f.options.ApplyWithin, StoreTimeout: f.options.StoreTimeout}
	if f.kind.HoldsKeys {
		bounds.RevokeWithin = f.options.RevokeWithin
	}
	return watching.DecideWaits(bounds, role)
}

// List implements objectstore.Source.
func (f *follower) List(ctx context.Context, _ string) (api.ObjectList, error) {
	return f.ask(ctx, query{isList: true})
}

// Watch implements objectstore.Source. A wait that is shorter than those of the role takes precedence.
func (f *follower) Watch(ctx context.Context, after uint64, wait time.Duration, _ ...string) (api.ObjectList, error) {
	f.awaitRole(ctx)
	return f.ask(ctx, query{after: after, wait: wait})
}

// awaitRole waits until startDelay after the start, and less if the daemon gets a role or ctx ends.
func (f *follower) awaitRole(ctx context.Context) {
	left := f.started + startDelay - f.options.Now()
	if left <= 0 {
		return
	}
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-f.assigned:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// ask asks one source after the other until one answers.
func (f *follower) ask(ctx context.Context, q query) (api.ObjectList, error) {
	f.mu.Lock()
	sources, role := f.chooser.Next(f.options.Now()), f.chooser.Role()
	f.mu.Unlock()
	failure, tried := error(nil), time.Duration(0)
	for _, s := range sources {
		if tried > maxTryTime {
			break
		}
		began := f.options.Now()
		a, err := f.askSource(ctx, s, role, q)
		if s.Tier != watching.TierStore {
			tried += f.options.Now() - began
		}
		if ctx.Err() != nil {
			return api.ObjectList{}, ctx.Err()
		}
		if err == nil || errors.Is(err, objectstore.ErrCompacted) || errors.Is(err, objectstore.ErrRestored) {
			f.accept(s, role, a)
			return a.list, err
		}
		f.reject(s, err)
		failure = err
	}
	if failure == nil {
		failure = fmt.Errorf("%w: %w", objectstore.ErrUnavailable, errNoSource)
	}
	if !errors.Is(failure, objectstore.ErrUnavailable) && len(sources) > 1 {
		failure = fmt.Errorf("%w: %w", objectstore.ErrUnavailable, failure)
	}
	return api.ObjectList{}, failure
}

// askSource asks one source.
func (f *follower) askSource(ctx context.Context, s watching.Source, role watching.Role, q query) (answer, error) {
	waits := f.waits(role)
	if s.Tier == watching.TierStore {
		q.wait = min(q.wait, waits.Store)
		if s.IsCheck || f.source.Tier > watching.TierStore {
			q.wait = checkWait
		}
		return f.askStore(ctx, q)
	}
	q.wait = min(q.wait, waits.Peer)
	a, err := f.askPeer(ctx, s.Peer, q)
	if errors.Is(err, errLarge) {
		return f.askStore(ctx, query{isList: q.isList, after: q.after})
	}
	return a, err
}

// askStore asks the store, which proves the time at which it was asked.
func (f *follower) askStore(ctx context.Context, q query) (answer, error) {
	if !q.isList {
		if err := clock.Sleep(ctx, f.nextStoreCall-f.options.Now()); err != nil {
			return answer{}, err
		}
	}
	a := answer{byStore: true, proven: true, asOf: f.options.Now()}
	var err error
	if q.isList {
		storeCalls.Add("list_"+f.kind.Kind, 1)
		a.list, err = f.options.Store.List(ctx, f.kind.Kind)
	} else {
		storeCalls.Add("watch_"+f.kind.Kind, 1)
		a.list, err = f.options.Store.Watch(ctx, q.after, q.wait, f.kind.Kind)
	}
	f.nextStoreCall = f.options.Now() + f.kind.Interval/2 + f.options.Random(f.kind.Interval/2+1)
	return a, err
}

// askPeer asks another daemon.
func (f *follower) askPeer(ctx context.Context, peer watching.Daemon, q query) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, q.wait+peerTimeout)
	defer cancel()
	request := &api.FeedRequest{Kind: f.kind.Kind, List: q.isList, Era: f.era, After: f.revision, WaitMs: q.wait.Milliseconds(), ProofAgeUs: -1}
	sent := f.options.Now()
	if f.hasProof {
		request.ProofAgeUs = (sent - f.proof).Microseconds()
	}
	peerCalls.Add(f.kind.Kind, 1)
	reply, err := f.options.Peers.Feed(ctx, peer.Address, request)
	if err != nil {
		return answer{}, err
	}
	received := f.options.Now()
	list, err := listOf(f.kind.Kind, request, reply)
	a := answer{list: list, failedAt: received - time.Duration(reply.SettledMs)*time.Millisecond}
	if reply.HasProof {
		a.proven = true
		a.asOf = watching.DateProof(sent, received, time.Duration(reply.ProofOffsetUs)*time.Microsecond)
	}
	return a, err
}

// accept records that a source has answered.
func (f *follower) accept(s watching.Source, role watching.Role, a answer) {
	now := f.options.Now()
	isStale := !a.byStore && (!a.proven || now-a.asOf > f.waits(role).StaleAfter)
	f.mu.Lock()
	f.chooser.Succeeded(s, now, isStale)
	f.mu.Unlock()
	switch {
	case !a.byStore:
		f.recordFailure(a.failedAt)
	case f.failedSince && !s.IsCheck && f.source.Tier > watching.TierStore:
		// Whether the daemons that failed had lost the store is not known.
		f.recordFailure(now)
	}
	if f.source.Tier != s.Tier && !s.IsCheck {
		f.logSwitch(s)
	}
	if !s.IsCheck {
		f.source, f.failedSince = s, false
	}
	delete(f.failing, s.Name())
	f.pending = a
}

// reject records that a source has failed.
func (f *follower) reject(s watching.Source, err error) {
	why := failureOf(err)
	f.mu.Lock()
	f.chooser.Failed(s, f.options.Now(), why)
	f.mu.Unlock()
	if s.Tier == watching.TierStore {
		f.hub.stopServing()
	} else {
		f.failedSince = true
	}
	failures.Add(why.String(), 1)
	log := logrus.WithFields(logrus.Fields{
		logfield.Kind: f.kind.Kind, logfield.Source: s.Name(), logfield.Zone: s.Peer.Zone, logfield.Reason: why.String(), logfield.Error: err,
	})
	if before, isFailing := f.failing[s.Name()]; !isFailing || before != why {
		log.Info(logevent.FeedSourceFailed)
	}
	f.failing[s.Name()] = why
}

func failureOf(err error) watching.Failure {
	switch {
	case errors.Is(err, errLost):
		return watching.FailureLost
	case errors.Is(err, errBehind):
		return watching.FailureBehind
	case errors.Is(err, errInvalid):
		return watching.FailureInvalid
	}
	return watching.FailureSilent
}

func (f *follower) logSwitch(s watching.Source) {
	switches.Add(s.Tier.String(), 1)
	logrus.WithFields(logrus.Fields{
		logfield.Kind: f.kind.Kind, logfield.Source: s.Name(), logfield.Tier: s.Tier.String(), logfield.Before: f.source.Tier.String(),
		logfield.Era: f.era, logfield.Revision: f.revision,
	}).Info(logevent.FeedSourceChanged)
	setSource(f.kind.Kind, s.Tier)
}

// recordFailure records when following has failed.
func (f *follower) recordFailure(at time.Duration) {
	f.hub.fail(at)
	if f.kind.OnFailure != nil {
		f.kind.OnFailure(at)
	}
}

// apply applies what is new or changed.
func (f *follower) apply(list api.ObjectList) {
	f.era, f.revision = list.Era, list.Revision
	for _, o := range list.Objects {
		delete(f.unapplied, o.Name)
		if err := f.kind.Apply(o); err != nil {
			f.unapplied[o.Name] = true
		}
	}
	f.hub.apply(list)
}

// afterCall records what the last call proves, once it has been applied.
func (f *follower) afterCall(err error) {
	switch {
	case err == nil:
		f.hub.confirm(f.pending.asOf, f.pending.proven, f.pending.byStore)
		if f.pending.proven {
			f.prove(f.pending.asOf)
		}
	case errors.Is(err, objectstore.ErrCompacted), errors.Is(err, objectstore.ErrRestored):
	default:
		f.hub.stopServing()
		f.recordFailure(f.options.Now())
	}
}

// prove records that all is known up to a time, and passes it on unless something known could not be applied.
func (f *follower) prove(asOf time.Duration) {
	if f.hasProof && asOf <= f.proof {
		return
	}
	f.proof, f.hasProof = asOf, true
	if len(f.unapplied) > 0 {
		return
	}
	setProof(f.kind.Kind, asOf)
	if f.kind.OnProof != nil {
		f.kind.OnProof(asOf)
	}
}
