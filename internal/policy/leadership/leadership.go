// Package leadership decides whether a target may be used as the primary of its group.
//
// Before a promotion every acknowledging replica is paused; that is a replica whose receipt of a commit lets the
// primary acknowledge it. A replica that follows the term of a primary and is not paused therefore proves that no
// later promotion was complete when it was asked for its status. Such a leadership proof is valid for ProofValidity,
// and a promoter waits as long between the last pause and the promotion. Times are those of a clock that also runs
// while the machine is suspended.
package leadership

import (
	"time"

	"github.com/papayacove/papayacove/api"
)

// ProofValidity is the time for which a leadership proof is valid, counted from when the status was asked for. A
// promoter waits for it to pass, so it adds to the time without a primary. Status calls are made several times within
// it.
const ProofValidity = 500 * time.Millisecond

// Role is the role that a target reports for itself.
type Role uint8

// The roles of a target. RoleUnknown is that of a target that answered without a status, such as a busy one.
const (
	RoleUnknown Role = iota
	RolePrimary
	RoleReplica
)

var roleNames = [...]string{RoleUnknown: "unknown", RolePrimary: "primary", RoleReplica: "replica"}

// String returns the role in lower case.
func (r Role) String() string { return roleNames[r] }

// Status is the answer of one target to a status call.
type Status struct {
	Role Role
	// Term is the term that the target leads as primary or follows as replica.
	Term uint64
	// PausedTerm is the term at which the target was paused; 0 when it is not paused.
	PausedTerm uint64
	// Received is the position of the end of the target's log.
	Received api.Position
	// AskedAt is the time just before the status call was sent.
	AskedAt time.Duration
}

// IsPaused reports whether the target was paused at a term later than its own, so that it receives no commits.
func (s Status) IsPaused() bool { return s.PausedTerm > s.Term }

// Leader returns the target that reports the role of primary in the highest term, and that term. It is false if no
// target does, or if any target reports a later term.
func Leader(statuses map[string]Status) (name string, term uint64, ok bool) {
	for candidate, s := range statuses {
		if s.Role != RolePrimary {
			continue
		}
		if !ok || s.Term > term {
			name, term, ok = candidate, s.Term, true
		}
	}
	if !ok {
		return "", 0, false
	}
	for _, s := range statuses {
		if s.Term > term {
			return "", 0, false
		}
	}
	return name, term, true
}

// Proof is a leadership proof.
type Proof struct {
	// At is the time from which the proof is valid for ProofValidity.
	At time.Duration
	// Witness is the target whose answer proves it: a replica, or the leader in a group of one target.
	Witness string
}

// ProvenAt returns the latest proof in the statuses that no promotion to a later term was complete, so that the leader
// of the term still had every acknowledged commit. A replica that follows the term and is not paused proves it, whether
// the leader answers or not; in a group of one target the leader's own answer does. It is false if there is no
// leadership proof.
func ProvenAt(statuses map[string]Status, leader string, term uint64, members int) (Proof, bool) {
	if members <= 1 {
		own, ok := statuses[leader]
		return Proof{own.AskedAt, leader}, ok && own.Role == RolePrimary && own.Term == term
	}
	var latest Proof
	found := false
	for name, s := range statuses {
		if name == leader || s.Role != RoleReplica || s.Term != term || s.IsPaused() {
			continue
		}
		if !found || s.AskedAt > latest.At {
			latest, found = Proof{s.AskedAt, name}, true
		}
	}
	return latest, found
}

// MinPositionOfReplicas returns, from the answers of the replicas alone, the minimum position of a read that has to
// see every commit that was acknowledged before askedAt: a commit is acknowledged after a replica has received it.
// All targets in acknowledging, except the leader, have to answer as replicas of the term, or ok is false; the leader
// may be unresponsive. It must not be used for a group whose primary acknowledges commits without waiting for a
// replica.
func MinPositionOfReplicas(statuses map[string]Status, acknowledging []string, leader string, term uint64) (position api.Position, askedAt time.Duration, ok bool) {
	for _, name := range acknowledging {
		if name == leader {
			continue
		}
		s, answered := statuses[name]
		if !answered || s.Role != RoleReplica || s.Term != term {
			return api.Position{}, 0, false
		}
		if !ok || s.AskedAt < askedAt {
			askedAt = s.AskedAt
		}
		position, ok = position.Max(s.Received), true
	}
	return position, askedAt, ok
}
