package engine

import (
	"expvar"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/clock"
	"github.com/papayacove/papayacove/internal/logevent"
	"github.com/papayacove/papayacove/internal/logfield"
)

// answeredReads counts the reads that were answered, outside transactions and in them, by the consistency of their
// route and the evidence that they rested on, and unsettledReads those of them in an unsettled time.
var (
	answeredReads  = expvar.NewMap("engine_reads")
	unsettledReads = expvar.NewMap("engine_reads_unsettled")
)

// servedRead is how a read was answered.
type servedRead struct {
	member *member
	// term is that presumed before the read was sent, or before its transaction began at the member.
	term uint64
	// holder is the daemon that the read was sent through, as leaseHolder returns it.
	holder string
	plan   readPlan
	// position is that of the reply.
	position api.Position
	// sentAt and repliedAt are the times of the boot clock at which the read was sent and its reply arrived.
	sentAt, repliedAt time.Duration
	// begin is the id of the statement that began the transaction of the read; empty outside transactions.
	begin string
}

// ageUnit is what the ages of evidence are rounded to in logs, so that they are short.
const ageUnit = 100 * time.Microsecond

// ownHolder stands in logs for this daemon as the holder of a target.
const ownHolder = "self"

// leaseHolder returns the address of the daemon that the statements of a lease are sent through, ownHolder if this one
// holds the target, and an empty text for a connection that is not shared.
func leaseHolder(l lease) string {
	switch l := l.(type) {
	case *gateLease:
		return ownHolder
	case *relayedLease:
		if l.chosen != nil {
			return leaseHolder(l.chosen)
		}
		return l.address
	}
	return ""
}

// readState is what the daemon presumed of a group when a read was answered.
type readState struct {
	term          uint64
	primary, role string
	members       int
	unresponsive  bool
	unsettled     unsettledReason
}

// readState returns the state for a read that m has answered.
func (g *group) readState(m *member) readState {
	now := clock.SinceBoot()
	g.mu.Lock()
	defer g.mu.Unlock()
	role := "replica"
	if g.members[g.primary] == m {
		role = "primary"
	}
	return readState{
		term: g.term, primary: g.primary, role: role, members: len(g.members),
		unresponsive: g.isPrimaryUnresponsive(now), unsettled: g.unsettledFor(now),
	}
}

// isWithoutPrimary reports whether a read was served by a replica while the primary did not answer.
func (s servedRead) isWithoutPrimary(state readState) bool {
	return state.unresponsive && state.role != "primary"
}

// logServedRead counts a read outside transactions that was served, and logs how, as logRead does.
func (r *request) logServedRead() {
	r.logRead(r.served, r.recordServed("read", time.Now()))
}

// logServedRead counts a read of the transaction that was served with the outcome, whose reply arrived at repliedAt on
// the boot clock, and logs how, as logRead does.
func (t *transaction) logServedRead(outcome attemptResult, evidence readEvidence, repliedAt time.Duration) {
	if t.request.op != OpRead {
		return
	}
	plan := t.plan
	plan.evidence = evidence
	t.request.logRead(servedRead{
		member: t.member, term: t.term, holder: leaseHolder(t.lease), plan: plan, position: outcome.reply.Position,
		sentAt: outcome.askedAt, repliedAt: repliedAt, begin: t.begin.ID,
	}, isServedSample())
}

// logRead counts a read that was served, and writes a line: at a bounded rate in an unsettled time or when it took
// several attempts, and as a sample.
func (r *request) logRead(s servedRead, sampled bool) {
	state := r.group.readState(s.member)
	withoutPrimary := s.isWithoutPrimary(state)
	counter := r.route.Consistency.String() + "." + s.plan.evidence.name()
	answeredReads.Add(counter, 1)
	if state.unsettled != settled {
		unsettledReads.Add(counter, 1)
	}
	if !sampled && !r.mayLogRead(state, withoutPrimary) {
		return
	}
	level := logrus.InfoLevel
	if withoutPrimary {
		level = logrus.WarnLevel
	}
	line := r.session.log(r.statement).WithFields(r.readFields(s, state))
	line.WithField(logfield.Sample, sampled).Log(level, logevent.StatementServed)
}

// mayLogRead reports whether a read that is no sample is logged. Each reason has a rate of its own.
func (r *request) mayLogRead(state readState, withoutPrimary bool) bool {
	now := time.Now()
	switch {
	case withoutPrimary:
		return r.group.proofLog.limiter.Allow("read_without_primary", now)
	case state.unsettled != settled:
		return r.group.proofLog.limiter.Allow("read_"+string(state.unsettled), now)
	}
	return r.attempts > 1 && r.group.proofLog.limiter.Allow("served", now)
}

// readFields returns the fields of the line of a read that was served.
func (r *request) readFields(s servedRead, state readState) logrus.Fields {
	now, elapsed, e := clock.SinceBoot(), time.Since(r.arrived), s.plan.evidence
	fields := logrus.Fields{
		logfield.Group: r.group.name, logfield.Decision: "read", logfield.Attempts: r.attempts,
		logfield.Elapsed: elapsed,
		logfield.Route:   r.route.Name, logfield.Consistency: r.route.Consistency.String(),
		logfield.InTransaction: s.begin != "",
		logfield.Evidence:      e.name(), logfield.From: e.target, logfield.Via: e.holder, logfield.Sampled: e.position,
		logfield.Target: s.member.name, logfield.Holder: s.holder, logfield.Role: state.role,
		logfield.NeedsPrimary: s.plan.onlyPrimary, logfield.KnownTerm: s.term,
		logfield.Term: state.term, logfield.Primary: state.primary, logfield.Members: state.members,
		logfield.Floor: s.plan.minPosition, logfield.Position: s.position,
		logfield.Unresponsive: state.unresponsive, logfield.Unsettled: string(state.unsettled),
		logfield.Waited: elapsed - (now - s.sentAt), logfield.ProofWait: now - s.repliedAt,
	}
	if e.kind != "" {
		fields[logfield.AgeAtArrival] = (r.arrivedBoot - e.at).Round(ageUnit)
		fields[logfield.Age] = (now - e.at).Round(ageUnit)
	}
	if s.begin != "" {
		fields[logfield.Begin] = s.begin
	}
	return fields
}
