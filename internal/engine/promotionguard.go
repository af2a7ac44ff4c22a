package engine

import (
	"context"
	"maps"
	"slices"
	"sync"

	"github.com/papayacove/papayacove/internal/clock"
	"github.com/papayacove/papayacove/internal/logevent"
	"github.com/papayacove/papayacove/internal/logfield"
	"github.com/papayacove/papayacove/internal/policy/leadership"
)

// guardListRounds is the number of rounds of the guard, each of leadPoll at least, between two lists of the targets.
const guardListRounds = 4

// promotionGuard keeps the old primary from acknowledging commits between the order to promote and its effect: those
// that the target lacks would be lost. It orders the old primary to step down until it is stopped, since that may be
// reached again or restart, and pauses replicas that restart or join.
type promotionGuard struct {
	*promotion
	// followedTerm is the last term that a paused replica followed. A replica of a later term follows the new primary.
	followedTerm uint64
	// replicas are the replicas that were paused or have joined, without the target, and added those that have joined.
	replicas, added map[string]*member
	// known are the names of all targets that were listed.
	known []string
}

// startGuard starts the guard of an order to promote a target. The promotion calls stopGuard before it resumes
// replicas.
func (p *promotion) startGuard(target string) {
	g := &promotionGuard{promotion: p, replicas: p.pausedMembers(), added: make(map[string]*member)}
	g.known = slices.Collect(maps.Keys(p.members))
	delete(g.replicas, target)
	for _, s := range p.paused {
		g.followedTerm = max(g.followedTerm, s.Term)
	}
	ctx, cancel := context.WithCancel(p.engine.ctx)
	var pausing sync.WaitGroup
	if old, ok := p.members[p.old]; ok {
		// The promotion does not wait for it: a late order to step down does no harm.
		p.engine.promotions.Go(func() { p.keepSteppedDown(ctx, old) })
	}
	pausing.Go(func() { g.keepPaused(ctx) })
	p.stopGuard = func() {
		cancel()
		pausing.Wait()
		g.handOver()
	}
}

// handOver gives the targets that the guard has added to the promotion, which resumes them and closes their
// connections.
func (g *promotionGuard) handOver() {
	for name, m := range g.added {
		if g.members[name] == nil {
			g.members[name], g.promotion.joined[name] = m, m
		}
		g.toResume[name] = g.members[name]
	}
}

// keepSteppedDown orders the old primary to step down until ctx ends.
func (p *promotion) keepSteppedDown(ctx context.Context, old *member) {
	for {
		if _, err := old.control.callUntil(p.lockedUntil, statusTimeout, Command{Op: OpStepDown, Term: p.term}); err != nil {
			p.log().WithField(logfield.Error, err).Debug(logevent.OldPrimaryNotSteppingDown)
		}
		if clock.Sleep(ctx, leadPoll) != nil {
			return
		}
	}
}

// keepPaused pauses replicas that restart or join until ctx ends.
func (g *promotionGuard) keepPaused(ctx context.Context) {
	for round := 1; clock.Sleep(ctx, leadPoll) == nil; round++ {
		if round%guardListRounds == 0 {
			g.addJoined(ctx)
		}
		g.pauseAgain()
	}
}

// pauseAgain pauses the replicas that are not paused and still follow the old primary.
func (g *promotionGuard) pauseAgain() {
	unpaused := make(map[string]*member)
	for name, s := range g.send(g.replicas, Command{Op: OpStatus}) {
		if s.Role == leadership.RoleReplica && s.Term <= g.followedTerm && !s.IsPaused() {
			unpaused[name] = g.replicas[name]
		}
	}
	if len(unpaused) > 0 {
		g.pausedAgain.Store(true)
		g.send(unpaused, Command{Op: OpPause, Term: g.term})
	}
}

// send sends a command to replicas while the promotion lock is held. A replica that does not answer does not hold up
// the others for long.
func (g *promotionGuard) send(replicas map[string]*member, command Command) map[string]leadership.Status {
	return g.sendWhileLocked(replicas, recheckTimeout, command)
}

// addJoined adds the targets that have joined since the last list. A list that fails is made again in a later round.
func (g *promotionGuard) addJoined(ctx context.Context) {
	if g.engine.options.TargetLister == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	joined, err := g.listJoined(ctx, g.known)
	if err != nil {
		g.log().WithField(logfield.Error, err).Debug(logevent.TargetsNotListed)
		return
	}
	maps.Copy(g.replicas, joined)
	maps.Copy(g.added, joined)
	g.known = slices.AppendSeq(g.known, maps.Keys(joined))
}
