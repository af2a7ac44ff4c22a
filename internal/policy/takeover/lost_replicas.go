package takeover

import (
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/policy/leadership"
)

// LostReplicaTimeout is the time after which a lost replica no longer blocks promotions. It is not expected to return
// by then, and blocking longer would leave the group without a primary.
const LostReplicaTimeout = 30 * time.Second

// LostReplicas is the set of replicas that are gone and may alone hold an acknowledged commit. The receipt of a
// commit by one replica is enough to acknowledge it, so no promotion is safe until another replica is known to have
// all of the primary's log as it was after the loss. The zero value is an empty set. It is not safe for concurrent
// use.
type LostReplicas struct {
	lost map[string]lostReplica
}

// lostReplica is a replica that was lost and whose commits no other replica is known to have.
type lostReplica struct {
	since time.Duration
	// position is the end of the primary's log in its first status that was asked for after the loss; zero before that
	// status.
	position api.Position
}

// MarkLost adds a replica that was lost at a time, with its last known status, and reports whether it was added. A
// primary is not added, nor a replica that was paused a moment ago: it has received no commit since. An older pause may
// have ended unnoticed.
func (l *LostReplicas) MarkLost(name string, last leadership.Status, at time.Duration) bool {
	if last.Role == leadership.RolePrimary || last.IsPaused() && at-last.AskedAt <= 2*LeavingRecheckInterval {
		return false
	}
	if l.lost == nil {
		l.lost = make(map[string]lostReplica)
	}
	l.lost[name] = lostReplica{since: at}
	return true
}

// MarkReturned removes a replica that has returned.
func (l *LostReplicas) MarkReturned(name string) { delete(l.lost, name) }

// Blocking returns the names of the lost replicas that block promotions at the time now, in no particular order.
func (l *LostReplicas) Blocking(now time.Duration) []string {
	var names []string
	for name, r := range l.lost {
		if now-r.since < LostReplicaTimeout {
			names = append(names, name)
		}
	}
	return names
}

// Reconcile applies the answers of a status round: it removes the lost replicas whose commits another replica has now,
// and returns their names. It removes none unless leader answered as primary.
func (l *LostReplicas) Reconcile(leader string, statuses map[string]leadership.Status) []string {
	leaderStatus, ok := statuses[leader]
	if !ok || leaderStatus.Role != leadership.RolePrimary {
		return nil
	}
	var received api.Position
	for name, s := range statuses {
		if name != leader && s.Role == leadership.RoleReplica && s.Term == leaderStatus.Term {
			received = received.Max(s.Received)
		}
	}
	var covered []string
	for name, r := range l.lost {
		if r.position.IsZero() && leaderStatus.AskedAt >= r.since {
			r.position = leaderStatus.Received
			l.lost[name] = r
		}
		if !r.position.IsZero() && received.Compare(r.position) >= 0 {
			delete(l.lost, name)
			covered = append(covered, name)
		}
	}
	return covered
}
