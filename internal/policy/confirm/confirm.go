// Package confirm decides when a commit may be acknowledged to its caller.
//
// A commit is confirmed when a majority of the group, counting the primary, holds it, and the
// primary still leads its term. A promotion fences a majority and then waits the validity of
// confirmations, so the two majorities share a target that either shows the new term or proves
// that the confirmation came first.
package confirm

import (
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/logfield"
	"github.com/sirupsen/logrus"
)

// Validity is the time for which a confirmation counts, from when it was asked for. Promotions
// wait at least this long after they have fenced a majority.
const Validity = 100 * time.Millisecond

// Role is the part that a target plays in its group.
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

// Answer is the answer of one target to a status call.
type Answer struct {
	Target string
	// AskedAt is the monotonic time at which the status call was sent.
	AskedAt time.Time
	// Term is the highest term that the target has been fenced at, promoted at or told to follow.
	Term uint64
	Role Role
	// Received is the end of the log of the target. Its Term is the term of the last log record;
	// its Offset counts across terms, so that only positions of equal log terms are comparable by offset.
	Received api.Position
}

// Evidence is what a gate has seen of a group; each target counts once.
type Evidence struct {
	// CommittedAt is the time at which the target's reply to the commit came in. The fence check
	// counts only answers asked for afterwards.
	CommittedAt time.Time
	Primary     Answer
	Replicas    []Answer
}

// Outcome is the result of a decision on a commit.
type Outcome uint8

// The outcomes of a decision.
const (
	// Wait means that more answers are needed.
	Wait Outcome = iota
	// Confirmed means that the commit may be acknowledged.
	Confirmed
	// FenceOnly means that a majority still follows the primary, but too few hold the commit.
	// It may be acknowledged after the replication wait; a failover can then cut it.
	FenceOnly
	// Refused means that this primary can never confirm the commit: its outcome is unknown.
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

// Decision is the verdict on one commit.
type Decision struct {
	Outcome Outcome
	Reason  Reason
	Commit  api.Position
	// Holding is the number of targets, with the primary, that hold the commit.
	Holding int
	// Following is the number of targets, with the primary, that still follow the term.
	Following int
	// Needed is the number of targets that make a majority.
	Needed int
	// ValidUntil is the time at which a confirmation lapses; zero for other outcomes.
	ValidUntil time.Time
}

// Fields returns the fields of the log line of the decision.
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

// Rule selects the parts of the acknowledgement rule. Only DefaultRule is safe; the other
// values exist so that tests can show what each part prevents.
type Rule struct {
	// CheckLogTerm demands that the last log record of a replica is of the term of the commit. A
	// replica whose log is older can hold a divergent record at the same offset.
	CheckLogTerm bool
	// CheckPrimary demands that the primary itself still shows its term and role. A replaced
	// primary can be in the fenced majority while the confirming replica is not.
	CheckPrimary bool
}

// DefaultRule is the complete rule.
var DefaultRule = Rule{CheckLogTerm: true, CheckPrimary: true}

// Majority returns the number of targets that make a majority of members.
func Majority(members int) int {
	return members/2 + 1
}

// Decide applies DefaultRule to a commit in a group of the given number of members.
func Decide(commit api.Position, evidence Evidence, now time.Time, members int, validity time.Duration) Decision {
	return DefaultRule.Decide(commit, evidence, now, members, validity)
}

// Decide applies the rule to a commit in a group of the given number of members.
func (r Rule) Decide(commit api.Position, evidence Evidence, now time.Time, members int, validity time.Duration) Decision {
	c := count{rule: r, commit: commit, evidence: evidence, now: now, validity: validity}
	c.countPrimary()
	c.countReplicas()
	return c.decide(Majority(members))
}

// isValid reports whether an answer is young enough. The bound is exclusive, so that a
// confirmation has lapsed when a promoter that waited validity goes on.
func (a Answer) isValid(now time.Time, validity time.Duration) bool {
	return a.Target != "" && now.Sub(a.AskedAt) < validity
}
