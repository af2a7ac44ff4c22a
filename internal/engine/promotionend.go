package engine

import (
	"maps"

	"github.com/sirupsen/logrus"

	"github.com/papayacove/papayacove/internal/clock"
	"github.com/papayacove/papayacove/internal/logevent"
	"github.com/papayacove/papayacove/internal/logfield"
	"github.com/papayacove/papayacove/internal/policy/leadership"
)

// awaitNewPrimary waits until the target is the primary, so that the promotion lock is not released before. It leaves
// the replicas paused otherwise: the order may still take effect. The next promotion pauses them again, and ends the
// pauses.
func (p *promotion) awaitNewPrimary(target string) bool {
	m := p.members[target]
	end := clock.SinceBoot() + leadTimeout
	for clock.SinceBoot() < end {
		s, err := m.control.call(Command{Op: OpStatus})
		if err == nil && s.Role == leadership.RolePrimary {
			p.log().WithFields(logrus.Fields{logfield.Target: target, logfield.NewTerm: s.Term, logfield.Elapsed: clock.SinceBoot() - p.pausedAt}).Info(logevent.PromotionDone)
			p.settledTerm, p.orderIsOpen = s.Term, false
			p.group.recordPromoted(target, s, p.lockedUntil)
			p.stopGuard()
			p.finish(target)
			p.release()
			if p.oldIsSilent {
				p.stepDown()
			}
			p.group.runStatusRound()
			return true
		}
		if clock.Sleep(p.engine.ctx, leadPoll) != nil {
			return false
		}
	}
	p.orderIsOpen = false
	p.log().WithField(logfield.Target, target).Warn(logevent.PromotedTargetNotLeading)
	return false
}

// finish orders the old primary to step down, if it has not yet and answers, and resumes the other replicas that are
// still paused.
func (p *promotion) finish(target string) {
	if p.demoted == nil && !p.oldIsSilent {
		p.stepDown()
	}
	stillPaused := make(map[string]*member)
	asked := maps.Clone(p.members)
	if p.oldIsSilent {
		delete(asked, p.old)
	}
	for name, s := range sendToAll(asked, Command{Op: OpStatus}) {
		if name != target && s.Role == leadership.RoleReplica && s.IsPaused() && !p.isLeaving(name) {
			stillPaused[name] = p.members[name]
		}
	}
	p.resume(stillPaused)
}
