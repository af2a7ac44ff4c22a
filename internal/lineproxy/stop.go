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
	// backlogTime is the time for accepting the connections that arrived before the listener is closed.
	backlogTime = 20 * time.Millisecond
	// openingTime is the time that a connection accepted last has to ask for its session.
	openingTime = 100 * time.Millisecond
	// awaitInterval is the time between two checks of connections that end.
	awaitInterval = 5 * time.Millisecond
	// maxLogTime bounds the time for writing the log.
	maxLogTime = 200 * time.Millisecond
)

// stop is a planned stop in progress.
type stop struct {
	schedule stopping.Schedule
	// began is the time of the boot clock at which it began.
	began time.Duration
}

// left returns the time that is left until a time of the schedule; 0 when it is over.
func (s stop) left(at time.Duration) time.Duration { return max(0, s.began+at-clock.SinceBoot()) }

// until returns a context that ends at a time of the schedule.
func (s stop) until(at time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), s.left(at))
}

// shutDown stops the daemon as planned: the balancer stops sending new callers, the sessions are closed, and then what
// they use.
func (p *Proxy) shutDown() {
	settings := p.settings.Load()
	logrus.WithField(logfield.Daemon, settings.Name).Info(logevent.DaemonLeaving)
	schedule := stopping.ScheduleOf(time.Duration(settings.Fleet.GraceS * float64(time.Second)))
	s := stop{schedule: schedule, began: clock.SinceBoot()}
	sessions, cancel := s.until(schedule.Conclude)
	defer cancel()
	p.feed.Leave()
	if p.quota != nil {
		p.quota.Leave()
	}
	go p.registry.Leave(sessions)
	// Callers that come although the daemon is not ready are served no longer than their statements can end.
	accepting, stopAccepting := s.until(schedule.AcceptUntil)
	defer stopAccepting()
	p.engine.Drain(accepting, schedule)
	p.stopAccepting()
	p.engine.FinishSessions(sessions)
	p.awaitOpenings(s)
	p.answerPeers(s)
	p.engine.CloseWithin(s.left(schedule.Promotions))
	p.store.Close()
	logrus.WithFields(logrus.Fields{
		logfield.Daemon: settings.Name, logfield.Took: clock.SinceBoot() - s.began,
	}).Info(logevent.DaemonStopped)
	p.logBy.Store(int64(s.began + schedule.Log))
}

// LogTime returns the time that a stop has left for writing the log; maxLogTime if there was none.
func (p *Proxy) LogTime() time.Duration {
	by := p.logBy.Load()
	if by == 0 {
		return maxLogTime
	}
	return min(maxLogTime, max(0, time.Duration(by)-clock.SinceBoot()))
}

// stopAccepting accepts the connections that have arrived, and no more. Those without a session are refused one from
// now on, or closed if they do not ask for it soon.
func (p *Proxy) stopAccepting() {
	p.engine.StopAdmitting()
	if listener, ok := p.listener.(interface{ SetDeadline(time.Time) error }); ok {
		_ = listener.SetDeadline(time.Now().Add(backlogTime))
		p.accepting.Wait()
	}
	_ = p.listener.Close()
	p.openings.expectBy(time.Now().Add(openingTime))
}

// awaitOpenings waits until the callers without a session are refused one.
func (p *Proxy) awaitOpenings(s stop) {
	ctx, cancel := s.until(s.schedule.Cut)
	defer cancel()
	for ctx.Err() == nil && p.openings.count() > 0 {
		_ = clock.Sleep(ctx, awaitInterval)
	}
	if opening := p.openings.count(); opening > 0 {
		logrus.WithField(logfield.Callers, opening).Info(logevent.CallersNotOpened)
	}
}

// answerPeers closes the connections of other daemons, once they have the answers to their statements. They have the
// time of the schedule for that also if the stop is late.
func (p *Proxy) answerPeers(s stop) {
	left := max(s.left(s.schedule.Peers), s.schedule.Peers-s.schedule.Cut)
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	p.peers.Drain(ctx)
	p.engine.LogRelaysCut()
	p.peers.Close()
}
