package engine

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayacove/papayacove/internal/clock"
	"github.com/papayacove/papayacove/internal/logevent"
	"github.com/papayacove/papayacove/internal/logfield"
	"github.com/papayacove/papayacove/internal/policy/leadership"
	"github.com/papayacove/papayacove/internal/policy/takeover"
)

const (
	// observeInterval is the time between two checks of whether a status round is needed.
	observeInterval = 100 * time.Millisecond
	// minRoundInterval is the least time between two status rounds.
	minRoundInterval = 50 * time.Millisecond
	// scarceRoundInterval is the time between the status rounds of two daemons when there are fewer connections
	// than daemons and no daemon holds the targets.
	scarceRoundInterval = 5 * time.Millisecond
	// unresponsiveAfter is the time without an answer to a statement after which a status round checks the
	// primary.
	unresponsiveAfter = 200 * time.Millisecond
	// isolatedAfter is the time for which most targets have to be unresponsive before this daemon sends callers
	// elsewhere.
	isolatedAfter = 500 * time.Millisecond
	// unusedAfter is the time without statements after which a group is not observed.
	unusedAfter = 2 * time.Second
)

// observe makes status rounds when one is requested or needsStatusRound reports that one is needed, until ctx ends. It
// calls takeOver with the reason when the primary has to be replaced.
func (g *group) observe(ctx context.Context, takeOver func(takeover.Reason)) {
	ticker := time.NewTicker(observeInterval)
	defer ticker.Stop()
	for {
		needed := true
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			needed = g.needsStatusRound()
		case <-g.statusRoundRequests:
		}
		if !needed {
			continue
		}
		if reason := g.runStatusRound(); reason != takeover.ReasonNone {
			takeOver(reason)
		}
		if clock.Sleep(ctx, g.statusRoundInterval()) != nil {
			return
		}
	}
}

// statusRoundInterval returns the time between two status rounds. When there are fewer connections than daemons,
// each status call opens a connection, so that the interval grows with the number of daemons.
func (g *group) statusRoundInterval() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	held := g.relays != nil && len(g.daemons.holders) > 0
	if held || g.daemons.count == 0 || divideConnections(g.limits, g.daemons.count).idleTimeout == 0 {
		return minRoundInterval
	}
	return max(minRoundInterval, time.Duration(g.daemons.count)*scarceRoundInterval)
}

// needsStatusRound reports whether a status round is needed although no statement requested one: there is no
// primary while the group is used, the primary does not answer or is suspected, most targets do not answer, the
// primary or a replica leaves, or a replica is lost.
func (g *group) needsStatusRound() bool {
	now := clock.SinceBoot()
	g.mu.Lock()
	defer g.mu.Unlock()
	m, ok := g.members[g.primary]
	if !ok {
		return now-g.lastUsed < unusedAfter
	}
	isUnresponsive := m.unanswered > 0 && now-m.waitingSince > unresponsiveAfter
	isSuspected := g.monitor.IsSuspected() || g.isolatedSince != 0
	hasLeaving := m.target.Leaving || takeover.IsJudge(g.judgeRank, g.zones) && g.leavingReplica() != ""
	hasLost := len(g.lostReplicas.Blocking(now)) > 0
	return isUnresponsive || isSuspected || hasLeaving || hasLost || g.hasForgottenPause(now)
}

// hasForgottenPause reports whether a replica that does not leave has been paused for takeover.ForgottenPause, while
// this daemon judges the primary. It is false for one that does not answer. The caller holds the lock.
func (g *group) hasForgottenPause(now time.Duration) bool {
	if !takeover.IsJudge(g.judgeRank, g.zones) {
		return false
	}
	for _, m := range g.members {
		answers := now-m.lastReplyAt < takeover.LeavingRecheckInterval
		if answers && !m.target.Leaving && m.pausedSince != 0 && now-m.pausedSince >= takeover.ForgottenPause {
			return true
		}
	}
	return false
}

// recordPause records since when a replica is paused for a term after that of the primary. The caller holds the lock.
func (g *group) recordPause(m *member, s leadership.Status) {
	if s.Role != leadership.RoleReplica || s.PausedTerm <= g.term {
		m.pausedSince = 0
		return
	}
	if m.pausedSince == 0 {
		m.pausedSince = s.AskedAt
	}
}

// runStatusRound makes one status call to each target, applies the answers and returns why the primary has to be
// replaced.
func (g *group) runStatusRound() takeover.Reason {
	g.mu.Lock()
	members := maps.Clone(g.members)
	g.mu.Unlock()
	if len(members) == 0 {
		return takeover.ReasonNone
	}
	began := clock.SinceBoot()
	statuses := g.askAll(members, statusTimeout)
	reason := g.applyStatusRound(statuses, began)
	g.pauseLeaving()
	return reason
}

// leavingReplica returns the name of a replica that leaves and has to be paused, now or again, while another replica
// follows the primary; empty for none. The caller holds the lock.
func (g *group) leavingReplica() string {
	now := clock.SinceBoot()
	leaving, others := "", 0
	for name, m := range g.members {
		s := g.statuses[name]
		switch {
		case name == g.primary || s.Role != leadership.RoleReplica || s.Term != g.term:
		case m.target.Leaving && takeover.NeedsPause(s, g.term, g.termSeenAt, now):
			leaving = name
		case !m.target.Leaving && !s.IsPaused():
			others++
		}
	}
	if others == 0 {
		return ""
	}
	return leaving
}

// pauseLeaving stops a leaving replica from receiving the log: otherwise it acknowledges commits until it is gone,
// and its log goes with it.
func (g *group) pauseLeaving() {
	g.mu.Lock()
	name, term := g.leavingReplica(), g.term+1
	m, ok := g.members[name]
	isJudge := takeover.IsJudge(g.judgeRank, g.zones)
	g.mu.Unlock()
	if !ok || !isJudge {
		return
	}
	status, err := m.control.call(Command{Op: OpPause, Term: term})
	g.mu.Lock()
	defer g.mu.Unlock()
	if err == nil {
		g.recordStatuses(map[string]leadership.Status{name: status})
	}
	g.log().WithFields(logrus.Fields{logfield.Target: name, logfield.Error: err}).Info(logevent.LeavingReplicaPaused)
}

// askAll makes a status call to all members at the same time and returns their answers by name, as sendToAll does. The
// timeout bounds each call that is made directly.
func (g *group) askAll(members map[string]*member, timeout time.Duration) map[string]leadership.Status {
	statuses := callAll(members, OpStatus, func(m *member) (leadership.Status, error) { return g.status(m, timeout) })
	g.mu.Lock()
	defer g.mu.Unlock()
	for name, m := range members {
		m.gaveNoStatus = statuses[name].Role == leadership.RoleUnknown
	}
	return statuses
}

// sendToAll sends a command to all members at the same time, on connections of this daemon, and returns their answers by
// name. A target that is busy or full is included with an unknown role: it answers, but does not prove who leads.
func sendToAll(members map[string]*member, command Command) map[string]leadership.Status {
	return callAll(members, command.Op, func(m *member) (leadership.Status, error) { return m.control.call(command) })
}

func callAll(members map[string]*member, op Operation, call func(*member) (leadership.Status, error)) map[string]leadership.Status {
	var mu sync.Mutex
	var pending sync.WaitGroup
	statuses := make(map[string]leadership.Status, len(members))
	for name, m := range members {
		pending.Go(func() {
			status, err := call(m)
			if err != nil && !isAlive(err) {
				logrus.WithFields(logrus.Fields{logfield.Target: name, logfield.Operation: op.String(), logfield.Error: err}).Debug(logevent.TargetNotAnswering)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			statuses[name] = status
		})
	}
	pending.Wait()
	return statuses
}

// isAlive reports whether a target that did not return its status answered nevertheless.
func isAlive(err error) bool {
	failure := failureOf(err)
	return failure != nil && (failure.Kind == FailureBusy || failure.Kind == FailureTooManyConnections)
}

// applyStatusRound updates the state of the group from the answers to a status round that was started at began,
// and returns why the primary has to be replaced.
func (g *group) applyStatusRound(statuses map[string]leadership.Status, began time.Duration) takeover.Reason {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.recordStatuses(statuses)
	g.updatePrimary()
	g.recordIsolation(len(statuses), began)
	g.applyProof()
	for _, name := range g.lostReplicas.Reconcile(g.primary, g.ofMembers(statuses)) {
		g.log().WithField(logfield.Target, name).Info(logevent.WitnessReplaced)
		signal(g.lossesChanged)
	}
	now := clock.SinceBoot()
	if !g.monitor.IsSuspected() && !g.isLeaving(g.primary) && !g.hasForgottenPause(now) {
		g.suspectedFor = takeover.ReasonNone
	}
	reason := g.monitor.Evaluate(takeover.StatusRound{
		Primary: g.primary, Statuses: g.lastKnownStatuses(statuses), Members: len(g.members), Leaving: g.isLeaving(g.primary),
		StartedAt: began, EndedAt: now,
	})
	isForgotten := g.hasForgottenPause(now) && len(takeover.ForgottenPauses(statuses, g.term)) > 0
	if reason == takeover.ReasonNone && isForgotten {
		reason = takeover.ReasonPaused
	}
	if reason == takeover.ReasonNone || g.promoting || now < g.noPromotionUntil || !g.isOwnTurn(reason, now) {
		return takeover.ReasonNone
	}
	g.log().WithFields(logrus.Fields{logfield.Reason: string(reason), logfield.Answered: len(statuses), logfield.Members: len(g.members)}).Warn(logevent.PrimarySuspected)
	return reason
}

// isOwnTurn reports whether this daemon replaces the primary now: the daemons do so one after the other, and only the
// first of each availability zone early. The caller holds the lock.
func (g *group) isOwnTurn(reason takeover.Reason, now time.Duration) bool {
	if g.suspectedFor != reason {
		g.suspectedFor, g.suspectedSince = reason, now
	}
	return now-g.suspectedSince >= takeover.JudgeDelay(g.judgeRank, g.zones)
}

// recordStatuses records the answers; a target that was busy keeps its last known status. Rounds run concurrently:
// an answer older than a recorded one is replaced by that one in the given statuses. The answer of a target that was removed
// meanwhile is not recorded: its log is gone. The caller holds the lock.
func (g *group) recordStatuses(statuses map[string]leadership.Status) {
	for name, s := range statuses {
		m, ok := g.members[name]
		if !ok {
			continue
		}
		if newer := g.statuses[name]; s.Role != leadership.RoleUnknown && s.AskedAt < newer.AskedAt {
			statuses[name] = newer
			continue
		}
		g.recordLostLog(name, s)
		g.noteStatus(name, s)
		m.avoidUntil, m.waitingSince, m.lastReplyAt = 0, clock.SinceBoot(), clock.SinceBoot()
		if s.Role != leadership.RoleUnknown {
			g.statuses[name] = s
			g.recordPause(m, s)
		}
	}
}

// recordIsolation records how many targets answered a round. When most do not, the fault is more likely on this
// daemon's side. The caller holds the lock.
func (g *group) recordIsolation(answered int, began time.Duration) {
	isolated := answered*2 < len(g.members)
	if isolated == (g.isolatedSince != 0) {
		return
	}
	g.isolatedSince = 0
	if isolated {
		g.isolatedSince = began
	}
	g.log().WithFields(logrus.Fields{logfield.Isolated: isolated, logfield.Answered: answered, logfield.Members: len(g.members)}).Warn(logevent.IsolationChanged)
}

// isIsolated reports whether most targets have not answered for isolatedAfter.
func (g *group) isIsolated(now time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.isolatedSince != 0 && now-g.isolatedSince >= isolatedAfter
}

// isServing reports whether, within the last isolatedAfter, the primary answered and its leadership proof was valid.
func (g *group) isServing(now time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	primary, ok := g.members[g.primary]
	return ok && now < primary.lastReplyAt+isolatedAfter && now < g.provenUntil+isolatedAfter
}

// recordLostLog marks a replica's log as lost if the replica holds less than before: it has restarted without that
// log, which may have been the only one with an acknowledged commit. An old primary holds less when it joins the next one.
// The caller holds the lock.
func (g *group) recordLostLog(name string, s leadership.Status) {
	before, known := g.statuses[name]
	if !known || before.Role == leadership.RolePrimary || s.Role != leadership.RoleReplica || s.Received.Compare(before.Received) >= 0 {
		return
	}
	lost := fmt.Sprintf("%s up to %d.%d", name, before.Received.Term, before.Received.Offset)
	if g.lostReplicas.MarkLost(lost, before, g.longestLogBeside(name), clock.SinceBoot()) {
		g.log().WithFields(logrus.Fields{logfield.Target: name, logfield.Held: before.Received, logfield.Holds: s.Received}).Info(logevent.WitnessLost)
		signal(g.lossesChanged)
	}
}

// isPrimaryUnresponsive reports whether there is no primary that answers. The caller holds the lock.
func (g *group) isPrimaryUnresponsive(now time.Duration) bool {
	primary, ok := g.members[g.primary]
	return !ok || now < primary.avoidUntil || g.monitor.IsUnresponsive()
}

// isPresumedPrimary reports whether m is the presumed primary.
func (g *group) isPresumedPrimary(m *member) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.members[g.primary] == m
}

// isPrimarySilent reports whether the presumed primary answers neither status calls nor statements.
func (g *group) isPrimarySilent() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	m, ok := g.members[g.primary]
	return ok && g.monitor.IsUnresponsive() && clock.SinceBoot()-m.lastReplyAt > unresponsiveAfter
}

// ofMembers returns the statuses of those targets that are still members. The caller holds the lock.
func (g *group) ofMembers(statuses map[string]leadership.Status) map[string]leadership.Status {
	statuses = maps.Clone(statuses)
	maps.DeleteFunc(statuses, func(name string, _ leadership.Status) bool { return g.members[name] == nil })
	return statuses
}

// lastKnownStatuses returns the statuses of the members, with the last known status of each that was busy. The caller
// holds the lock.
func (g *group) lastKnownStatuses(statuses map[string]leadership.Status) map[string]leadership.Status {
	lastKnownStatuses := make(map[string]leadership.Status, len(statuses))
	for name, s := range g.ofMembers(statuses) {
		if s.Role == leadership.RoleUnknown {
			s = g.statuses[name]
		}
		lastKnownStatuses[name] = s
	}
	return lastKnownStatuses
}

// updatePrimary makes the target that leads in the highest term the presumed primary. There is none if no target leads,
// or if any target reports a later term, also one that was removed since. The caller holds the lock.
func (g *group) updatePrimary() {
	primary, term, ok := leadership.Leader(g.statuses)
	if !ok || term < g.term {
		primary, term = "", g.term
	}
	if primary == g.primary && term == g.term {
		return
	}
	g.log().WithFields(logrus.Fields{logfield.NewPrimary: primary, logfield.NewTerm: term}).Info(logevent.PrimaryChanged)
	if term != g.term {
		g.noPromotionUntil = max(g.noPromotionUntil, clock.SinceBoot()+takeover.PromotionHoldTime)
		// The positions and proofs of the old primary do not cover the commits of the new one.
		g.provenUntil = 0
		g.recordReads.failed = 0
		g.termSeenAt = clock.SinceBoot()
		g.markUnsettled(unsettledTerm)
	}
	g.primary, g.term, g.ledAt = primary, term, 0
	g.broadcast()
}

// isLeaving reports whether a target has announced that it will stop. The caller holds the lock.
func (g *group) isLeaving(name string) bool {
	m, ok := g.members[name]
	return ok && m.target.Leaving
}
