package engine

import (
	"maps"
	"time"

	"github.com/papayacove/papayacove/internal/policy/leadership"
	"github.com/papayacove/papayacove/internal/policy/takeover"
)

// removedReplica is a replica that was removed at a time of the boot clock, with its last status.
type removedReplica struct {
	last leadership.Status
	at   time.Duration
}

// recordRestart records that a target has restarted. Its last status says nothing of the time since: the leadership proof that
// rests on it is over, and so is its pause if it was a replica. The position that it held stays, so that the loss of its log
// is noticed. The caller holds the lock.
func (g *group) recordRestart(name string) {
	g.provenUntil = 0
	if name == g.primary {
		g.ledAt = 0
	}
	s, ok := g.statuses[name]
	if !ok {
		return
	}
	s.AskedAt = 0
	if s.Role == leadership.RoleReplica {
		s.Term, s.PausedTerm = 0, 0
	}
	g.statuses[name] = s
}

// keepPosition keeps the last status of a replica that is removed, for as long as a lost replica blocks promotions. The
// caller holds the lock.
func (g *group) keepPosition(name string, now time.Duration) {
	maps.DeleteFunc(g.removed, func(_ string, r removedReplica) bool { return now-r.at >= takeover.LostReplicaTimeout })
	last, ok := g.statuses[name]
	if !ok || last.Role != leadership.RoleReplica {
		return
	}
	if g.removed == nil {
		g.removed = make(map[string]removedReplica)
	}
	g.removed[name] = removedReplica{last, now}
}

// recallPosition gives a replica that has returned the position that it held, so that its next status shows whether it has
// returned with its log. Of its term and its pause nothing is known, so that it proves nothing. The caller holds the
// lock.
func (g *group) recallPosition(name string) {
	if r, ok := g.removed[name]; ok {
		delete(g.removed, name)
		g.statuses[name] = leadership.Status{Role: leadership.RoleReplica, Received: r.last.Received}
	}
}
