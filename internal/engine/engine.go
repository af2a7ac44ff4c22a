package engine

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/clock"
	"github.com/papayacove/papayacove/internal/logevent"
	"github.com/papayacove/papayacove/internal/logfield"
	"github.com/papayacove/papayacove/internal/policy/callers"
	"github.com/papayacove/papayacove/internal/policy/currency"
	"github.com/papayacove/papayacove/internal/policy/takeover"
)

// Options holds the settings and the dependencies of an Engine.
type Options struct {
	// Name is the name of the daemon.
	Name string
	// Zone is the availability zone of the daemon.
	Zone          string
	Dialer        Dialer
	Promoter      Promoter
	PromotionLock PromotionLock
	// LockSettler completes the records of promotion locks; nil if they stay as they are.
	LockSettler LockSettler
	// TargetLister lists the targets for promotions; nil if the daemon always knows all.
	TargetLister TargetLister
	// LossRegistry keeps the lost replicas for daemons that start later; nil if they are not kept.
	LossRegistry LossRegistry
	// Peers reaches the other daemons; nil if every daemon connects to all targets itself.
	Peers Peers
	// DrainTimeout is the time after which a leaving target gets no new work. The engine sends none in the last
	// drainReserve of it.
	DrainTimeout time.Duration
	// RevokeWithin is the time after which no statement of a withdrawn key may run; 0 for no such bound.
	RevokeWithin time.Duration
	// Quota limits the operations of workspaces; nil if they are not limited.
	Quota Quota
}

// Engine serves the sessions of one daemon. Its methods may be called concurrently.
type Engine struct {
	options Options
	// stopping is true from the start of a planned stop, closing from the time when sessions are closed.
	stopping atomic.Bool
	closing  atomic.Bool
	// transactionsOver is true from the time of a planned stop at which open transactions are rolled back.
	transactionsOver atomic.Bool
	// concluding is true from the time of a planned stop at which the last callers get final answers. No statement of a
	// caller is sent to a target then.
	concluding atomic.Bool
	// plannedStop is nil before a planned stop.
	plannedStop atomic.Pointer[plannedStop]
	// isolated is true while the daemon is partitioned from most targets.
	isolated atomic.Bool
	// probesRefused is the number of probes since the last one that this daemon answered as ready.
	probesRefused atomic.Int64
	nextID        atomic.Uint64
	// relayed is the number of statements and open transactions that run for other daemons.
	relayed atomic.Int64
	// relayNumbers are the numbers of the open transactions that run for other daemons.
	relayNumbers  transactionNumbers
	relaySessions relaySessions
	// relayTransactionsEnded is true once no transaction of another daemon is kept.
	relayTransactionsEnded atomic.Bool
	// relayWaits ends when the statements of other daemons have to stop waiting.
	relayWaits    context.Context
	endRelayWaits context.CancelFunc
	// promotions counts the promotions in progress.
	promotions sync.WaitGroup
	// directoryFailed is the time of the boot clock, in nanoseconds, of the last failure to follow the target
	// entries. It is initialized with the start of the engine.
	directoryFailed atomic.Int64
	// directoryFailingSince is the time of the boot clock, in nanoseconds, of the first of those failures with less
	// than directoryFailureGap between them.
	directoryFailingSince atomic.Int64
	// knowsLosses is true once the replicas that were lost before the start are known.
	knowsLosses atomic.Bool
	ctx         context.Context
	stop        context.CancelFunc

	mu            sync.Mutex
	configuration Configuration
	// proof tells since when a newer configuration may exist. proved is closed with the first proof.
	proof        currency.Proof
	proved       chan struct{}
	provedOnce   sync.Once
	configured   chan struct{}
	isConfigured bool
	groups       map[string]*group
	// unplaced holds, by name, the targets whose group no configuration has had so far.
	unplaced map[string]Target
	// unplacedLosses are the lost replicas of groups that no configuration has had so far.
	unplacedLosses []api.LostReplica
	// placed holds, by name, the group that has the target.
	placed   map[string]string
	daemons  *daemonList
	peers    *peerHealth
	sessions map[*session]struct{}
	// refusing is closed once no more sessions are admitted.
	refusing chan struct{}
}

// New returns an engine without a configuration.
func New(options Options) *Engine {
	options.Dialer = countingDialer{options.Dialer}
	ctx, stop := context.WithCancel(context.Background())
	relayWaits, endRelayWaits := context.WithCancel(context.Background())
	e := &Engine{
		options: options, ctx: ctx, stop: stop, relayWaits: relayWaits, endRelayWaits: endRelayWaits,
		configured: make(chan struct{}), proved: make(chan struct{}), refusing: make(chan struct{}),
		daemons: newDaemonList(options.Name, nil), peers: &peerHealth{},
		groups: make(map[string]*group), unplaced: make(map[string]Target), placed: make(map[string]string),
		sessions: make(map[*session]struct{}),
	}
	e.directoryFailed.Store(int64(clock.SinceBoot()))
	e.directoryFailingSince.Store(e.directoryFailed.Load())
	e.knowsLosses.Store(options.LossRegistry == nil)
	if options.LossRegistry != nil {
		go e.learnLosses(ctx)
	}
	go e.watchIsolation()
	return e
}

// Configure puts a configuration into force, unless the one in force has the same or a newer version.
func (e *Engine) Configure(c Configuration) {
	if e.applyConfiguration(c) {
		e.assignUnplaced()
		if c.Callers != nil {
			go e.endWithdrawn()
		}
	}
}

// applyConfiguration reports whether it put the configuration into force.
func (e *Engine) applyConfiguration(c Configuration) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.isConfigured && c.Version <= e.configuration.Version {
		if c.Version < e.configuration.Version {
			logrus.WithFields(logrus.Fields{logfield.Version: c.Version, logfield.InForce: e.configuration.Version}).Warn(logevent.ConfigurationIgnored)
		}
		return false
	}
	c.Routes = maps.Clone(c.Routes)
	rankRoutes(c.Routes)
	e.configuration = c
	for name, limits := range c.Groups {
		e.group(name).setLimits(limits, e.daemons)
	}
	logrus.WithFields(logrus.Fields{logfield.Version: c.Version, logfield.Routes: len(c.Routes), logfield.Groups: len(c.Groups)}).Info(logevent.ConfigurationInForce)
	if !e.isConfigured {
		e.isConfigured = true
		close(e.configured)
	}
	return true
}

// group returns the named group. A new group is created, and its observation started. The caller holds the lock.
func (e *Engine) group(name string) *group {
	if g, ok := e.groups[name]; ok {
		return g
	}
	g := newGroup(name, e.options, e.isDirectorySettled)
	g.directoryFailingFor = e.directoryFailingFor
	g.peers = e.peers
	e.groups[name] = g
	go g.serveProofs(e.ctx, func() { go e.settle(g) })
	go g.serveReceipts(e.ctx)
	if g.losses != nil {
		go g.keepLosses(e.ctx)
	}
	e.unplacedLosses = slices.DeleteFunc(e.unplacedLosses, func(loss api.LostReplica) bool {
		if loss.Group == name {
			g.adoptLoss(loss)
		}
		return loss.Group == name
	})
	go g.observe(e.ctx, func(reason takeover.Reason) { go e.takeOver(g, reason) })
	return g
}

// SetTarget records the entry of a target. It keeps the entry in unplaced until a configuration has the target's group.
func (e *Engine) SetTarget(t Target) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.place(t)
}

// place adds a target to its group. Another group that has it keeps it no longer than one whose entry is gone. The caller
// holds the lock.
func (e *Engine) place(t Target) {
	if before, ok := e.placed[t.Name]; ok && before != t.Group {
		e.groups[before].scheduleRemoval(t.Name)
		delete(e.placed, t.Name)
	}
	g, known := e.groups[t.Group]
	if !known {
		e.unplaced[t.Name] = t
		return
	}
	delete(e.unplaced, t.Name)
	e.placed[t.Name] = t.Group
	g.setTarget(t)
}

// assignUnplaced adds the targets in unplaced to the groups that the configuration has now.
func (e *Engine) assignUnplaced() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, t := range maps.Clone(e.unplaced) {
		e.place(t)
	}
}

// RemoveTarget records that the entry of a target is gone.
func (e *Engine) RemoveTarget(name string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.unplaced, name)
	delete(e.placed, name)
	for _, g := range e.groups {
		g.scheduleRemoval(name)
	}
}

// RecordDirectoryFailure records a failure to follow the target entries, here or at the daemon that passes them on, at a
// time of the boot clock. An earlier one than the last known has no effect.
func (e *Engine) RecordDirectoryFailure(at time.Duration) {
	for {
		known := e.directoryFailed.Load()
		if int64(at) <= known {
			return
		}
		if !e.directoryFailed.CompareAndSwap(known, int64(at)) {
			continue
		}
		if at-time.Duration(known) >= directoryFailureGap {
			e.directoryFailingSince.Store(int64(at))
		}
		return
	}
}

// directoryFailureGap is longer than the time between two failures to follow the target entries while the store does
// not answer.
const directoryFailureGap = 10 * time.Second

// directoryFailingFor returns for how long the target entries could not be followed; 0 if they can be.
func (e *Engine) directoryFailingFor() time.Duration {
	now := clock.SinceBoot()
	if now-time.Duration(e.directoryFailed.Load()) >= directoryFailureGap {
		return 0
	}
	return now - time.Duration(e.directoryFailingSince.Load())
}

// RecordDirectoryRestored records that the store of the target entries was restored from a copy, which may lack entries
// for a while.
func (e *Engine) RecordDirectoryRestored() { e.RecordDirectoryFailure(clock.SinceBoot()) }

// isDirectorySettled reports whether all targets that may have acknowledged commits are known, also those that are
// gone.
func (e *Engine) isDirectorySettled() bool {
	return e.untilFollowedEntries() <= 0 && e.knowsLosses.Load()
}

// untilFollowedEntries returns how long it takes until the target entries have been followed without a failure for
// removalGrace, the time that lapsed entries need to return. Before that, a target that has acknowledged commits may be
// missing.
func (e *Engine) untilFollowedEntries() time.Duration {
	return time.Duration(e.directoryFailed.Load()) + removalGrace - clock.SinceBoot()
}

// SetDaemons sets the daemons that share the connections of the targets, this one included.
func (e *Engine) SetDaemons(daemons []Daemon) {
	list := newDaemonList(e.options.Name, daemons)
	e.mu.Lock()
	defer e.mu.Unlock()
	if list.equal(e.daemons) {
		return
	}
	logrus.WithFields(logrus.Fields{logfield.Daemons: list.count, logfield.Before: e.daemons.count}).Info(logevent.DaemonsChanged)
	e.daemons = list
	for name, g := range e.groups {
		if limits, ok := e.configuration.Groups[name]; ok {
			g.setLimits(limits, list)
		}
	}
}

// IsReady answers a probe of the balancer: whether new callers should be sent to this daemon. It has a configuration, and
// a proof that it is recent if callers have keys, is not stopping and is not isolated. Otherwise another daemon serves
// them better.
func (e *Engine) IsReady() bool {
	unproved := e.isUnproved()
	e.mu.Lock()
	defer e.mu.Unlock()
	ready := e.isConfigured && !unproved && !e.stopping.Load() && !e.isolated.Load()
	if ready {
		e.probesRefused.Store(0)
	} else {
		e.probesRefused.Add(1)
	}
	return ready
}

// isOutOfRotation reports whether the balancer sends no new callers to this daemon, which has not been ready since the
// given time: it has refused as many probes as the balancer allows, or for as long as they take.
func (e *Engine) isOutOfRotation(since, now time.Duration) bool {
	return e.probesRefused.Load() >= probesBeforeRotation || now-since > rotationTime
}

// isIsolated reports whether this daemon is partitioned from most targets of a group and reaches the primary of no
// group.
func (e *Engine) isIsolated(now time.Duration) bool {
	e.mu.Lock()
	groups := slices.Collect(maps.Values(e.groups))
	e.mu.Unlock()
	isolated := false
	for _, g := range groups {
		if g.isServing(now) {
			return false
		}
		isolated = isolated || g.isIsolated(now)
	}
	return isolated
}

// watchIsolation updates the readiness until the engine is closed. When the balancer sends new callers elsewhere, it
// closes the idle sessions of a daemon that is isolated or has no proof, so that their callers reconnect to another daemon.
func (e *Engine) watchIsolation() {
	var since time.Duration
	wasUnfit := false
	for clock.Sleep(e.ctx, observeInterval) == nil {
		now := clock.SinceBoot()
		isolated, unproved := e.isIsolated(now), e.isUnproved()
		e.isolated.Store(isolated)
		unfit := isolated || unproved
		if unfit != wasUnfit {
			wasUnfit, since = unfit, now
			e.logReadiness(isolated, unproved)
		}
		if unfit && e.isOutOfRotation(since, now) {
			e.closeIdleSessions(e.ctx, idleCloseInterval, func() bool { return e.isUnproved() || e.isIsolated(clock.SinceBoot()) })
		}
	}
}

// closeIdleSessions closes the sessions without a statement or transaction one by one, interval apart, while the condition
// holds.
func (e *Engine) closeIdleSessions(ctx context.Context, interval time.Duration, while func() bool) {
	for _, s := range e.openSessions() {
		if !while() {
			return
		}
		s.endIfIdle()
		if clock.Sleep(ctx, interval) != nil {
			return
		}
	}
}

// permittedRoute returns the route of a database, by the same configuration as that by which the identity may use it. It
// fails with a *result.Error, which guarantees that nothing ran.
func (e *Engine) permittedRoute(database string, identity callers.Identity) (Route, *group, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	route, ok := e.configuration.Routes[database]
	if !ok {
		return Route{}, nil, errNoRoute
	}
	if identity.Workspace == "" && e.configuration.Callers != nil && !route.IsPublic {
		return Route{}, nil, errKeyUnknown
	}
	if refused := e.permits(identity); refused != nil {
		return Route{}, nil, refused
	}
	return route, e.group(route.Group), nil
}

// idleTransaction returns the time after which an idle transaction is rolled back.
func (e *Engine) idleTransaction() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.configuration.IdleTransaction
}

// Serve admits a session and runs it, unless sessions are refused. identity is what Identify returned.
func (e *Engine) Serve(caller Caller, database string, identity callers.Identity) {
	serve, refusal := e.Admit(caller, database, identity)
	if refusal != nil {
		_ = caller.Close()
		return
	}
	serve()
}

func (e *Engine) removeSession(s *session) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.sessions, s)
}

func (e *Engine) openSessions() []*session {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Collect(maps.Keys(e.sessions))
}

// closeTimeout bounds the wait for promotions in progress when the engine is closed.
const closeTimeout = 400 * time.Millisecond

// Close is CloseWithin with the longest wait.
func (e *Engine) Close() { e.CloseWithin(closeTimeout) }

// CloseWithin stops the observation of all groups, and waits up to a timeout, at most closeTimeout, until promotions in progress have released
// their locks.
func (e *Engine) CloseWithin(timeout time.Duration) {
	e.stop()
	ended := make(chan struct{})
	go func() {
		e.promotions.Wait()
		close(ended)
	}()
	timer := time.NewTimer(min(timeout, closeTimeout))
	defer timer.Stop()
	select {
	case <-ended:
	case <-timer.C:
	}
}
