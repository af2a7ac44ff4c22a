package engine

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayacove/papayacove/internal/clock"
	"github.com/papayacove/papayacove/internal/logevent"
	"github.com/papayacove/papayacove/internal/logfield"
	"github.com/papayacove/papayacove/internal/policy/authority"
	"github.com/papayacove/papayacove/internal/policy/takeover"
)

const (
	// observeInterval is the time between two looks at whether status calls are needed.
	observeInterval = 100 * time.Millisecond
	// leastProofPause is the least time between two proofs.
	leastProofPause = 20 * time.Millisecond
	// leastLookPause is the least time between two rounds of status calls.
	leastLookPause = 50 * time.Millisecond
	// scarceLookPause is the time between the rounds of two daemons when there are fewer connections than daemons.
	scarceLookPause = 5 * time.Millisecond
	// silentAfter is the time without an answer after which a busy primary is looked at.
	silentAfter = 200 * time.Millisecond
	// isolatedAfter is the time for which most targets have to be silent before this daemon sends callers elsewhere.
	isolatedAfter = 500 * time.Millisecond
	// unusedAfter is the time without statements after which a group is not observed.
	unusedAfter = 2 * time.Second
)

// observe makes rounds of status calls when something is in doubt, until ctx ends. takeOver is called with
// the reason when the primary has to be replaced.
func (g *group) observe(ctx context.Context, takeOver func(takeover.Reason)) {
	ticker := time.NewTicker(observeInterval)
	defer ticker.Stop()
	for {
		needed := true
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			needed = g.needsLook()
		case <-g.lookRequests:
		}
		if !needed {
			continue
		}
		if reason := g.look(); reason != takeover.ReasonNone {
			takeOver(reason)
		}
		if clock.Sleep(ctx, g.lookPause()) != nil {
			return
		}
	}
}

// lookPause is the time between two rounds of status calls. When there are fewer connections than daemons, each call opens
// one, so that the daemons look more rarely the more there are.
func (g *group) lookPause() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if allot(g.limits, g.daemons).keep == 0 {
		return leastLookPause
	}
	return max(leastLookPause, time.Duration(g.daemons)*scarceLookPause)
}

// serveProofs fetches proofs for the statements that need one, until ctx ends. It does not wait for a silent primary.
func (g *group) serveProofs(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.proofRequests:
		}
		pause := leastProofPause
		if !g.renew() {
			// Targets that are busy or full with calls of all daemons would stay so.
			pause = g.lookPause()
			g.requestLook()
		}
		if clock.Sleep(ctx, pause) != nil {
			return
		}
	}
}

// needsLook reports whether a round of status calls is needed although no statement asked for one: the primary does not
// answer what it was sent, leaves, or there is none while the group is used.
func (g *group) needsLook() bool {
	now := clock.Boot()
	g.mu.Lock()
	defer g.mu.Unlock()
	m, ok := g.members[g.leader]
	if !ok {
		return now-g.lastUsed < unusedAfter
	}
	isSilent := m.unanswered > 0 && now-m.answeredAt > silentAfter
	isDoubtful := g.watch.IsSuspicious() || g.isolatedSince != 0
	hasLeaving := m.target.Leaving || g.leavingReplica() != ""
	return isSilent || isDoubtful || hasLeaving || len(g.owed.Names(now)) > 0
}

// renew asks one replica, or all of them while the primary is silent, and reports whether that proved that the primary
// still leads.
func (g *group) renew() bool {
	asked := g.witnesses()
	if len(asked) == 0 {
		return false
	}
	statuses := askAll(asked, func(string) Command { return Command{Op: OpStatus} })
	g.mu.Lock()
	defer g.mu.Unlock()
	g.remember(statuses)
	g.electLeader()
	g.takeReplicaSample(statuses)
	return g.takeProof(statuses)
}

// takeReplicaSample takes in a position that covers all acknowledged commits, told by all replicas, so that reads go on
// while the primary is silent. The caller holds the lock.
func (g *group) takeReplicaSample(statuses map[string]authority.Status) {
	if !g.knowsReplicas() {
		return
	}
	counted := slices.Collect(maps.Keys(g.witnessable()))
	if position, askedAt, ok := authority.ReplicaFloor(statuses, counted, g.leader, g.term); ok {
		g.samples.Add(askedAt, position)
		g.broadcast()
	}
}

// knowsReplicas reports whether the members hold every replica that may have acknowledged commits, and commits wait for
// one. The caller holds the lock.
func (g *group) knowsReplicas() bool {
	return g.settled() && g.limits.SyncReplicas >= 1 && len(g.owed.Names(clock.Boot())) == 0
}

// witnesses returns the replica that is asked for a proof, in the own zone where there is one, or the primary of a group
// without replicas. While the primary is silent or there is none they are all targets that may count but the primary.
func (g *group) witnesses() map[string]*member {
	now := clock.Boot()
	g.mu.Lock()
	defer g.mu.Unlock()
	leader, ok := g.members[g.leader]
	if g.isLeaderSilent(now) {
		asked := g.witnessable()
		delete(asked, g.leader)
		return asked
	}
	if !ok {
		return nil
	}
	witness := ""
	for name, m := range g.members {
		if name == g.leader || now < m.doubtUntil || m.target.Leaving {
			continue
		}
		if best, ok := g.members[witness]; !ok || m.target.Zone == g.zone || best.target.Zone != g.zone && name < witness {
			witness = name
		}
	}
	if witness == "" {
		return map[string]*member{g.leader: leader}
	}
	return map[string]*member{witness: g.members[witness]}
}

// takeProof takes in what a round proves, and reports whether it does. The caller holds the lock.
func (g *group) takeProof(statuses map[string]authority.Status) bool {
	at, ok := authority.ProvenAt(statuses, g.leader, g.term, len(g.members))
	if !ok {
		return false
	}
	g.prove(at)
	if own, ok := statuses[g.leader]; ok && own.Role == authority.RolePrimary {
		g.samples.Add(own.AskedAt, own.Received)
	}
	return true
}

// look makes one round of status calls, takes in what it shows and returns why the primary has to be
// replaced.
func (g *group) look() takeover.Reason {
	g.mu.Lock()
	members := maps.Clone(g.members)
	g.mu.Unlock()
	if len(members) == 0 {
		return takeover.ReasonNone
	}
	began := clock.Boot()
	statuses := askAll(members, func(string) Command { return Command{Op: OpStatus} })
	reason := g.takeIn(statuses, began)
	g.pauseLeaving()
	return reason
}

// leavingReplica returns a replica that leaves and still receives while another follows the primary; empty for
// none. The caller holds the lock.
func (g *group) leavingReplica() string {
	leaving, others := "", 0
	for name, m := range g.members {
		s := g.statuses[name]
		if name == g.leader || s.Role != authority.RoleReplica || s.IsPaused() || s.Term != g.term {
			continue
		}
		if m.target.Leaving {
			leaving = name
		} else {
			others++
		}
	}
	if others == 0 {
		return ""
	}
	return leaving
}

// pauseLeaving stops a replica that leaves from receiving: it counts for acknowledged commits until it is gone, and its
// log goes with it.
func (g *group) pauseLeaving() {
	g.mu.Lock()
	name, term := g.leavingReplica(), g.term+1
	m, ok := g.members[name]
	g.mu.Unlock()
	if !ok {
		return
	}
	status, err := m.control.call(Command{Op: OpPause, Term: term})
	g.mu.Lock()
	defer g.mu.Unlock()
	if err == nil {
		g.remember(map[string]authority.Status{name: status})
	}
	g.log().WithFields(logrus.Fields{logfield.Target: name, logfield.Error: err}).Info(logevent.LeavingReplicaPaused)
}

// askAll sends a command to each member at once and returns the answers. A target that is busy or full counts with an
// unknown role: it is alive and proves nothing.
func askAll(members map[string]*member, command func(name string) Command) map[string]authority.Status {
	return askWithin(statusTimeout, members, command)
}

func askWithin(timeout time.Duration, members map[string]*member, command func(name string) Command) map[string]authority.Status {
	var mu sync.Mutex
	var pending sync.WaitGroup
	statuses := make(map[string]authority.Status, len(members))
	for name, m := range members {
		pending.Go(func() {
			status, err := m.control.callWithin(timeout, command(name))
			if err != nil && !isAlive(err) {
				logrus.WithFields(logrus.Fields{logfield.Target: name, logfield.Operation: command(name).Op.String(), logfield.Error: err}).Debug(logevent.TargetNotAnswering)
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

// isAlive reports whether a target that failed to tell its status answered nevertheless.
func isAlive(err error) bool {
	failure := failureOf(err)
	return failure != nil && (failure.Kind == FailureBusy || failure.Kind == FailureTooManyConnections)
}

// takeIn updates the belief from a round of status calls that was begun at a time.
func (g *group) takeIn(statuses map[string]authority.Status, began time.Duration) takeover.Reason {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.remember(statuses)
	g.electLeader()
	g.noteIsolation(len(statuses), began)
	g.takeReplicaSample(statuses)
	g.takeProof(statuses)
	for _, name := range g.owed.Settle(g.leader, statuses) {
		g.log().WithField(logfield.Target, name).Info(logevent.WitnessReplaced)
	}
	now := clock.Boot()
	reason := g.watch.Judge(takeover.Round{
		Primary: g.leader, Statuses: g.judged(statuses), Members: len(g.witnessable()), Leaving: g.isLeaving(g.leader),
		Began: began, At: now,
	})
	if reason == takeover.ReasonNone || g.promoting || now < g.restUntil {
		return takeover.ReasonNone
	}
	g.log().WithFields(logrus.Fields{logfield.Reason: string(reason), logfield.Answered: len(statuses), logfield.Members: len(g.members)}).Warn(logevent.PrimarySuspected)
	return reason
}

// remember keeps the answers; one that was busy keeps its last known role. Rounds run side by side: an answer that another
// round has overtaken is replaced in the statuses by the newer one. The caller holds the lock.
func (g *group) remember(statuses map[string]authority.Status) {
	for name, s := range statuses {
		if newer := g.statuses[name]; s.Role != authority.RoleUnknown && s.AskedAt < newer.AskedAt {
			statuses[name] = newer
			continue
		}
		g.noteLostLog(name, s)
		if m, ok := g.members[name]; ok {
			m.avoidUntil, m.answeredAt, m.heardAt = 0, clock.Boot(), clock.Boot()
		}
		if s.Role != authority.RoleUnknown {
			g.statuses[name] = s
		}
	}
}

// noteIsolation takes in how many targets answered a round. When most do not, the fault is more likely on this daemon's
// side. The caller holds the lock.
func (g *group) noteIsolation(answered int, began time.Duration) {
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

// isIsolated reports whether most targets have not answered for a time.
func (g *group) isIsolated(now time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.isolatedSince != 0 && now-g.isolatedSince >= isolatedAfter
}

// isServing reports whether the primary answered a moment ago and was proved to lead.
func (g *group) isServing(now time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	leader, ok := g.members[g.leader]
	return ok && now < leader.heardAt+isolatedAfter && now < g.authorityUntil+isolatedAfter
}

// witnessable returns the members that may count for acknowledged commits: all but replicas that leave and were paused in
// this term. The caller holds the lock.
func (g *group) witnessable() map[string]*member {
	members := maps.Clone(g.members)
	for name, m := range g.members {
		s := g.statuses[name]
		if m.target.Leaving && s.Role == authority.RoleReplica && s.IsPaused() && s.Term == g.term {
			delete(members, name)
		}
	}
	return members
}

// noteLostLog takes in that a replica holds less than before: it has started anew without its log, which may alone have had
// acknowledged commits. The caller holds the lock.
func (g *group) noteLostLog(name string, s authority.Status) {
	before, known := g.statuses[name]
	if !known || s.Role != authority.RoleReplica || s.Received.Compare(before.Received) >= 0 {
		return
	}
	if g.owed.Lose(fmt.Sprintf("%s up to %d.%d", name, before.Received.Term, before.Received.Offset), before, clock.Boot()) {
		g.log().WithFields(logrus.Fields{logfield.Target: name, logfield.Held: before.Received, logfield.Holds: s.Received}).Info(logevent.WitnessLost)
	}
}

// isLeaderSilent reports whether there is no primary that answers. The caller holds the lock.
func (g *group) isLeaderSilent(now time.Duration) bool {
	leader, ok := g.members[g.leader]
	return !ok || now < leader.avoidUntil || g.watch.IsSilent()
}

// judged replaces the answers of busy targets by their last known ones. The caller holds the lock.
func (g *group) judged(statuses map[string]authority.Status) map[string]authority.Status {
	judged := make(map[string]authority.Status, len(statuses))
	counted := g.witnessable()
	for name, s := range statuses {
		if _, counts := counted[name]; !counts {
			continue
		}
		if s.Role == authority.RoleUnknown {
			s = g.statuses[name]
		}
		judged[name] = s
	}
	return judged
}

// electLeader takes the target that leads in the highest term for the primary. The caller holds the lock.
func (g *group) electLeader() {
	leader, term, ok := authority.Leader(g.statuses)
	if !ok {
		leader, term = "", g.term
	}
	if leader == g.leader && term == g.term {
		return
	}
	g.log().WithFields(logrus.Fields{logfield.NewPrimary: leader, logfield.NewTerm: term}).Info(logevent.PrimaryChanged)
	if term != g.term {
		g.restUntil = max(g.restUntil, clock.Boot()+takeover.Rest)
		// What the old primary told says nothing about the new one's commits.
		g.authorityUntil = 0
	}
	g.leader, g.term = leader, term
	g.broadcast()
}

// isLeaving reports whether a target has announced that it stops. The caller holds the lock.
func (g *group) isLeaving(name string) bool {
	m, ok := g.members[name]
	return ok && m.target.Leaving
}
