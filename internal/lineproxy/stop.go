package lineproxy

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayacove/papayacove/internal/clock"
	"github.com/papayacove/papayacove/internal/logevent"
	"github.com/papayacove/papayacove/internal/logfield"
	"github.com/papayacove/papayacove/internal/policy/stopping"
)

const (
	// openingTime is the time that a connection accepted last has to open its session.
	openingTime = 100 * time.Millisecond
	// openingInterval is the time between two checks of these connections.
	openingInterval = 10 * time.Millisecond
	// maxLogTime bounds the time for writing the log.
	maxLogTime = 200 * time.Millisecond
	// promotionsTimeout bounds the wait for promotions in progress.
	promotionsTimeout = 400 * time.Millisecond
)

// stop is a planned stop in progress.
type stop struct {
	plan stopping.Plan
	// began is the time of the boot clock at which it began.
	began time.Duration
}

// left returns the time that is left until a time of the plan; 0 when it is over.
func (s stop) left(at time.Duration) time.Duration { return max(0, s.began+at-clock.SinceBoot()) }

// until returns a context that ends at a time of the plan.
func (s stop) until(at time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), s.left(at))
}

// shutDown stops the daemon as planned: the balancer stops sending new callers, the sessions are closed, and then what
// they use.
func (p *Proxy) shutDown() {
	settings := p.settings.Load()
	logrus.WithField(logfield.Daemon, settings.Name).Info(logevent.DaemonLeaving)
	s := stop{plan: stopping.PlanOf(time.Duration(settings.Fleet.GraceS * float64(time.Second))), began: clock.SinceBoot()}
	sessions, cancel := s.until(s.plan.Sessions)
	defer cancel()
	p.feed.Leave()
	if p.quota != nil {
		p.quota.Leave()
	}
	go p.registry.Leave(sessions)
	// Callers that come although the daemon is not ready are served no longer than their statements can end.
	accepting, stopAccepting := s.until(s.plan.Accepting)
	defer stopAccepting()
	p.engine.Drain(accepting, s.plan.Sessions)
	_ = p.listener.Close()
	p.awaitOpenings(sessions)
	p.engine.FinishSessions(sessions)
	if opening := p.opening.Load(); opening > 0 {
		logrus.WithField(logfield.Callers, opening).Info(logevent.CallersNotOpened)
	}
	p.engine.CloseWithin(min(promotionsTimeout, s.left(s.plan.Promotions)))
	p.store.Close()
	logrus.WithFields(logrus.Fields{logfield.Daemon: settings.Name, logfield.Took: clock.SinceBoot() - s.began}).Info(logevent.DaemonStopped)
	p.logBy.Store(int64(s.began + s.plan.Log))
}

// LogTime returns the time that a stop has left for writing the log; maxLogTime if there was none.
func (p *Proxy) LogTime() time.Duration {
	by := p.logBy.Load()
	if by == 0 {
		return maxLogTime
	}
	return min(maxLogTime, max(0, time.Duration(by)-clock.SinceBoot()))
}

// awaitOpenings waits until the connections that were accepted last have sessions, up to openingTime.
func (p *Proxy) awaitOpenings(ctx context.Context) {
	opened := clock.SinceBoot() + openingTime
	for ctx.Err() == nil && p.callers.Load() > 0 && clock.SinceBoot() < opened {
		_ = clock.Sleep(ctx, openingInterval)
	}
}
