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
	"github.com/papayacove/papayacove/internal/result"
	"github.com/papayacove/papayacove/internal/telemetry"
)

// refusals counts the statements that were not answered with success, refusedCallers the callers that got no session,
// refusedRelays the statements of other daemons whose caller may run nothing, failedAttempts the attempts that single targets
// did not serve; all by result code.
var (
	refusals       = expvar.NewMap("engine_refusals")
	refusedCallers = expvar.NewMap("engine_refused_callers")
	refusedRelays  = expvar.NewMap("engine_refused_relays")
	failedAttempts = expvar.NewMap("engine_failed_attempts")
)

// limiter bounds the rate of log lines about single statements.
var limiter = telemetry.NewLimiter()

// servedLogInterval is the number of served statements of which one is logged even if its first attempt succeeded.
const servedLogInterval = 1000

// servedStatements counts the statements that were served.
var servedStatements atomic.Uint64

// log returns an entry that names the session and the statement.
func (s *session) log(statement Statement) *logrus.Entry {
	return s.logFor(statement, s.identity.Workspace)
}

// logFor is log for any goroutine, which states the workspace.
func (s *session) logFor(statement Statement, workspace string) *logrus.Entry {
	fields := logrus.Fields{logfield.Session: s.id, logfield.Database: s.database, logfield.Request: statement.ID}
	if workspace != "" {
		fields[logfield.Workspace] = workspace
	}
	return logrus.WithFields(fields)
}

// logRefusal counts a statement that was not answered with success, and logs the reason at a bounded rate.
func (s *session) logRefusal(statement Statement, refusal *Refusal, arrived time.Time) {
	refusals.Add(refusal.Code.String(), 1)
	if !limiter.Allow("refused_"+refusal.Code.String(), arrived) {
		return
	}
	s.log(statement).WithFields(s.engine.configurationFields()).WithFields(s.engine.groupFields(s.database)).WithFields(logrus.Fields{
		logfield.Operation: statement.Op.String(), logfield.Code: int(refusal.Code), logfield.Outcome: refusal.Code.String(), logfield.Reason: refusal.Reason,
		logfield.RetryAfter: refusal.RetryAfter, logfield.Elapsed: time.Since(arrived),
	}).Info(logevent.StatementRefused)
}

// logAttempt counts an attempt that one target did not serve, and logs it at a bounded rate with the state that
// led to the choice of the target.
func (r *request) logAttempt(m *member, plan readPlan, refusal *Refusal) {
	failedAttempts.Add(refusal.Code.String(), 1)
	now := time.Now()
	if !limiter.Allow("attempt_"+refusal.Code.String(), now) {
		return
	}
	target, applied, remainingProof := r.group.selectionState(m)
	state := r.group.readState(m)
	r.session.log(r.statement).WithFields(logrus.Fields{
		logfield.Group: r.group.name, logfield.Attempt: r.attempts, logfield.Target: target, logfield.Consistency: r.route.Consistency.String(),
		logfield.Floor: plan.minPosition, logfield.Applied: applied, logfield.NeedsPrimary: plan.onlyPrimary, logfield.AuthorityLeft: remainingProof,
		logfield.Code: int(refusal.Code), logfield.Outcome: refusal.Code.String(), logfield.Reason: refusal.Reason, logfield.Elapsed: now.Sub(r.arrived),
		logfield.SentFloor: r.sentFloor, logfield.Term: state.term, logfield.Primary: state.primary,
		logfield.Unresponsive: state.unresponsive,
	}).Info(logevent.AttemptFailed)
}

// logServed counts a statement that was served, and writes a line when it took several attempts, or as a sample.
func (r *request) logServed(decision string) {
	now := time.Now()
	sampled := r.recordServed(decision, now)
	if !sampled && (r.attempts <= 1 || !limiter.Allow("served", now)) {
		return
	}
	r.session.log(r.statement).WithFields(logrus.Fields{
		logfield.Group: r.group.name, logfield.Decision: decision, logfield.Attempts: r.attempts, logfield.Elapsed: now.Sub(r.arrived), logfield.Sample: sampled,
	}).Info(logevent.StatementServed)
}

// recordServed counts a statement that was served, and reports whether it is a sample for the log.
func (r *request) recordServed(decision string, now time.Time) bool {
	key := telemetry.LatencyKey{Workspace: r.route.Name, Group: r.group.name, Decision: decision}
	telemetry.StatementLatencies.Record(key, now.Sub(r.arrived), now)
	return isServedSample()
}

// isServedSample counts a statement that was served, and reports whether it is a sample for the log.
func isServedSample() bool { return servedStatements.Add(1)%servedLogInterval == 0 }

// groupFields returns log fields with the state that the daemon presumes of the group that serves a database.
func (e *Engine) groupFields(database string) logrus.Fields {
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
		logfield.Version: version, logfield.Route: route.Name, logfield.Group: g.name, logfield.Term: g.term, logfield.Primary: g.primary,
		logfield.AuthorityLeft: g.remainingProof(), logfield.Targets: len(g.members),
	}
}

// selectionState returns the state that the choice of a target was based on.
func (g *group) selectionState(m *member) (target string, applied api.Position, remainingProof time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return m.target.Name, m.applied, g.remainingProof()
}

// remainingProof returns for how long the leadership proof of the primary is still valid; 0 when it has expired.
// The caller holds the lock.
func (g *group) remainingProof() time.Duration { return max(0, g.provenUntil-clock.SinceBoot()) }

// commands counts the commands sent to targets by operation, ownCommands those of them that no caller sent.
var (
	commands    = expvar.NewMap("engine_commands")
	ownCommands = expvar.NewMap("engine_own_commands")
)

// countingDialer counts what is sent on the connections of another dialer.
type countingDialer struct{ Dialer }

// Dial connects to a target.
func (d countingDialer) Dial(ctx context.Context, target Target, workspace string) (Connection, error) {
	conn, err := d.Dialer.Dial(ctx, target, workspace)
	if err != nil {
		return nil, err
	}
	return countingConnection{conn}, nil
}

type countingConnection struct{ Connection }

// Exchange counts the commands and forwards them.
func (c countingConnection) Exchange(deadline time.Time, sent ...Command) ([]Reply, error) {
	for _, command := range sent {
		commands.Add(command.Op.String(), 1)
		if command.ID == "" {
			ownCommands.Add(command.Op.String(), 1)
		}
	}
	return c.Connection.Exchange(deadline, sent...)
}

// LogRefusedCaller counts a caller that got no session, and logs the reason at a bounded rate.
func (e *Engine) LogRefusedCaller(database string, refusal *Refusal) {
	refusedCallers.Add(refusal.Code.String(), 1)
	if !limiter.Allow("caller_refused_"+refusal.Code.String(), time.Now()) {
		return
	}
	if refusal.Code == result.UnknownWorkspace {
		logrus.WithField(logfield.Database, database).Info(logevent.DatabaseUnknown)
		return
	}
	logrus.WithFields(e.configurationFields()).WithFields(logrus.Fields{
		logfield.Database: database, logfield.Code: int(refusal.Code), logfield.Outcome: refusal.Code.String(), logfield.Reason: refusal.Reason,
		logfield.RetryAfter: refusal.RetryAfter,
	}).Info(logevent.CallerRefused)
}

// logRelayRefused counts a statement of another daemon that is not sent, because its caller may run nothing by the
// configuration and the proof here, and logs it at a bounded rate.
func (e *Engine) logRelayRefused(x execution, refused error) {
	refusal := refusalOf(refused)
	refusedRelays.Add(refusal.Code.String(), 1)
	if !limiter.Allow("relay_refused_"+refusal.Code.String(), time.Now()) {
		return
	}
	logrus.WithFields(e.configurationFields()).WithFields(logrus.Fields{
		logfield.Request: x.command.ID, logfield.Workspace: x.workspace, logfield.Operation: x.command.Op.String(), logfield.Code: int(refusal.Code), logfield.Reason: refusal.Reason,
	}).Info(logevent.RelayRefused)
}
