package takeover

import (
	"maps"
	"slices"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/policy/leadership"
)

// LostReplicaTimeout is the time after which a lost replica no longer blocks the replacement of a primary that does not
// answer. It is not expected to return by then, and blocking longer would leave the group without a primary. A primary
// that still leads has its log, so that its replacement by a replica with less is blocked for good.
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
	// position is the end of the log that another replica has to have. It is that of the lost replica if wasPaused, which
	// has received nothing since, and otherwise that of the primary in its first status that was asked for after the loss;
	// zero before that status.
	position  api.Position
	wasPaused bool
}

// MarkLost adds a replica that was lost at a time, with its last known status, and reports whether it was added. One that was
// paused a moment ago, and so has received no commit since, is not added if another replica has its log up to the end:
// received is the longest log of the others. An older pause may have ended unnoticed. A target that led in its last known
// status may have become a replica since.
func (l *LostReplicas) MarkLost(name string, last leadership.Status, received api.Position, at time.Duration) bool {
	lost := lostReplica{since: at}
	if last.IsPaused() && at-last.AskedAt <= 2*LeavingRecheckInterval {
		if received.Compare(last.Received) >= 0 {
			return false
		}
		lost.position, lost.wasPaused = last.Received, true
	}
	if l.lost == nil {
		l.lost = make(map[string]lostReplica)
	}
	l.lost[name] = lost
	return true
}

// Adopt adds a replica that another daemon knows to be lost, unless it is known here. It blocks promotions from now on.
func (l *LostReplicas) Adopt(loss api.LostReplica, now time.Duration) {
	if _, known := l.lost[loss.Replica]; known {
		return
	}
	if l.lost == nil {
		l.lost = make(map[string]lostReplica)
	}
	l.lost[loss.Replica] = lostReplica{since: now, position: loss.Position, wasPaused: loss.WasPaused}
}

// Describe returns a lost replica of a group for other daemons. A position that the primary has stated since is left
// out: it is of the primary's log, which another daemon asks for itself.
func (l *LostReplicas) Describe(group, name string) api.LostReplica {
	loss := api.LostReplica{Group: group, Replica: name, WasPaused: l.lost[name].wasPaused}
	if loss.WasPaused {
		loss.Position = l.lost[name].position
	}
	return loss
}

// MarkReturned removes a replica that has returned.
func (l *LostReplicas) MarkReturned(name string) { delete(l.lost, name) }

// Blocking returns the names of the lost replicas that block promotions at the time now while the primary does not
// answer, in no particular order.
func (l *LostReplicas) Blocking(now time.Duration) []string {
	return slices.DeleteFunc(l.All(), func(name string) bool { return now-l.lost[name].since >= LostReplicaTimeout })
}

// All returns the names of all lost replicas, which block the replacement of a primary that leads, in no particular
// order.
func (l *LostReplicas) All() []string { return slices.Collect(maps.Keys(l.lost)) }

// Reconcile applies the answers of a status round: it removes the lost replicas whose commits another replica has now,
// and returns their names. Unless leader answered as primary, it removes only those that were paused.
func (l *LostReplicas) Reconcile(leader string, statuses map[string]leadership.Status) []string {
	own := statuses[leader]
	leads := own.Role == leadership.RolePrimary
	var received api.Position
	for name, s := range statuses {
		if name != leader && s.Role == leadership.RoleReplica && (!leads || s.Term == own.Term) {
			received = received.Max(s.Received)
		}
	}
	var covered []string
	for name, r := range l.lost {
		if !leads && !r.wasPaused {
			continue
		}
		if r.position.IsZero() && own.AskedAt >= r.since {
			r.position = own.Received
			l.lost[name] = r
		}
		if !r.position.IsZero() && received.Compare(r.position) >= 0 {
			delete(l.lost, name)
			covered = append(covered, name)
		}
	}
	return covered
}
