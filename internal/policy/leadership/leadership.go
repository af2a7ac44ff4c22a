// Package leadership decides whether a target may be used as the primary of its group.
//
// A target is promoted after every acknowledging replica is paused, that is a replica whose receipt of a commit lets the
// primary acknowledge it, or after the old primary has stepped down. A primary that reports its role, together with a
// replica that follows its term and is not paused, therefore proves that no later promotion was complete when the earlier
// of the two was asked. Neither alone does: a primary may not know of a promotion, and a replica that a promoter did not
// reach is not paused by one that rests on a step-down. Such a leadership proof is valid for ProofValidity, and a promoter
// waits as long before it orders the promotion. Times are those of a clock that also runs while the machine is suspended.
package leadership

import (
	"math"
	"time"

	"github.com/papayacove/papayacove/api"
)

// ProofValidity is the time for which a leadership proof is valid, counted from when the status was asked for. A
// promoter waits for it to pass, so it adds to the time without a primary. Status calls are made several times within
// it.
const ProofValidity = 500 * time.Millisecond

// WitnessTrial is the time after which a replica counts as a witness although the daemon has held no proof since it learned
// of it. A group that lost all its witnesses would be left without proofs otherwise; an old primary is not expected to be cut
// off from a later one for as long.
const WitnessTrial = 30 * time.Second

// IsWitness reports whether each promoter of a later term pauses a replica: the daemon knew of it while it held a valid proof,
// so that its entry was listed before a later promotion was complete, or has known it for WitnessTrial.
func IsWitness(knownWithinProof bool, knownFor time.Duration) bool {
	return knownWithinProof || knownFor >= WitnessTrial
}

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
	// Witness is the replica that proves it together with the leader; the leader itself in a group of one target.
	Witness string
}

// ProvenAt returns the latest proof in the statuses that no promotion to a later term was complete, so that the leader
// of the term still had every acknowledged commit. The statuses may be of different times. members holds each known target
// of the group, with true for the witnesses; other replicas prove it only if all members have answered, none of them in a later
// term. It is false if there is no leadership proof.
func ProvenAt(statuses map[string]Status, leader string, term uint64, members map[string]bool) (Proof, bool) {
	own, answered := statuses[leader]
	if !answered || own.Role != RolePrimary || own.Term != term {
		return Proof{}, false
	}
	if len(members) <= 1 {
		return Proof{own.AskedAt, leader}, true
	}
	latest, _ := provenByAll(statuses, term, members)
	for name, s := range statuses {
		if members[name] && s.provesTerm(term) && (latest.Witness == "" || s.AskedAt > latest.At) {
			latest = Proof{s.AskedAt, name}
		}
	}
	latest.At = min(latest.At, own.AskedAt)
	return latest, latest.Witness != ""
}

// provesTerm reports whether the status is that of a replica that follows the term and is not paused.
func (s Status) provesTerm(term uint64) bool {
	return s.Role == RoleReplica && s.Term == term && !s.IsPaused()
}

// provenByAll returns the proof that no member was in a later term when it was asked.
func provenByAll(statuses map[string]Status, term uint64, members map[string]bool) (Proof, bool) {
	var proof Proof
	oldest := time.Duration(math.MaxInt64)
	for name := range members {
		s, answered := statuses[name]
		if !answered || s.Role == RoleUnknown || s.Term > term {
			return Proof{}, false
		}
		oldest = min(oldest, s.AskedAt)
		if s.provesTerm(term) {
			proof.Witness = max(proof.Witness, name)
		}
	}
	proof.At = oldest
	return proof, proof.Witness != ""
}
