// Package confirm decides when a commit may be acknowledged to its caller.
//
// A commit is confirmed when a majority of the group, including the primary, has it in the log, and the primary still
// leads its term. A promotion fences a majority, which then refuses lower terms, and waits for the validity of
// confirmations before it promotes a target. The two majorities therefore share a target, which either reports the new
// term or proves that the confirmation came first.
package confirm

import (
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/logfield"
	"github.com/sirupsen/logrus"
)

// Validity is the time for which a confirmation is valid, from when the oldest of the answers it is based on was asked
// for. Promotions wait at least this long after they have fenced a majority.
const Validity = 100 * time.Millisecond

// Role is the role of a target in its group.
type Role uint8

// The roles of a target.
const (
	RoleUnknown Role = iota
	RolePrimary
	RoleReplica
)

// String returns the role in lower case.
func (r Role) String() string {
	switch r {
	case RolePrimary:
		return "primary"
	case RoleReplica:
		return "replica"
	default:
		return "unknown"
	}
}

// Status is the answer of one target to a status call.
type Status struct {
	Target string
	// AskedAt is the time, with a monotonic reading, at which the status call was sent.
	AskedAt time.Time
	// Term is the highest term at which the target was fenced or promoted, or which it was ordered to follow.
	Term uint64
	Role Role
	// Received is the end of the log of the target. Its Term is the term of the last log record. Its Offset does not
	// restart with a term, and offsets are comparable only between positions of the same log term.
	Received api.Position
}

// Evidence holds the answers to status calls that a decision is based on. Each target is counted once.
type Evidence struct {
	// CommittedAt is the time at which the target's reply to the commit arrived. The check for FenceOnly uses only
	// answers that were asked for later.
	CommittedAt time.Time
	Primary     Status
	Replicas    []Status
}

// Outcome is the result of a decision on a commit.
type Outcome uint8

// The outcomes of a decision.
const (
	// Wait means that more answers are needed.
	Wait Outcome = iota
	// Confirmed means that the commit may be acknowledged.
	Confirmed
	// FenceOnly means that a majority still follows the primary, but less than a majority has the commit. It may be
	// acknowledged after the replication wait; a failover can then truncate it.
	FenceOnly
	// Refused means that the commit can never be confirmed with this primary; whether it survives is unknown.
	Refused
)

var outcomeNames = [...]string{Wait: "wait", Confirmed: "confirmed", FenceOnly: "fence_only", Refused: "refused"}

// String returns the name of the outcome.
func (o Outcome) String() string {
	return outcomeNames[o]
}

// Reason says why a commit got its outcome.
type Reason string

// The reasons of a Decision.
const (
	ReasonMajorityHolds    Reason = "majority_holds_commit"
	ReasonMajorityFollows  Reason = "majority_follows_without_commit"
	ReasonPrimaryUnseen    Reason = "primary_not_seen_in_time"
	ReasonPrimaryReplaced  Reason = "primary_replaced"
	ReasonPrimaryDemoted   Reason = "primary_lost_role"
	ReasonMajorityReplaced Reason = "majority_at_later_term"
	ReasonTooFewReplicas   Reason = "too_few_replicas_seen_in_time"
)

// Decision is the decision on one commit, with the values that led to it.
type Decision struct {
	Outcome Outcome
	Reason  Reason
	Commit  api.Position
	// Holding is the number of targets, including the primary, that have the commit.
	Holding int
	// Following is the number of targets, including the primary, that still follow the term.
	Following int
	// Needed is the number of targets that makes a majority.
	Needed int
	// ValidUntil is the time at which a confirmation expires; zero for other outcomes.
	ValidUntil time.Time
}

// Fields returns the fields that describe the decision in a log line.
func (d Decision) Fields() logrus.Fields {
	return logrus.Fields{
		logfield.Outcome:   d.Outcome.String(),
		logfield.Reason:    string(d.Reason),
		logfield.Commit:    d.Commit.String(),
		logfield.Holding:   d.Holding,
		logfield.Following: d.Following,
		logfield.Needed:    d.Needed,
	}
}

// Rule selects the checks of the acknowledgement rule. Only DefaultRule is safe; the other values exist so that tests
// can show which fault each check prevents.
type Rule struct {
	// CheckLogTerm requires that the last log record of a replica is of the term of the commit. A replica whose log ends
	// in an earlier term can have a divergent record at the same offset.
	CheckLogTerm bool
	// CheckPrimary requires that the primary itself still reports its term and role. A replaced primary can be in the
	// fenced majority while the confirming replica is not.
	CheckPrimary bool
}

// DefaultRule is the complete rule, with all checks.
var DefaultRule = Rule{CheckLogTerm: true, CheckPrimary: true}

// Majority returns the number of targets that makes a majority in a group of the given number of members.
func Majority(members int) int {
	return members/2 + 1
}

// Decide applies DefaultRule to a commit in a group of the given number of members.
func Decide(commit api.Position, evidence Evidence, now time.Time, members int, validity time.Duration) Decision {
	return DefaultRule.Decide(commit, evidence, now, members, validity)
}

// Decide applies the rule to a commit in a group of the given number of members.
func (r Rule) Decide(commit api.Position, evidence Evidence, now time.Time, members int, validity time.Duration) Decision {
	t := tally{rule: r, commit: commit, evidence: evidence, now: now, validity: validity}
	t.addPrimary()
	t.addReplicas()
	return t.decide(Majority(members))
}

// isValid reports whether a status was asked for less than validity ago. The bound is exclusive, so that a
// confirmation has expired when a promoter that waited for validity continues.
func (s Status) isValid(now time.Time, validity time.Duration) bool {
	return s.Target != "" && now.Sub(s.AskedAt) < validity
}
