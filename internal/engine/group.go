package engine

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/clock"
	"github.com/papayacove/papayacove/internal/logevent"
	"github.com/papayacove/papayacove/internal/logfield"
	"github.com/papayacove/papayacove/internal/policy/leadership"
	"github.com/papayacove/papayacove/internal/policy/primaryposition"
	"github.com/papayacove/papayacove/internal/policy/takeover"
	"github.com/papayacove/papayacove/internal/policy/targethealth"
)

const (
	// recentFailureDuration is the time for which a target that failed is tried last.
	recentFailureDuration = 1500 * time.Millisecond
	// removalGrace is the time for which a target whose entry is gone is kept: entries that lapsed during an
	// outage of the store are back within about two seconds after it.
	removalGrace = 3 * time.Second
	// samplesKept is the time for which positions of the primary are kept. No allowed age is longer.
	samplesKept = 10 * time.Second
)

// member is one target of a group, with this daemon's connections to it.
type member struct {
	name    string
	pool    *pool
	control *controlConnection
	// gate is nil until this daemon holds the target.
	gate *gate

	// The fields below are guarded by the lock of the group.
	target Target
	// firstSeenAt is the time of the boot clock at which the daemon learned of the target.
	firstSeenAt time.Duration
	// gaveNoStatus is true if the last status call was not answered with a status.
	gaveNoStatus bool
	// applied is the latest position that the target is known to have applied, as reported at appliedAt on the
	// boot clock.
	applied   api.Position
	appliedAt time.Duration
	// lags are the observed lags of a replica.
	lags primaryposition.Lags
	// restartedAt is the time of the boot clock at which the daemon learned of the last restart of the target; 0 for none.
	restartedAt time.Duration
	// receipt is what is known of the calls about received commits.
	receipt receiptCall
	// waitingSince is the time of the boot clock of the last reply, or of the first statement sent after it.
	waitingSince time.Duration
	// lastReplyAt is the time of the boot clock of the last reply.
	lastReplyAt time.Duration
	// pausedSince is the time of the boot clock since which the target has been a paused replica; 0 if it is none.
	pausedSince time.Duration
	// unanswered is the number of statements that were sent and are not answered yet.
	unanswered int
	// latency is the moving average of the time that a statement takes at the target, including the target's own
	// queue.
	latency time.Duration
	// leavingSince is the time of the boot clock since when the target is known to leave; 0 when it does not
	// leave.
	leavingSince time.Duration
	// removalTimer removes the target unless its entry returns; nil while there is an entry. removals counts the times that
	// the entry was gone: a timer that has fired before its entry returned must not end a later grace.
	removalTimer *time.Timer
	removals     int
	// recentFailureUntil is the time of the boot clock until which the target is tried last.
	recentFailureUntil time.Duration
	// avoidUntil is the time of the boot clock until which no connection to the target is opened, because an
	// attempt failed a moment ago.
	avoidUntil time.Duration
	// holders are the daemons that statements are sent to, as they follow from holdersFrom and holdersZone.
	holders     []holder
	holdersFrom *daemonList
	holdersZone string
	// reportedLoad is the load that the holder reported at reportedAt on the boot clock.
	reportedLoad int
	reportedAt   time.Duration
}

// group is the state that a daemon presumes of one database group and its targets.
type group struct {
	name   string
	zone   string
	dialer Dialer
	// drainTimeout is Options.DrainTimeout.
	drainTimeout time.Duration
	// directorySettled reports whether the target entries are complete, so that no member is missing.
	directorySettled func() bool
	// directoryFailingFor returns for how long the target entries could not be followed.
	directoryFailingFor func() time.Duration
	// relays reaches the other daemons, and peers records which of them do not answer; relays is nil when no target is
	// held.
	relays Peers
	peers  *peerHealth
	// inBackground runs a function in a goroutine of its own.
	inBackground func(func())

	mu      sync.Mutex
	members map[string]*member
	limits  GroupLimits
	daemons *daemonList
	// judgeRank is the position of this daemon among those that judge the primary, from 0, and zones the number of
	// availability zones of the daemons.
	judgeRank int
	zones     int
	// suspectedFor is the reason for which the primary has had to be replaced since suspectedSince on the boot clock;
	// empty while it has not.
	suspectedFor   takeover.Reason
	suspectedSince time.Duration
	// statuses are the newest answers to status calls and orders, by target.
	statuses map[string]leadership.Status
	// primary is the name of the presumed primary, or empty when there is none, and term its term.
	primary string
	term    uint64
	// termSeenAt is the time of the boot clock at which this daemon first saw the term.
	termSeenAt time.Duration
	// provenUntil is the time of the boot clock until which the leadership proof of the primary is valid.
	provenUntil time.Duration
	// proofUsedAt is the time of the boot clock at which a statement last needed a proof, proofWaits the number of
	// those that wait for one.
	proofUsedAt time.Duration
	proofWaits  int
	// ledAt is the time of the boot clock before a commit was sent that the primary has acknowledged in its present term;
	// 0 for none.
	ledAt time.Duration
	// commits are the commits that wait until a listed replica is known to have them, and receiptRequests asks for that.
	commits         commitWaits
	receiptRequests chan struct{}
	// promotionLock is Options.PromotionLock, and recordReads what is known of the reads of its record.
	promotionLock PromotionLock
	recordReads   recordReads
	// peerProofs is what is known of the questions to the other daemons for their proofs.
	peerProofs peerProofs
	// proofOrigin is what gave that proof, and proofLog what was logged of proofs.
	proofOrigin proofOrigin
	proofLog    proofLog
	// proofHolder is the address of the daemon that told of that proof, if its kind is proofOfHolder.
	proofHolder string
	// unsettled is the latest event after which each read is logged.
	unsettled unsettled
	// samples are positions that cover every commit acknowledged before they were requested.
	samples primaryposition.Samples
	monitor takeover.PrimaryMonitor
	// lostReplicas are the replicas that are gone and may alone hold an acknowledged commit.
	lostReplicas takeover.LostReplicas
	// losses keeps the lost replicas for daemons that start later; nil if they are not kept. registered are the names
	// of those that it holds, as far as this daemon has recorded or read them. lossesChanged asks for a look at both.
	losses        LossRegistry
	registered    map[string]bool
	lossesChanged chan struct{}
	// removed are the replicas that were removed lately, by name.
	removed map[string]removedReplica
	// noPromotionUntil is the time of the boot clock until which no promotion is started.
	noPromotionUntil time.Duration
	// promoting is true while this daemon replaces the primary.
	promoting bool
	// lastUsed is the time of the boot clock at which a statement last looked for a target.
	lastUsed time.Duration
	// isolatedSince is the time of the boot clock since when most targets have not answered; 0 while they do.
	isolatedSince time.Duration
	// health judges the targets by the outcomes of statements, and readRetries bounds the reads that are tried again.
	health      targethealth.Group
	readRetries targethealth.Budget
	// changed is closed and replaced with each change that a waiting statement may be waiting for.
	changed chan struct{}
	// statusRoundRequests asks the observer for a status round, proofRequests only for a leadership proof.
	statusRoundRequests chan struct{}
	proofRequests       chan struct{}
}

func newGroup(name string, options Options, directorySettled func() bool) *group {
	return &group{
		name: name, zone: options.Zone, dialer: options.Dialer, drainTimeout: options.DrainTimeout, directorySettled: directorySettled,
		directoryFailingFor: func() time.Duration { return 0 },
		relays:              options.Peers, peers: &peerHealth{}, inBackground: func(f func()) { go f() },
		daemons: newDaemonList(options.Name, nil),
		members: make(map[string]*member), statuses: make(map[string]leadership.Status),
		promotionLock: options.PromotionLock,
		losses:        options.LossRegistry, registered: make(map[string]bool), lossesChanged: make(chan struct{}, 1),
		changed: make(chan struct{}), statusRoundRequests: make(chan struct{}, 1), proofRequests: make(chan struct{}, 1),
		receiptRequests: make(chan struct{}, 1),
		proofLog:        proofLog{limiter: limiter},
	}
}

// log returns an entry with the presumed primary and term, which each log line of the group carries. The caller
// holds the lock.
func (g *group) log() *logrus.Entry {
	return logrus.WithFields(logrus.Fields{logfield.Group: g.name, logfield.Term: g.term, logfield.Primary: g.primary})
}

// broadcast wakes the waiting statements. The caller holds the lock.
func (g *group) broadcast() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// requestStatusRound asks for a status round soon.
func (g *group) requestStatusRound() { signal(g.statusRoundRequests) }

// signal adds a request unless one is pending.
func signal(requests chan struct{}) {
	select {
	case requests <- struct{}{}:
	default:
	}
}

// setTarget records the entry of a target.
func (g *group) setTarget(t Target) {
	g.mu.Lock()
	defer g.mu.Unlock()
	m, known := g.members[t.Name]
	if known && m.target.Incarnation != t.Incarnation {
		// The target has restarted and lost the state of its connections.
		m.dropConnections()
		m.restartedAt = clock.SinceBoot()
		m.applied, m.lags = api.Position{}, primaryposition.Lags{}
		g.health.Forget(t.Name)
		g.recordRestart(t.Name)
		g.markUnsettled(unsettledRestarted)
	}
	if !known {
		g.recallPosition(t.Name)
		m = &member{name: t.Name, firstSeenAt: clock.SinceBoot()}
		m.pool = newPool(g.dialer, func() Target { return g.targetOf(m) }, g.shareOf(m))
		m.pool.name = t.Name
		m.control = &controlConnection{dialer: g.dialer, target: func() Target { return g.targetOf(m) }}
		g.members[t.Name] = m
		g.markUnsettled(unsettledJoined)
	}
	if m.removalTimer != nil {
		m.removalTimer.Stop()
		m.removalTimer = nil
	}
	g.lostReplicas.MarkReturned(t.Name)
	signal(g.lossesChanged)
	changed := !known || m.target.ReportsPrimary != t.ReportsPrimary || m.target.Leaving != t.Leaving
	m.target = t
	g.applyShares(m)
	m.recordLeaving(clock.SinceBoot())
	if !changed {
		return
	}
	g.log().WithFields(logrus.Fields{
		logfield.Target: t.Name, logfield.Zone: t.Zone, logfield.Leaving: t.Leaving, logfield.SaysPrimary: t.ReportsPrimary, logfield.Known: known,
	}).Info(logevent.TargetReported)
	g.broadcast()
	g.requestStatusRound()
}

// dropConnections closes the unused connections of a target that has restarted. It does not wait for a status call in
// progress, which may itself wait for the lock of the group.
func (m *member) dropConnections() {
	m.pool.dropIdle()
	go m.control.reset()
	if m.gate != nil {
		m.gate.pool.dropIdle()
		go m.gate.control.reset()
	}
}

// targetOf returns the newest entry of a member.
func (g *group) targetOf(m *member) Target {
	g.mu.Lock()
	defer g.mu.Unlock()
	return m.target
}

// drainReserve is the part of the drain timeout that is reserved for statements in progress, and for the delay
// after which this daemon learned that the target leaves.
const drainReserve = 1500 * time.Millisecond

// recordLeaving records since when the target has been leaving. The caller holds the lock of the group.
func (m *member) recordLeaving(now time.Duration) {
	switch {
	case !m.target.Leaving:
		m.leavingSince = 0
	case m.leavingSince == 0:
		m.leavingSince = now
	}
}

// acceptsWork reports whether statements may begin at a target. A leaving target, even the primary, gets none near
// the end of its drain timeout. The caller holds the lock.
func (g *group) acceptsWork(m *member, now time.Duration) bool {
	return m.leavingSince == 0 || now-m.leavingSince < g.drainTimeout-drainReserve
}

// scheduleRemoval records that the entry of a target is gone. A target that announced that it leaves has stopped and
// is removed without delay. The entry of any other target may have lapsed during an outage of the store, or be missing
// in the copy that the store was restored from, and the target may still acknowledge commits, so it is kept for
// removalGrace.
func (g *group) scheduleRemoval(name string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	m, ok := g.members[name]
	if !ok || m.removalTimer != nil {
		return
	}
	wait := removalGrace
	if m.target.Leaving && g.directorySettled() {
		wait = 0
	}
	g.log().WithFields(logrus.Fields{logfield.Target: name, logfield.RemovedAfter: wait}).Info(logevent.TargetMissing)
	m.removals++
	removal := m.removals
	m.removalTimer = time.AfterFunc(wait, func() { g.removeTarget(name, m, removal) })
}

// removeTarget ends the use of a target whose entry has not returned since it was gone for the given time, counted from 1.
func (g *group) removeTarget(name string, missing *member, removal int) {
	g.mu.Lock()
	m, ok := g.members[name]
	if m != missing || m.removalTimer == nil || m.removals != removal {
		g.mu.Unlock()
		return
	}
	delete(g.members, name)
	g.markUnsettled(unsettledRemoved)
	g.health.Forget(name)
	g.keepPosition(name, clock.SinceBoot())
	last, received := g.statuses[name], g.longestLogBeside(name)
	if name != g.primary && g.lostReplicas.MarkLost(name, last, received, clock.SinceBoot()) {
		g.log().WithFields(logrus.Fields{
			logfield.Target: name, logfield.Held: last.Received, logfield.Received: received, logfield.Paused: last.IsPaused(),
			logfield.Age: clock.SinceBoot() - last.AskedAt,
		}).Info(logevent.WitnessLost)
		signal(g.lossesChanged)
	}
	delete(g.statuses, name)
	if ok {
		g.log().WithField(logfield.Target, name).Info(logevent.TargetGone)
		g.broadcast()
		g.requestStatusRound()
	}
	g.mu.Unlock()
	if ok {
		m.pool.close()
		m.control.reset()
		if m.gate != nil {
			m.gate.close()
		}
	}
}

// longestLogBeside returns the longest log that another replica than the named one is known to have. The caller holds the lock.
func (g *group) longestLogBeside(name string) api.Position {
	var received api.Position
	for other, s := range g.statuses {
		if other != name && g.members[other] != nil && s.Role == leadership.RoleReplica {
			received = received.Max(s.Received)
		}
	}
	return received
}

// setLimits sets the limits of the group and the daemons that share them.
func (g *group) setLimits(limits GroupLimits, daemons *daemonList) {
	rank, zones := daemons.rank(g.name)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limits, g.daemons, g.judgeRank, g.zones = limits, daemons, rank, zones
	signal(g.lossesChanged)
	for _, m := range g.members {
		g.applyShares(m)
	}
}

// awaitPrimary waits for a primary that accepts work and is not the excluded member, which may be nil. It returns nil
// when there is none by the deadline.
func (g *group) awaitPrimary(excluded *member, deadline time.Time) *member {
	for {
		g.mu.Lock()
		g.lastUsed = clock.SinceBoot()
		m, changed := g.members[g.primary], g.changed
		usable := m != nil && m != excluded && g.acceptsWork(m, g.lastUsed)
		g.mu.Unlock()
		if usable {
			return m
		}
		if !awaitChange(changed, deadline) {
			return nil
		}
	}
}

func awaitChange(changed <-chan struct{}, deadline time.Time) bool {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-changed:
		return true
	case <-timer.C:
		return false
	}
}
