// Package leadership decides whether a target may be used as the primary of its group.
//
// A target is promoted after every acknowledging replica is paused, that is a replica whose receipt of a commit lets the
// primary acknowledge it, or after the old primary has stepped down. A promoter waits for ProofValidity after the last
// of both before it orders the promotion. A leadership proof is evidence that no promotion to a later term was complete
// when it was asked for; it is valid for ProofValidity from then on, so that it ends before any promotion that it does
// not know of. Times are those of a clock that also runs while the machine is suspended.
//
// Proofs form a chain. While the last one is valid, the status of the primary and that of one replica that follows its
// term and is not paused prove the term again: the replica was not paused yet, since between the last pause and the
// order no listed replica is unpaused, and by the order each proof from before that pause has ended. Without a valid
// proof the word of one replica is not enough. A promotion may have ended its pause, and it may follow the old primary
// because it does not reach the new one. A chain starts with the statuses of all targets (ProvenAt), with the end of a
// promotion at the daemon that ordered it, or with the record of the promotion lock (ProvenByRecord).
package leadership

import (
	"math"
	"slices"
	"time"

	"github.com/papayacove/papayacove/api"
)

// ProofValidity is the time for which a leadership proof is valid, counted from when the status was asked for. A
// promoter waits for it to pass, so it adds to the time without a primary. Status calls are made several times within
// it.
const ProofValidity = 500 * time.Millisecond

// NoPromotion stands for the settled term of a group that was never promoted.
const NoPromotion = math.MaxUint64

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

// Basis is what a daemon knows of a group beside the statuses of its targets.
type Basis struct {
	// Members are the names of the known targets.
	Members []string
	// IsChained is true while the last proof of the term is valid. All statuses were answered before its end then.
	IsChained bool
	// IsComplete is true if each target of the group is known.
	IsComplete bool
	// NeedsReplica is true if the primary acknowledges no commit before a replica has received it.
	NeedsReplica bool
}

// MayStart reports whether the statuses of all targets can start a chain: a target that is known alone proves nothing
// if there has to be a replica.
func (b Basis) MayStart() bool { return b.IsComplete && (len(b.Members) > 1 || !b.NeedsReplica) }

// ProvenAt returns the latest proof in the statuses that no promotion to a later term was complete, so that the leader
// of the term still had every acknowledged commit. The statuses may be of different times. It is false if there is no
// leadership proof.
func ProvenAt(statuses map[string]Status, leader string, term uint64, basis Basis) (Proof, bool) {
	own := statuses[leader]
	if !own.leads(term) || isReplaced(statuses, term, basis.Members) {
		return Proof{}, false
	}
	if len(basis.Members) <= 1 && !basis.NeedsReplica && (basis.IsChained || basis.IsComplete) {
		return Proof{own.AskedAt, leader}, true
	}
	var latest Proof
	if basis.MayStart() {
		latest, _ = provenByAll(statuses, term, basis.Members)
	}
	if basis.IsChained {
		latest = provenByOne(statuses, term, basis.Members, latest)
	}
	// The word of a replica alone is not enough: one that a promoter does not reach is not paused, and the primary
	// steps down.
	latest.At = min(latest.At, own.AskedAt)
	return latest, latest.Witness != ""
}

// ProvenByRecord returns the proof that follows from the record of the promotion lock. It was read from the store after
// askedAt, and states that the lock is free and that the last promotion under it led to the settled term; NoPromotion
// if there was none, so that the target that leads is the first. Whoever promotes later takes the lock after that,
// pauses replicas or has the primary step down, and waits for ProofValidity. The status of the leader shows that it has
// not started again since.
func ProvenByRecord(own Status, leader string, term, settled uint64, askedAt time.Duration) (Proof, bool) {
	if settled != term && settled != NoPromotion || !own.leads(term) {
		return Proof{}, false
	}
	return Proof{min(askedAt, own.AskedAt), leader}, true
}

func (s Status) leads(term uint64) bool { return s.Role == RolePrimary && s.Term == term }

// Proves reports whether the status is that of a replica that follows the term and is not paused.
func (s Status) Proves(term uint64) bool {
	return s.Role == RoleReplica && s.Term == term && !s.IsPaused()
}

// startsChain reports whether the status of a target lets all statuses together start a chain. A paused replica does
// not: the promotion that it was paused for may have been ordered, and takes effect some time after the order.
func (s Status) startsChain() bool { return s.Role != RoleUnknown && !s.IsPaused() }

// isReplaced reports whether a member is in a later term.
func isReplaced(statuses map[string]Status, term uint64, members []string) bool {
	return slices.ContainsFunc(members, func(name string) bool { return statuses[name].Term > term })
}

// provenByOne returns the later of a proof and that by the member which proved the term last.
func provenByOne(statuses map[string]Status, term uint64, members []string, latest Proof) Proof {
	for _, name := range members {
		if s := statuses[name]; s.Proves(term) && (latest.Witness == "" || s.AskedAt > latest.At) {
			latest = Proof{s.AskedAt, name}
		}
	}
	return latest
}

// provenByAll returns the proof that no member was in a later term, or paused for one, when it was asked. The target of
// a promotion is paused from before the wait until it leads; so the wait ends later than this proof.
func provenByAll(statuses map[string]Status, term uint64, members []string) (Proof, bool) {
	var proof Proof
	oldest := time.Duration(math.MaxInt64)
	for _, name := range members {
		s := statuses[name]
		if !s.startsChain() {
			return Proof{}, false
		}
		oldest = min(oldest, s.AskedAt)
		if s.Proves(term) {
			proof.Witness = max(proof.Witness, name)
		}
	}
	proof.At = oldest
	return proof, proof.Witness != ""
}
