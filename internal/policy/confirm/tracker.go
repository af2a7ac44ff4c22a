package confirm

import (
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/logfield"
	"github.com/papayacove/papayacove/internal/result"
	"github.com/sirupsen/logrus"
)

// MajorityWindow is the time within which a majority must have been observed for a write to be admitted.
const MajorityWindow = time.Second

// admissionRetryAfter is the time after which a caller whose write was not admitted may retry.
const admissionRetryAfter = 200 * time.Millisecond

// Tracker keeps the newest answer of each target of a group, for one primary and its term, and decides on commits with
// them. It is not safe for concurrent use.
type Tracker struct {
	rule     Rule
	primary  string
	term     uint64
	members  int
	validity time.Duration

	primaryStatus   Status
	replicaStatuses []Status

	// confirmed is the highest confirmed position, whose confirmation expires at validUntil.
	confirmed  api.Position
	validUntil time.Time
}

// NewTracker returns a Tracker that applies DefaultRule, for a primary and its term in a group of
// the given number of members.
func NewTracker(primary string, term uint64, members int, validity time.Duration) *Tracker {
	return DefaultRule.NewTracker(primary, term, members, validity)
}

// NewTracker returns a Tracker that applies the rule. Its arguments are those of the function NewTracker.
func (r Rule) NewTracker(primary string, term uint64, members int, validity time.Duration) *Tracker {
	return &Tracker{rule: r, primary: primary, term: term, members: members, validity: validity}
}

// Term returns the term of the tracked primary.
func (t *Tracker) Term() uint64 {
	return t.term
}

// Primary returns the name of the tracked primary.
func (t *Tracker) Primary() string {
	return t.primary
}

// Confirmed returns the highest position that was ever confirmed in the term.
func (t *Tracker) Confirmed() api.Position {
	return t.confirmed
}

// Observe records the answer of a target, unless it was asked for before the recorded answer of that target.
func (t *Tracker) Observe(status Status) {
	if status.Target == t.primary {
		if t.primaryStatus.Target == "" || !status.AskedAt.Before(t.primaryStatus.AskedAt) {
			t.primaryStatus = status
		}
		return
	}
	for i := range t.replicaStatuses {
		if t.replicaStatuses[i].Target != status.Target {
			continue
		}
		if !status.AskedAt.Before(t.replicaStatuses[i].AskedAt) {
			t.replicaStatuses[i] = status
		}
		return
	}
	t.replicaStatuses = append(t.replicaStatuses, status)
}

// Decide decides on a commit or on the position of a read. A position up to the highest one that was confirmed in this
// term is confirmed at once while that confirmation is valid. committedAt is the time at which the target's reply
// arrived.
func (t *Tracker) Decide(position api.Position, committedAt, now time.Time) Decision {
	if position.Term == t.term && position.Compare(t.confirmed) <= 0 && now.Before(t.validUntil) {
		return t.alreadyConfirmed(position)
	}
	d := t.rule.Decide(position, t.evidence(committedAt), now, t.members, t.validity)
	if d.Outcome == Confirmed && position.Term == t.term {
		t.confirm(d)
	}
	return d
}

func (t *Tracker) alreadyConfirmed(position api.Position) Decision {
	needed := Majority(t.members)
	return Decision{
		Outcome:    Confirmed,
		Reason:     ReasonMajorityHolds,
		Commit:     position,
		Holding:    needed,
		Following:  needed,
		Needed:     needed,
		ValidUntil: t.validUntil,
	}
}

// confirm records a confirmation unless one of a higher position is recorded. A lower position that is confirmed for
// longer does not extend the validity of the higher one.
func (t *Tracker) confirm(d Decision) {
	if d.Commit.Compare(t.confirmed) < 0 {
		return
	}
	t.confirmed = d.Commit
	t.validUntil = d.ValidUntil
}

// MinPosition decides on the minimum position of the reads of a new session: the end of the primary's log, in a
// status that was asked for after requestedAt, once it is confirmed. Every commit that was acknowledged before
// requestedAt is at or before it, also one that another gate of the same primary acknowledged. For the outcomes
// Confirmed and FenceOnly Commit of the decision is the minimum position.
func (t *Tracker) MinPosition(requestedAt, now time.Time) Decision {
	p := t.primaryStatus
	if p.Target == "" || !p.AskedAt.After(requestedAt) {
		return Decision{Outcome: Wait, Reason: ReasonPrimaryUnseen, Needed: Majority(t.members)}
	}
	if p.Term == t.term && p.Received.Term < t.term {
		return t.minPositionBeforeFirstRecord(requestedAt, now)
	}
	return t.Decide(p.Received, requestedAt, now)
}

// minPositionBeforeFirstRecord decides on the minimum position when the primary's log has no record of its term yet.
// There is no commit of the term, so it is enough that a majority follows the primary.
func (t *Tracker) minPositionBeforeFirstRecord(requestedAt, now time.Time) Decision {
	d := t.rule.Decide(api.Position{Term: t.term}, t.evidence(requestedAt), now, t.members, t.validity)
	d.Commit = t.primaryStatus.Received
	if d.Outcome == Confirmed {
		d.Outcome, d.Reason = FenceOnly, ReasonMajorityFollows
	}
	return d
}

// HasMajority reports whether, according to valid answers, the primary leads and a majority, including it, follows the
// term. If so, no promotion to a later term has finished.
func (t *Tracker) HasMajority(now time.Time) bool {
	return t.following(now, t.validity) >= Majority(t.members)
}

func (t *Tracker) evidence(committedAt time.Time) Evidence {
	return Evidence{CommittedAt: committedAt, Primary: t.primaryStatus, Replicas: t.replicaStatuses}
}

// AdmissionReason says why a write was admitted or not.
type AdmissionReason string

// The reasons of an Admission.
const (
	AdmissionMajoritySeen    AdmissionReason = "majority_seen"
	AdmissionNoMajority      AdmissionReason = "no_majority_seen_lately"
	AdmissionPrimaryReplaced AdmissionReason = "primary_replaced"
)

// Admission says whether a write may be sent to the primary.
type Admission struct {
	Allowed bool
	Reason  AdmissionReason
	// Code is result.OK when the write is allowed.
	Code result.Code
	// RetryAfter is the time after which the caller may retry; 0 when the write is allowed.
	RetryAfter time.Duration
	// Seen is the number of targets, including the primary, that followed the term within MajorityWindow, and Needed the
	// number that makes a majority.
	Seen   int
	Needed int
}

// Fields returns the fields that describe the decision in a log line.
func (a Admission) Fields() logrus.Fields {
	return logrus.Fields{
		logfield.Allowed:    a.Allowed,
		logfield.Reason:     string(a.Reason),
		logfield.Code:       int(a.Code),
		logfield.Seen:       a.Seen,
		logfield.Needed:     a.Needed,
		logfield.RetryAfter: a.RetryAfter,
	}
}

// Admit decides whether a write may be sent to the primary: the primary must have been observed to lead, and a majority
// including it to follow the term, within MajorityWindow, because the write could not be confirmed otherwise.
func (t *Tracker) Admit(now time.Time) Admission {
	a := Admission{Seen: t.following(now, MajorityWindow), Needed: Majority(t.members)}
	switch {
	case t.isReplaced():
		a.Reason, a.Code = AdmissionPrimaryReplaced, result.NotRunTermChanged
	case a.Seen < a.Needed:
		a.Reason, a.Code = AdmissionNoMajority, result.NotRunNoMajority
	default:
		a.Allowed, a.Reason, a.Code = true, AdmissionMajoritySeen, result.OK
		return a
	}
	a.RetryAfter = admissionRetryAfter
	return a
}

// isReplaced reports whether the primary answered with a later term or as a replica.
func (t *Tracker) isReplaced() bool {
	p := t.primaryStatus
	return p.Target != "" && (p.Term > t.term || p.Term == t.term && p.Role == RoleReplica)
}

// following returns the number of targets, including the primary, that followed the term within window; 0 when the
// primary did not lead.
func (t *Tracker) following(now time.Time, window time.Duration) int {
	p := t.primaryStatus
	if !p.isValid(now, window) || p.Term != t.term || p.Role != RolePrimary {
		return 0
	}
	following := 1
	for _, status := range t.replicaStatuses {
		if status.isValid(now, window) && status.Term == t.term {
			following++
		}
	}
	return following
}
