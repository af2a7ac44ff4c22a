package engine

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayacove/papayacove/internal/clock"
	"github.com/papayacove/papayacove/internal/logevent"
	"github.com/papayacove/papayacove/internal/logfield"
	"github.com/papayacove/papayacove/internal/policy/leadership"
	"github.com/papayacove/papayacove/internal/policy/takeover"
)

const (
	// promotionEstimate is the time after which a caller may retry a statement that found no primary or no connection:
	// a promotion is expected to take about as long.
	promotionEstimate = 500 * time.Millisecond
	// promotionRetryDelay is the time after a failed attempt in which this daemon starts no other.
	promotionRetryDelay = 800 * time.Millisecond
	// promoteTimeout bounds one order to promote.
	promoteTimeout = time.Second
	// leadTimeout bounds the wait until the promoted target is the primary.
	leadTimeout = 3 * time.Second
	// leadPoll is the time between two status calls during that wait, and between two orders.
	leadPoll = 50 * time.Millisecond
	// orderReserve is the time for which the promotion lock must still be held when an order is sent.
	orderReserve = 500 * time.Millisecond
	// recheckTimeout bounds the status calls before a promotion. The primary has been unresponsive for longer.
	recheckTimeout = 100 * time.Millisecond
	// pauseAttempts is the number of times that the order to pause is sent to a replica that does not confirm it.
	pauseAttempts = 3
)

// promotion is one attempt to replace the primary of a group.
type promotion struct {
	engine *Engine
	group  *group
	reason takeover.Reason

	token       uint64
	lockedUntil time.Duration
	// lastOld is the last primary that is known to be replaced under the lock, newestTerm the newest term of the targets.
	lastOld    takeover.OldPrimary
	newestTerm uint64
	// old is the name of the primary to replace; empty for none.
	old string
	// oldStillLeads is true when the old primary reports that it leads, and no target reports a later term.
	oldStillLeads bool
	oldTerm       uint64
	// term is the term at which replicas are paused.
	term uint64
	// members are the targets of the group, joined those of them that only the store lists and the daemon has not learned of.
	members map[string]*member
	joined  map[string]*member
	paused  map[string]leadership.Status
	// toResume are the replicas that were paused, also those that have not confirmed it again since a target joined.
	toResume map[string]*member
	// pausedAt is the time of the boot clock after the last pause.
	pausedAt time.Duration
	demoted  *leadership.Status
	// steppedDownAt is the time of the boot clock after the old primary stepped down last; 0 if it has not.
	steppedDownAt time.Duration
	// stopGuard stops the guard of the order. pausedAgain is true once the guard has paused a replica that was not.
	stopGuard   func()
	pausedAgain atomic.Bool
	// orderIsOpen is true while an order may still take effect.
	orderIsOpen bool
	// restsOnStepDown is true if a replica is not paused, and the choice of the target rests on the step-down.
	restsOnStepDown bool
	// oldIsSilent is true if the old primary did not answer the last order to step down.
	oldIsSilent bool
	// settledTerm is what is told of the promotion when the lock is released, as PromotionLock.Release expects it.
	// released is true after that.
	settledTerm uint64
	released    bool
}

// takeOver replaces the primary of a group unless another daemon holds the promotion lock or has replaced it.
func (e *Engine) takeOver(g *group, reason takeover.Reason) {
	if e.stopping.Load() {
		return
	}
	suspected, began := g.beginPromotion()
	if !began {
		return
	}
	e.promotions.Add(1)
	defer e.promotions.Done()
	delay := promotionRetryDelay
	defer func() { g.endPromotion(delay) }()
	p := &promotion{
		engine: e, group: g, reason: reason, old: suspected.primary, oldTerm: suspected.term,
		joined: make(map[string]*member), toResume: make(map[string]*member), settledTerm: takeover.NothingOrdered,
	}
	defer p.closeJoined()
	if !e.isDirectorySettled() {
		// The wait for the end of a hold of another daemon, or of an earlier start of this one, begins now.
		err := e.options.PromotionLock.Observe(e.ctx, g.name)
		p.log().WithField(logfield.Error, err).Info(logevent.DirectoryNotSettled)
		return
	}
	hold, err := e.options.PromotionLock.Acquire(e.ctx, g.name, takeover.OldPrimary{Name: p.old, Term: p.oldTerm})
	if err != nil {
		p.log().WithField(logfield.Error, err).Info(logevent.PromotionNotStarted)
		return
	}
	defer p.release()
	p.token, p.lockedUntil, p.lastOld = hold.Token, hold.Until, hold.Old
	p.copyMembers()
	if _, err := p.addListed(); err != nil {
		p.log().WithField(logfield.Error, err).Info(logevent.PromotionNotStarted)
		return
	}
	if !p.isStillNeeded() {
		p.log().Info(logevent.PromotionNotNeeded)
		return
	}
	if reason == takeover.ReasonPaused {
		p.resumeForgotten()
		return
	}
	if p.run() {
		delay = takeover.PromotionHoldTime
	}
}

// release releases the promotion lock, also in a planned stop: the other daemons would wait for its end otherwise.
// While an order may still take effect they have to: the next promotion may be given up, and would end the pauses.
func (p *promotion) release() {
	if p.released {
		return
	}
	if p.orderIsOpen {
		p.log().Warn(logevent.PromotionLockKept)
		return
	}
	p.released = true
	ctx := context.WithoutCancel(p.engine.ctx)
	p.engine.options.PromotionLock.Release(ctx, p.group.name, p.settledTerm)
}

// presumedPrimary is the name of the target that a daemon presumes to be the primary of a group, with its term. An
// empty name stands for none.
type presumedPrimary struct {
	primary string
	term    uint64
}

// beginPromotion marks a promotion as running, and returns the presumed primary that it starts from. It returns
// false when a promotion is already running in this daemon.
func (g *group) beginPromotion() (presumedPrimary, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.promoting {
		return presumedPrimary{}, false
	}
	g.promoting = true
	g.markUnsettled(unsettledPromotion)
	return presumedPrimary{g.primary, g.term}, true
}

func (g *group) endPromotion(delay time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.promoting = false
	g.markUnsettled(unsettledPromotion)
	g.noPromotionUntil = clock.SinceBoot() + delay
	g.requestStatusRound()
}

func (p *promotion) log() *logrus.Entry {
	return logrus.WithFields(logrus.Fields{logfield.Group: p.group.name, logfield.OldPrimary: p.old, logfield.Term: p.term, logfield.Token: p.token, logfield.Reason: string(p.reason)})
}

// isStillNeeded makes another status round while this daemon holds the promotion lock, and reports whether the
// primary still has to be replaced.
func (p *promotion) isStillNeeded() bool {
	g := p.group
	known := maps.Clone(p.members)
	maps.DeleteFunc(known, func(name string, _ *member) bool { return p.joined[name] != nil })
	began := clock.SinceBoot()
	statuses := g.askAll(known, recheckTimeout)
	g.applyStatusRound(statuses, began)
	maps.Copy(statuses, sendToAll(p.joined, Command{Op: OpStatus}))
	g.mu.Lock()
	now, leaving := presumedPrimary{g.primary, g.term}, g.isLeaving(p.old)
	g.mu.Unlock()
	if now.primary != "" && now != (presumedPrimary{p.old, p.oldTerm}) {
		return false
	}
	leader, _, found := leadership.Leader(statuses)
	if p.joined[leader] != nil {
		return false
	}
	p.oldStillLeads = found && leader == p.old
	for _, s := range statuses {
		p.newestTerm = max(p.newestTerm, s.Term)
		p.term = max(p.term, s.Term+1, s.PausedTerm)
	}
	p.newestTerm = max(p.newestTerm, now.term)
	p.term = max(p.term, now.term+1)
	switch p.reason {
	case takeover.ReasonLeaving:
		return leaving
	case takeover.ReasonStalled:
		return true
	case takeover.ReasonPaused:
		return p.oldStillLeads
	}
	return !p.oldStillLeads
}

// run carries the promotion out and reports whether the promoted target is the primary now.
func (p *promotion) run() bool {
	p.log().Info(logevent.PromotionBegun)
	defer p.logUnpausedMembers()
	target := p.prepare()
	if target == "" {
		return false
	}
	p.settledTerm, p.orderIsOpen = 0, true
	p.startGuard(target)
	defer p.stopGuard()
	if p.orderPromotion(target) == orderRefused {
		p.stopGuard()
		p.settledTerm, p.orderIsOpen = takeover.NothingOrdered, false
		p.abort()
		return false
	}
	return p.awaitNewPrimary(target)
}

// prepare pauses the replicas and waits for the order to be safe. It returns the target to promote, or an empty name if the
// promotion is given up. It begins anew when a target has joined meanwhile: its receipt may let the primary acknowledge
// commits.
func (p *promotion) prepare() string {
	for {
		p.pauseReplicas()
		choice := p.choose()
		p.log().WithFields(logrus.Fields{
			logfield.Target: choice.Target, logfield.Why: choice.Reason, logfield.Paused: len(p.paused),
		}).Info(logevent.PromotionChoice)
		if choice.Target == "" {
			p.abort()
			return ""
		}
		if !p.awaitProofExpiry() {
			return ""
		}
		joined, ok := p.recheck()
		if !ok || joined > 0 && clock.SinceBoot()+leadership.ProofValidity > p.lockedUntil-orderReserve {
			p.abort()
			return ""
		}
		if joined == 0 {
			return choice.Target
		}
	}
}

// choose returns the target to promote. The old primary steps down for it if a replica cannot be paused.
func (p *promotion) choose() takeover.Choice {
	choice := takeover.Choose(p.replicas(), p.paused, nil, p.isLeaving)
	p.restsOnStepDown = choice.Target == ""
	if p.restsOnStepDown && p.hasWholeLog() {
		// It may have restarted and lead again since it stepped down in an earlier round.
		p.demoted = nil
		p.stepDown()
		choice = takeover.Choose(p.replicas(), p.paused, p.demoted, p.isLeaving)
	}
	return choice
}

// awaitProofExpiry waits until no daemon can hold a valid leadership proof of the old primary, and meanwhile
// orders the old primary to step down. It returns false when the engine was closed.
func (p *promotion) awaitProofExpiry() bool {
	var pending sync.WaitGroup
	defer pending.Wait()
	expiry := takeover.EarliestOrder(p.pausedAt, p.steppedDownAt)
	if p.demoted == nil {
		pending.Go(p.stepDown)
	}
	return clock.Sleep(p.engine.ctx, expiry-clock.SinceBoot()) == nil
}

// hasWholeLog reports whether a paused replica has the whole log of the old primary, which still leads. The old
// primary may then step down although another replica cannot be paused: otherwise the group would be left without
// a primary.
func (p *promotion) hasWholeLog() bool {
	m, ok := p.members[p.old]
	if !ok || !p.oldStillLeads || len(p.paused) == 0 {
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

// replicas returns the names of the replicas that may have acknowledged a commit, including those that are gone.
func (p *promotion) replicas() []string {
	p.group.mu.Lock()
	lost := p.group.lostReplicas.Blocking(clock.SinceBoot())
	if p.oldStillLeads {
		lost = p.group.lostReplicas.All()
	}
	p.group.mu.Unlock()
	names := slices.AppendSeq(takeover.Awaited(lost, p.lastOld, p.newestTerm), maps.Keys(p.members))
	slices.Sort(names)
	return slices.DeleteFunc(names, func(name string) bool { return name == p.old })
}

func (p *promotion) isLeaving(name string) bool {
	if m := p.joined[name]; m != nil && m.target.Leaving {
		return true
	}
	p.group.mu.Lock()
	defer p.group.mu.Unlock()
	return p.group.isLeaving(name)
}

// pauseReplicas stops all replicas from receiving the log.
func (p *promotion) pauseReplicas() {
	pending := maps.Clone(p.members)
	delete(pending, p.old)
	p.paused = make(map[string]leadership.Status)
	for range pauseAttempts {
		answers := p.sendWhileLocked(pending, statusTimeout, Command{Op: OpPause, Term: p.term})
		p.recordAnswers(answers)
		for name, s := range answers {
			if s.Role == leadership.RoleReplica && s.IsPaused() {
				p.paused[name], p.toResume[name] = s, p.members[name]
				delete(pending, name)
			}
			if s.Role == leadership.RolePrimary && s.Term+1 < p.term {
				p.demoteStalePrimary(name)
			}
		}
		if len(pending) == 0 {
			break
		}
	}
	p.pausedAt = clock.SinceBoot()
}

// recordAnswers records the answers for the group, so that a replica that has started again without its log counts as lost.
func (p *promotion) recordAnswers(answers map[string]leadership.Status) {
	p.group.mu.Lock()
	defer p.group.mu.Unlock()
	p.group.recordStatuses(maps.Clone(answers))
}

// demoteStalePrimary makes a target a replica that still leads in a term before the last one, so that it can be
// paused.
func (p *promotion) demoteStalePrimary(name string) {
	_, err := p.members[name].control.call(Command{Op: OpStepDown, Term: p.term - 1})
	p.log().WithFields(logrus.Fields{logfield.Target: name, logfield.Error: err}).Info(logevent.ForgottenPrimaryDemoted)
}

// stepDown orders the old primary to step down. It may be unreachable. Its log contains every acknowledged commit
// only if it led until now.
func (p *promotion) stepDown() {
	m, ok := p.members[p.old]
	if !ok {
		return
	}
	s, err := m.control.call(Command{Op: OpStepDown, Term: p.term})
	p.oldIsSilent = err != nil
	if err != nil {
		p.log().WithField(logfield.Error, err).Info(logevent.OldPrimaryNotSteppingDown)
		return
	}
	if p.oldStillLeads && s.Role == leadership.RoleReplica {
		p.demoted, p.steppedDownAt = &s, clock.SinceBoot()
	}
}

func (p *promotion) pausedMembers() map[string]*member {
	paused := make(map[string]*member, len(p.paused))
	for name := range p.paused {
		paused[name] = p.members[name]
	}
	return paused
}
