package engine

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
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
	// promotionEstimate is the time after which a caller without a primary may come back.
	promotionEstimate = 500 * time.Millisecond
	// contestSpread spreads the attempts of daemons that suspect a primary at the same time.
	contestSpread = 150 * time.Millisecond
	// retakePause is the time after a failed attempt in which this daemon does not try again.
	retakePause = 800 * time.Millisecond
	// promoteTimeout bounds one order to promote.
	promoteTimeout = time.Second
	// leadTimeout bounds the wait until the promoted target leads.
	leadTimeout = 3 * time.Second
	// leadPoll is the time between two status calls of that wait.
	leadPoll = 50 * time.Millisecond
	// orderReserve is the part of the duty's time that is left when an order is sent.
	orderReserve = 500 * time.Millisecond
	// recheckTimeout bounds the status calls before a promotion; the primary has been silent for longer.
	recheckTimeout = 100 * time.Millisecond
	// pauseAttempts is how often a replica is asked to pause.
	pauseAttempts = 3
)

// promotion is one attempt to replace the primary of a group.
type promotion struct {
	engine *Engine
	group  *group
	reason takeover.Reason

	token uint64
	until time.Duration
	// old is the primary to replace; empty for none.
	old string
	// oldLeads is true when it still says that it leads, and no target knows of a later term.
	oldLeads bool
	oldTerm  uint64
	// term is the one that replicas are paused at.
	term    uint64
	members map[string]*member
	paused  map[string]authority.Status
	// pausedAt is the time of the boot clock after the last pause.
	pausedAt time.Duration
	demoted  *authority.Status
}

// takeOver replaces the primary of a group unless another daemon does.
func (e *Engine) takeOver(g *group, reason takeover.Reason) {
	suspect, began := g.beginPromotion()
	if !began {
		return
	}
	rest := retakePause
	defer func() { g.endPromotion(rest) }()
	if clock.Sleep(e.ctx, rand.N(contestSpread)) != nil {
		return
	}
	p := &promotion{engine: e, group: g, reason: reason, old: suspect.leader, oldTerm: suspect.term}
	if !e.isDirectorySettled() {
		p.log().Info(logevent.DirectoryNotSettled)
		return
	}
	token, until, err := e.options.Duty.Acquire(e.ctx)
	if err != nil {
		p.log().WithField(logfield.Error, err).Info(logevent.PromotionNotStarted)
		return
	}
	defer e.options.Duty.Release(e.ctx)
	p.token, p.until = token, until
	if !p.isStillNeeded() {
		p.log().Info(logevent.PromotionNotNeeded)
		return
	}
	if p.run() {
		rest = takeover.Rest
	}
}

// belief is what a daemon takes for the primary of a group; an empty leader stands for none.
type belief struct {
	leader string
	term   uint64
}

// beginPromotion marks a promotion as running, unless one does here, and returns the belief that it starts from.
func (g *group) beginPromotion() (belief, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.promoting {
		return belief{}, false
	}
	g.promoting = true
	return belief{g.leader, g.term}, true
}

func (g *group) endPromotion(rest time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.promoting = false
	g.restUntil = clock.Boot() + rest
	g.requestLook()
}

func (p *promotion) log() *logrus.Entry {
	return logrus.WithFields(logrus.Fields{logfield.Group: p.group.name, logfield.OldPrimary: p.old, logfield.Term: p.term, logfield.Token: p.token, logfield.Reason: string(p.reason)})
}

// isStillNeeded looks at all targets again, now that no other daemon acts.
func (p *promotion) isStillNeeded() bool {
	g := p.group
	g.mu.Lock()
	p.members = g.witnessable()
	g.mu.Unlock()
	began := clock.Boot()
	statuses := askWithin(recheckTimeout, p.members, func(string) Command { return Command{Op: OpStatus} })
	g.takeIn(statuses, began)
	g.mu.Lock()
	now, leaving := belief{g.leader, g.term}, g.isLeaving(p.old)
	g.mu.Unlock()
	if now.leader != "" && now != (belief{p.old, p.oldTerm}) {
		return false
	}
	reached, _, found := authority.Leader(statuses)
	p.oldLeads = found && reached == p.old
	for _, s := range statuses {
		p.term = max(p.term, s.Term+1, s.PausedTerm)
	}
	p.term = max(p.term, now.term+1)
	switch p.reason {
	case takeover.ReasonLeaving:
		return leaving
	case takeover.ReasonStalled:
		return true
	}
	return !p.oldLeads
}

// run carries the promotion out and reports whether a target leads now.
func (p *promotion) run() bool {
	p.log().Info(logevent.PromotionBegun)
	p.pauseReplicas()
	choice := takeover.Choose(p.replicas(), p.paused, nil, p.isLeaving)
	if choice.Target == "" && p.hasWholeLog() {
		p.stepDown()
		choice = takeover.Choose(p.replicas(), p.paused, p.demoted, p.isLeaving)
	}
	p.log().WithFields(logrus.Fields{logfield.Target: choice.Target, logfield.Why: choice.Reason, logfield.Paused: len(p.paused)}).Info(logevent.PromotionChoice)
	if choice.Target == "" {
		p.resume()
		return false
	}
	if !p.waitAuthorityOut() {
		return false
	}
	if now := askAll(p.pausedMembers(), func(string) Command { return Command{Op: OpStatus} }); !takeover.StillPaused(p.paused, now) {
		p.log().Warn(logevent.ReplicaNoLongerPaused)
		p.resume()
		return false
	}
	if !p.order(choice.Target) {
		p.resume()
		return false
	}
	return p.awaitLead(choice.Target)
}

// waitAuthorityOut waits until no daemon takes the old primary for the leader any more, and tells that meanwhile to step
// down. It reports whether the engine still runs.
func (p *promotion) waitAuthorityOut() bool {
	var pending sync.WaitGroup
	defer pending.Wait()
	if p.demoted == nil {
		pending.Go(p.stepDown)
	}
	return clock.Sleep(p.engine.ctx, p.pausedAt+authority.Term-clock.Boot()) == nil
}

// hasWholeLog reports whether a paused replica has all that the old primary has, which still leads. That one may then
// step down although another replica cannot be paused: otherwise the group would be left without a primary.
func (p *promotion) hasWholeLog() bool {
	m, ok := p.members[p.old]
	if !ok || !p.oldLeads || len(p.paused) == 0 {
		return false
	}
	own, err := m.control.call(Command{Op: OpStatus})
	if err != nil {
		p.log().WithField(logfield.Error, err).Info(logevent.OldPrimaryNotSteppingDown)
		return false
	}
	for _, s := range p.paused {
		if s.Received.Compare(own.Received) >= 0 {
			return true
		}
	}
	return false
}

// replicas are the targets that may have counted for an acknowledged commit, also those that are gone.
func (p *promotion) replicas() []string {
	p.group.mu.Lock()
	names := append(p.group.owed.Names(clock.Boot()), slices.Collect(maps.Keys(p.members))...)
	p.group.mu.Unlock()
	slices.Sort(names)
	return slices.DeleteFunc(names, func(name string) bool { return name == p.old })
}

func (p *promotion) isLeaving(name string) bool {
	p.group.mu.Lock()
	defer p.group.mu.Unlock()
	return p.group.isLeaving(name)
}

// pauseReplicas stops all replicas from receiving.
func (p *promotion) pauseReplicas() {
	pending := maps.Clone(p.members)
	delete(pending, p.old)
	p.paused = make(map[string]authority.Status)
	for range pauseAttempts {
		answers := askAll(pending, func(string) Command { return Command{Op: OpPause, Term: p.term} })
		for name, s := range answers {
			if s.Role == authority.RoleReplica && s.IsPaused() {
				p.paused[name] = s
				delete(pending, name)
			}
			if s.Role == authority.RolePrimary && s.Term+1 < p.term {
				p.demoteForgotten(name)
			}
		}
		if len(pending) == 0 {
			break
		}
	}
	p.pausedAt = clock.Boot()
}

// demoteForgotten makes a target follow that still leads in a term before the last one, so that it can be paused.
func (p *promotion) demoteForgotten(name string) {
	_, err := p.members[name].control.call(Command{Op: OpStepDown, Term: p.term - 1})
	p.log().WithFields(logrus.Fields{logfield.Target: name, logfield.Error: err}).Info(logevent.ForgottenPrimaryDemoted)
}

// stepDown asks the old primary to stop leading. It may not be reached. Its log tells of every acknowledged commit only
// if it led until now.
func (p *promotion) stepDown() {
	m, ok := p.members[p.old]
	if !ok {
		return
	}
	s, err := m.control.call(Command{Op: OpStepDown, Term: p.term})
	if err != nil {
		p.log().WithField(logfield.Error, err).Info(logevent.OldPrimaryNotSteppingDown)
		return
	}
	if p.oldLeads && s.Role == authority.RoleReplica {
		p.demoted = &s
	}
}

// resume ends the pauses of a promotion that is given up.
func (p *promotion) resume() {
	paused := p.pausedMembers()
	askAll(paused, func(string) Command { return Command{Op: OpResume, Term: p.term} })
	p.log().WithField(logfield.Resumed, len(paused)).Warn(logevent.PromotionGivenUp)
}

func (p *promotion) pausedMembers() map[string]*member {
	paused := make(map[string]*member, len(p.paused))
	for name := range p.paused {
		paused[name] = p.members[name]
	}
	return paused
}

// order sends the order to promote until it is accepted, while the duty is held.
func (p *promotion) order(target string) bool {
	for clock.Boot() < p.until-orderReserve {
		ctx, cancel := context.WithTimeout(p.engine.ctx, promoteTimeout)
		err := p.engine.options.Promoter.Promote(ctx, p.group.name, target, p.token)
		cancel()
		p.log().WithFields(logrus.Fields{logfield.Target: target, logfield.Error: err}).Info(logevent.PromotionOrdered)
		if err == nil {
			return true
		}
		if errors.Is(err, ErrTargetDown) {
			return false
		}
		if clock.Sleep(p.engine.ctx, leadPoll) != nil {
			return false
		}
	}
	return false
}

// awaitLead waits until the target leads, so that the duty is not given back before.
func (p *promotion) awaitLead(target string) bool {
	m := p.members[target]
	end := clock.Boot() + leadTimeout
	for clock.Boot() < end {
		s, err := m.control.call(Command{Op: OpStatus})
		if err == nil && s.Role == authority.RolePrimary {
			p.log().WithFields(logrus.Fields{logfield.Target: target, logfield.NewTerm: s.Term, logfield.Elapsed: clock.Boot() - p.pausedAt}).Info(logevent.PromotionDone)
			p.group.look()
			p.settle(target)
			return true
		}
		if clock.Sleep(p.engine.ctx, leadPoll) != nil {
			return false
		}
	}
	p.log().WithField(logfield.Target, target).Warn(logevent.PromotedTargetNotLeading)
	return false
}

// settle tells the old primary and the other replicas, where that has not happened yet.
func (p *promotion) settle(target string) {
	if p.demoted == nil {
		p.stepDown()
	}
	for name, s := range askAll(p.members, func(string) Command { return Command{Op: OpStatus} }) {
		if name != target && s.Role == authority.RoleReplica && s.IsPaused() && !p.isLeaving(name) {
			if _, err := p.members[name].control.call(Command{Op: OpResume, Term: p.term}); err != nil {
				p.log().WithFields(logrus.Fields{logfield.Target: name, logfield.Error: err}).Warn(logevent.ReplicaNotResumed)
			}
		}
	}
}
