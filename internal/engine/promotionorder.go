package engine

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayacove/papayacove/internal/clock"
	"github.com/papayacove/papayacove/internal/logevent"
	"github.com/papayacove/papayacove/internal/logfield"
	"github.com/papayacove/papayacove/internal/policy/leadership"
)

// orderOutcome is what is known of the orders to promote of a promotion.
type orderOutcome uint8

const (
	// orderRefused means that no order has taken effect or will.
	orderRefused orderOutcome = iota
	orderAccepted
	// orderUnknown means that an order may have taken effect or may still do so. The replicas stay paused then: what
	// the old primary acknowledged before the effect would be lost.
	orderUnknown
)

// orderPromotion sends the order to promote until it is accepted, while the promotion lock is held. It returns at once
// when the target is down. What the choice rests on is checked again before each further order: the replicas may have
// restarted.
func (p *promotion) orderPromotion(target string) orderOutcome {
	outcome := orderRefused
	for clock.SinceBoot() < p.lockedUntil-orderReserve {
		err := p.sendOrder(target)
		switch {
		case err == nil:
			return orderAccepted
		case errors.Is(err, ErrTargetDown):
			return outcome
		case !errors.Is(err, ErrOrderRefused):
			outcome = orderUnknown
			p.logUnknownOrder(target, err)
		}
		if clock.Sleep(p.engine.ctx, leadPoll) != nil {
			return outcome
		}
		// A replica that was not paused for a moment may have proved the old term.
		if joined, ok := p.recheck(); !ok || joined > 0 || p.pausedAgain.Load() {
			return outcome
		}
	}
	return outcome
}

// sendOrder sends one order to promote. It does not arrive after the end of the promotion lock: its successor counts
// on the effect of all orders within a second.
func (p *promotion) sendOrder(target string) error {
	ctx, cancel := context.WithTimeout(p.engine.ctx, min(promoteTimeout, p.lockedUntil-clock.SinceBoot()))
	defer cancel()
	err := p.engine.options.Promoter.Promote(ctx, p.group.name, target, p.token)
	p.log().WithFields(logrus.Fields{logfield.Target: target, logfield.Error: err}).Info(logevent.PromotionOrdered)
	return err
}

// abort resumes the replicas paused by a promotion that is abandoned, of which no order can take effect.
func (p *promotion) abort() {
	p.log().WithField(logfield.Resumed, p.resume(p.toResume)).Warn(logevent.PromotionGivenUp)
}

// sendWhileLocked does what sendToAll does within a timeout, and sends nothing after the end of the promotion lock: an
// order to resume would undo the pause of another promotion, whose order is under way, and nobody would end a pause.
func (p *promotion) sendWhileLocked(
	members map[string]*member, timeout time.Duration, command Command,
) map[string]leadership.Status {
	return callAll(members, command.Op, func(m *member) (leadership.Status, error) {
		return m.control.callUntil(p.lockedUntil, timeout, command)
	})
}

// resume resumes replicas while the promotion lock is held, and returns the number of those that confirm it. It
// leaves those that another promotion has paused at a later term.
func (p *promotion) resume(replicas map[string]*member) int {
	replicas = maps.Clone(replicas)
	for name, s := range p.sendWhileLocked(replicas, statusTimeout, Command{Op: OpStatus}) {
		if s.PausedTerm > p.term {
			delete(replicas, name)
		}
	}
	answers := p.sendWhileLocked(replicas, statusTimeout, Command{Op: OpResume, Term: p.term})
	p.logResumed(slices.Sorted(maps.Keys(replicas)), answers)
	resumed := 0
	for name := range replicas {
		if s, ok := answers[name]; ok && s.Role != leadership.RoleUnknown && !s.IsPaused() {
			resumed++
			continue
		}
		p.log().WithField(logfield.Target, name).Warn(logevent.ReplicaNotResumed)
	}
	return resumed
}
