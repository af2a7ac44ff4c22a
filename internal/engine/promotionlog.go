package engine

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayacove/papayacove/internal/clock"
	"github.com/papayacove/papayacove/internal/logevent"
	"github.com/papayacove/papayacove/internal/logfield"
	"github.com/papayacove/papayacove/internal/policy/leadership"
)

// logResumed logs at a bounded rate that replicas were told to receive again, and what they answered.
func (p *promotion) logResumed(names []string, answers map[string]leadership.Status) {
	if len(names) == 0 || !p.group.proofLog.limiter.Allow(logevent.ReplicasResumed, time.Now()) {
		return
	}
	stillPaused := 0
	for _, s := range answers {
		if s.IsPaused() {
			stillPaused++
		}
	}
	p.log().WithFields(p.lockFields()).WithFields(logrus.Fields{
		logfield.Targets: names, logfield.Answered: len(answers), logfield.Paused: stillPaused,
	}).Info(logevent.ReplicasResumed)
}

// logUnknownOrder logs at a bounded rate that an order to promote may take effect although it was not confirmed.
func (p *promotion) logUnknownOrder(target string, err error) {
	if !p.group.proofLog.limiter.Allow(logevent.PromotionOutcomeUnknown, time.Now()) {
		return
	}
	fields := logrus.Fields{logfield.Target: target, logfield.Error: err}
	p.log().WithFields(p.lockFields()).WithFields(fields).Warn(logevent.PromotionOutcomeUnknown)
}

// lockFields returns the daemon that promotes, and for how long it still holds the promotion lock; negative since it
// does no longer.
func (p *promotion) lockFields() logrus.Fields {
	return logrus.Fields{logfield.Daemon: p.engine.options.Name, logfield.LockLeft: p.lockedUntil - clock.SinceBoot()}
}
