package engine

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayacove/papayacove/internal/clock"
	"github.com/papayacove/papayacove/internal/logevent"
	"github.com/papayacove/papayacove/internal/logfield"
	"github.com/papayacove/papayacove/internal/objectstore"
	"github.com/papayacove/papayacove/internal/policy/takeover"
)

// Options are what an engine works with.
type Options struct {
	// Zone is the availability zone of the daemon.
	Zone     string
	Dialer   Dialer
	Promoter Promoter
	Duty     Duty
	// DrainTimeout is the time after which a leaving target gets no new work.
	DrainTimeout time.Duration
}

// Engine serves the sessions of one daemon.
type Engine struct {
	options Options
	// stopping is true from the begin of a planned stop, closing while sessions are ended.
	stopping atomic.Bool
	closing  atomic.Bool
	// isolated is true while the daemon is cut off from most targets.
	isolated atomic.Bool
	nextID   atomic.Uint64
	// directoryFailed is the time of the boot clock, in nanoseconds, when the entries of targets could last not be
	// followed; it begins with the start.
	directoryFailed atomic.Int64
	ctx             context.Context
	stop            context.CancelFunc

	mu            sync.Mutex
	configuration Configuration
	configured    chan struct{}
	isConfigured  bool
	groups        map[string]*group
	// unplaced are the targets of groups that the configuration does not have.
	unplaced map[string]Target
	daemons  int
	sessions map[*session]struct{}
}

// New returns an engine without a configuration.
func New(options Options) *Engine {
	options.Dialer = countingDialer{options.Dialer}
	ctx, stop := context.WithCancel(context.Background())
	e := &Engine{
		options: options, ctx: ctx, stop: stop, configured: make(chan struct{}), daemons: 1,
		groups: make(map[string]*group), unplaced: make(map[string]Target), sessions: make(map[*session]struct{}),
	}
	e.directoryFailed.Store(int64(clock.Boot()))
	go e.watchIsolation()
	return e
}

// Configure puts a configuration into force, unless it is older than the one in force.
func (e *Engine) Configure(c Configuration) {
	if e.takeConfiguration(c) {
		e.place()
	}
}

// takeConfiguration reports whether the configuration is in force now.
func (e *Engine) takeConfiguration(c Configuration) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.isConfigured && c.Version <= e.configuration.Version {
		if c.Version < e.configuration.Version {
			logrus.WithFields(logrus.Fields{logfield.Version: c.Version, logfield.InForce: e.configuration.Version}).Warn(logevent.ConfigurationIgnored)
		}
		return false
	}
	c.Routes = maps.Clone(c.Routes)
	markUrgent(c.Routes)
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

// group returns a group, and begins to observe it when it is new. The caller holds the lock.
func (e *Engine) group(name string) *group {
	if g, ok := e.groups[name]; ok {
		return g
	}
	g := newGroup(name, e.options, e.isDirectorySettled)
	e.groups[name] = g
	go g.serveProofs(e.ctx)
	go g.observe(e.ctx, func(reason takeover.Reason) { go e.takeOver(g, reason) })
	return g
}

// SetTarget takes in the report of a target. One of a group that no configuration had so far waits for it.
func (e *Engine) SetTarget(t Target) {
	e.mu.Lock()
	g, known := e.groups[t.Group]
	if !known {
		e.unplaced[t.Name] = t
		e.mu.Unlock()
		return
	}
	e.mu.Unlock()
	g.setTarget(t)
}

// place gives the targets that waited to their groups.
func (e *Engine) place() {
	e.mu.Lock()
	waiting := e.unplaced
	e.unplaced = make(map[string]Target)
	e.mu.Unlock()
	for _, t := range waiting {
		e.SetTarget(t)
	}
}

// RemoveTarget takes in that a target is gone.
func (e *Engine) RemoveTarget(name string) {
	e.mu.Lock()
	delete(e.unplaced, name)
	groups := maps.Clone(e.groups)
	e.mu.Unlock()
	for _, g := range groups {
		g.missTarget(name)
	}
}

// NoteDirectory takes in the outcome of a call for the entries of targets. A history that is gone is no outage.
func (e *Engine) NoteDirectory(err error) {
	if err == nil || errors.Is(err, objectstore.ErrCompacted) {
		return
	}
	e.directoryFailed.Store(int64(clock.Boot()))
}

// isDirectorySettled reports whether the entries have been followed for as long as lapsed ones take to come back. Before,
// a target that has acknowledged commits may be missing.
func (e *Engine) isDirectorySettled() bool {
	return clock.Boot()-time.Duration(e.directoryFailed.Load()) >= removalGrace
}

// SetDaemons takes in the number of daemons that share the targets.
func (e *Engine) SetDaemons(count int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if count == e.daemons {
		return
	}
	logrus.WithFields(logrus.Fields{logfield.Daemons: count, logfield.Before: e.daemons}).Info(logevent.DaemonsChanged)
	e.daemons = count
	for name, g := range e.groups {
		if limits, ok := e.configuration.Groups[name]; ok {
			g.setLimits(limits, count)
		}
	}
}

// IsReady reports whether new callers are served better here than by another daemon.
func (e *Engine) IsReady() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.isConfigured && !e.stopping.Load() && !e.isolated.Load()
}

// isIsolated reports whether this daemon is cut off from most targets of a group, and reaches no other group's primary.
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

// watchIsolation keeps the readiness while the daemon runs. Once the balancer has had time to send new callers
// elsewhere, it ends idle sessions of a daemon that is cut off, so that their callers go there too.
func (e *Engine) watchIsolation() {
	var since time.Duration
	for clock.Sleep(e.ctx, observeInterval) == nil {
		now := clock.Boot()
		isolated := e.isIsolated(now)
		if isolated != e.isolated.Load() {
			e.isolated.Store(isolated)
			since = now
			logrus.WithField(logfield.Ready, !isolated).Warn(logevent.ReadinessChanged)
		}
		if isolated && now-since > rotationTime {
			e.closeIdleSessions(e.ctx, isolationPause)
		}
	}
}

// closeIdleSessions ends the sessions without a statement or transaction one by one.
func (e *Engine) closeIdleSessions(ctx context.Context, pause time.Duration) {
	for _, s := range e.openSessions() {
		s.closeIfIdle()
		if clock.Sleep(ctx, pause) != nil {
			return
		}
	}
}

// route returns the route of a database in the newest configuration.
func (e *Engine) route(database string) (Route, *group, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	route, ok := e.configuration.Routes[database]
	if !ok {
		return Route{}, nil, false
	}
	return route, e.group(route.Group), true
}

// idleTransaction returns the time after which an idle transaction is rolled back.
func (e *Engine) idleTransaction() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.configuration.IdleTransaction
}

func (e *Engine) isClosing() bool { return e.closing.Load() }

// HasDatabase waits until there is a configuration, at most for the given time, and reports whether it
// has the database. known is false when there is no configuration yet.
func (e *Engine) HasDatabase(database string, wait time.Duration) (has, known bool) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-e.configured:
	case <-timer.C:
		return false, false
	}
	_, _, has = e.route(database)
	return has, true
}

// Serve runs a session until the caller leaves.
func (e *Engine) Serve(caller Caller, database string) {
	s := newSession(e, caller, database, fmt.Sprintf("s%d", e.nextID.Add(1)))
	e.mu.Lock()
	e.sessions[s] = struct{}{}
	e.mu.Unlock()
	s.run()
}

func (e *Engine) forget(s *session) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.sessions, s)
}

func (e *Engine) openSessions() []*session {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Collect(maps.Keys(e.sessions))
}

const (
	// rotationTime is the time that the balancer needs to take a daemon that is not ready out of rotation: two probes,
	// a second apart, and a reserve. Callers that reconnect before may come back to this daemon.
	rotationTime = 2200 * time.Millisecond
	// isolationPause is the time between the ends of two idle sessions of a daemon that is cut off.
	isolationPause = 5 * time.Millisecond
	// drainInterval is the time between two looks for sessions that have become idle.
	drainInterval = 50 * time.Millisecond
)

// Drain ends the sessions in a planned stop. It serves on until the balancer sends no new callers, ends the sessions without
// a statement or transaction one by one within half of the rest of the time, the others as they become idle, and the
// rest when ctx ends.
func (e *Engine) Drain(ctx context.Context, within time.Duration) {
	e.stopping.Store(true)
	logrus.WithField(logfield.Sessions, len(e.openSessions())).Info(logevent.SessionsDraining)
	rotation := min(rotationTime, within/2)
	_ = clock.Sleep(ctx, rotation)
	e.closing.Store(true)
	pause := (within - rotation) / 2 / time.Duration(max(1, len(e.openSessions())))
	e.closeIdleSessions(ctx, pause)
	for ctx.Err() == nil && len(e.openSessions()) > 0 {
		for _, s := range e.openSessions() {
			s.closeIfIdle()
		}
		_ = clock.Sleep(ctx, drainInterval)
	}
	for _, s := range e.openSessions() {
		s.log(Statement{}).Warn(logevent.SessionCut)
		s.abort()
	}
}

// Close stops the observation of all groups.
func (e *Engine) Close() { e.stop() }
