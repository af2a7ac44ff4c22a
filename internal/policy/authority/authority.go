// Package authority decides whether a target may be used as the primary of its group, and when it
// has to be replaced.
//
// Before a promotion every replica that may count is paused. A replica that follows a primary
// and is not paused therefore proves that no later promotion was complete when it was asked. The
// proof holds for Term, and a promoter waits as long between the last pause and the promotion.
// Times are of a clock that counts suspended time.
package authority

import (
	"time"

	"github.com/papayacove/papayacove/api"
)

// Term is the time for which a proof holds. A promoter waits it out, so it is a part of the time
// without a primary; status calls are made a few times within it.
const Term = 500 * time.Millisecond

// Role is what a target says of itself.
type Role uint8

// The roles.
const (
	RoleUnknown Role = iota
	RolePrimary
	RoleReplica
)

var roleNames = [...]string{RoleUnknown: "unknown", RolePrimary: "primary", RoleReplica: "replica"}

// String returns the name of the role.
func (r Role) String() string { return roleNames[r] }

// Status is the answer of one target to a status call.
type Status struct {
	Role Role
	// Term is the term that the target leads or follows.
	Term uint64
	// PausedTerm is the term at which the target was paused; 0 when it is not paused.
	PausedTerm uint64
	// Received is the end of the target's log.
	Received api.Position
	// AskedAt is the time just before the call was sent.
	AskedAt time.Duration
}

// IsPaused reports whether the target receives nothing.
func (s Status) IsPaused() bool { return s.PausedTerm > s.Term }

// Leader returns the target that leads in the highest term, among those that say that they lead.
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

// ProvenAt returns the latest time at which the statuses prove that no promotion beyond the term was complete, so that the
// target that was promoted to it still had every acknowledged commit. A replica that follows in the term and is not paused
// proves it, whether the leader answers or not; a group of one target proves itself. False means that there is no proof.
func ProvenAt(statuses map[string]Status, leader string, term uint64, members int) (time.Duration, bool) {
	if members <= 1 {
		own, ok := statuses[leader]
		return own.AskedAt, ok && own.Role == RolePrimary && own.Term == term
	}
	var latest time.Duration
	found := false
	for name, s := range statuses {
		if name == leader || s.Role != RoleReplica || s.Term != term || s.IsPaused() {
			continue
		}
		if !found || s.AskedAt > latest {
			latest, found = s.AskedAt, true
		}
	}
	return latest, found
}

// ReplicaFloor returns a position that covers every commit that was acknowledged before askedAt, from the replicas alone: a
// commit is acknowledged after a replica has received it. All targets that may count have to answer as replicas of the
// term; the leader, which may be silent, is left out. Groups whose commits wait for no replica have no such floor.
func ReplicaFloor(statuses map[string]Status, counted []string, leader string, term uint64) (position api.Position, askedAt time.Duration, ok bool) {
	for _, name := range counted {
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
