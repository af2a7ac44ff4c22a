package engine

import (
	"context"
	"expvar"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/clock"
	"github.com/papayacove/papayacove/internal/logevent"
	"github.com/papayacove/papayacove/internal/logfield"
	"github.com/papayacove/papayacove/internal/telemetry"
)

// outcomes counts the statements that were not answered with success, and attempts what single targets
// refused, by result code.
var (
	outcomes = expvar.NewMap("engine_refusals")
	attempts = expvar.NewMap("engine_failed_attempts")
)

// limiter bounds the lines about single statements.
var limiter = telemetry.NewLimiter()

// servedSample is the number of statements that are served at the first attempt for each one that is logged.
const servedSample = 1000

// served counts the statements that were served.
var served atomic.Uint64

// log returns an entry that names the session and the statement.
func (s *session) log(statement Statement) *logrus.Entry {
	return logrus.WithFields(logrus.Fields{logfield.Session: s.id, logfield.Database: s.database, logfield.Request: statement.ID})
}

// logRefusal writes why a statement was not answered with success.
func (s *session) logRefusal(statement Statement, refusal *Refusal, arrived time.Time) {
	outcomes.Add(refusal.Code.String(), 1)
	if !limiter.Allow("refused_"+refusal.Code.String(), arrived) {
		return
	}
	s.log(statement).WithFields(s.engine.belief(s.database)).WithFields(logrus.Fields{
		logfield.Operation: statement.Op.String(), logfield.Code: int(refusal.Code), logfield.Outcome: refusal.Code.String(), logfield.Reason: refusal.Reason,
		logfield.RetryAfter: refusal.RetryAfter, logfield.Elapsed: time.Since(arrived),
	}).Info(logevent.StatementRefused)
}

// logAttempt writes why a statement was not served by one target, with what the choice was based on.
func (r *request) logAttempt(m *member, plan readPlan, refusal *Refusal) {
	attempts.Add(refusal.Code.String(), 1)
	now := time.Now()
	if !limiter.Allow("attempt_"+refusal.Code.String(), now) {
		return
	}
	target, applied, authority := r.group.evidence(m)
	r.session.log(r.statement).WithFields(logrus.Fields{
		logfield.Group: r.group.name, logfield.Attempt: r.attempts, logfield.Target: target, logfield.Consistency: r.route.Consistency.String(),
		logfield.Floor: plan.floor, logfield.Applied: applied, logfield.NeedsPrimary: plan.onlyPrimary, logfield.AuthorityLeft: authority,
		logfield.Code: int(refusal.Code), logfield.Outcome: refusal.Code.String(), logfield.Reason: refusal.Reason, logfield.Elapsed: now.Sub(r.arrived),
	}).Info(logevent.AttemptFailed)
}

// logServed counts a statement that was served, and writes a line when it took several attempts, or as a sample.
func (r *request) logServed(decision string) {
	now := time.Now()
	key := telemetry.LatencyKey{Workspace: r.route.Name, Group: r.group.name, Decision: decision}
	telemetry.StatementLatencies.Record(key, now.Sub(r.arrived), now)
	sampled := served.Add(1)%servedSample == 0
	if !sampled && (r.attempts <= 1 || !limiter.Allow("served", now)) {
		return
	}
	r.session.log(r.statement).WithFields(logrus.Fields{
		logfield.Group: r.group.name, logfield.Decision: decision, logfield.Attempts: r.attempts, logfield.Elapsed: now.Sub(r.arrived), logfield.Sample: sampled,
	}).Info(logevent.StatementServed)
}

// belief returns what the daemon takes for true of the group that serves a database, for the log.
func (e *Engine) belief(database string) logrus.Fields {
	e.mu.Lock()
	version := e.configuration.Version
	route, ok := e.configuration.Routes[database]
	g := e.groups[route.Group]
	e.mu.Unlock()
	if !ok || g == nil {
		return logrus.Fields{logfield.Version: version}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return logrus.Fields{
		logfield.Version: version, logfield.Route: route.Name, logfield.Group: g.name, logfield.Term: g.term, logfield.Primary: g.leader,
		logfield.AuthorityLeft: g.authorityLeft(), logfield.Targets: len(g.members),
	}
}

// evidence returns what the choice of a target was based on.
func (g *group) evidence(m *member) (target string, applied api.Position, authorityLeft time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return m.target.Name, m.applied, g.authorityLeft()
}

// authorityLeft returns how long the primary is proved to lead still; 0 when it is not. The caller holds the lock.
func (g *group) authorityLeft() time.Duration { return max(0, g.authorityUntil-clock.Boot()) }

// commands counts what was sent to targets by operation; own ones are those that no caller sent.
var (
	commands    = expvar.NewMap("engine_commands")
	ownCommands = expvar.NewMap("engine_own_commands")
)

// countingDialer counts what is sent on the connections of another dialer.
type countingDialer struct{ Dialer }

// Dial connects to a target.
func (d countingDialer) Dial(ctx context.Context, target Target) (Connection, error) {
	conn, err := d.Dialer.Dial(ctx, target)
	if err != nil {
		return nil, err
	}
	return countingConnection{conn}, nil
}

type countingConnection struct{ Connection }

// Exchange counts and passes on.
func (c countingConnection) Exchange(deadline time.Time, sent ...Command) ([]Reply, error) {
	for _, command := range sent {
		commands.Add(command.Op.String(), 1)
		if command.ID == "" {
			ownCommands.Add(command.Op.String(), 1)
		}
	}
	return c.Connection.Exchange(deadline, sent...)
}
