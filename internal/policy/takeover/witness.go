package takeover

import (
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/policy/authority"
)

// MaxOwed is the time after which a lost witness no longer stops a promotion: it is not coming back, and a group without
// a primary helps nobody.
const MaxOwed = 30 * time.Second

// Owed remembers replicas that are gone and may alone have acknowledged commits. A commit counts on one replica, so
// until another is known to have all that the primary had after the loss, no promotion is safe. The zero value owes
// nothing.
type Owed struct {
	lost map[string]debt
}

type debt struct {
	since time.Duration
	// position is the end of the primary's log at the first look after the loss; zero before.
	position api.Position
}

// Lose takes in that a replica is gone. One that was paused has counted for nothing since.
func (o *Owed) Lose(name string, last authority.Status, at time.Duration) bool {
	if last.Role == authority.RolePrimary || last.IsPaused() {
		return false
	}
	if o.lost == nil {
		o.lost = make(map[string]debt)
	}
	o.lost[name] = debt{since: at}
	return true
}

// Forget takes in that a replica is back.
func (o *Owed) Forget(name string) { delete(o.lost, name) }

// Names returns the lost replicas that still matter at a time.
func (o *Owed) Names(now time.Duration) []string {
	var names []string
	for name, d := range o.lost {
		if now-d.since < MaxOwed {
			names = append(names, name)
		}
	}
	return names
}

// Settle takes in a round of status calls, and returns the lost replicas whose commits another replica has now.
func (o *Owed) Settle(leader string, statuses map[string]authority.Status) []string {
	own, ok := statuses[leader]
	if !ok || own.Role != authority.RolePrimary {
		return nil
	}
	var received api.Position
	for name, s := range statuses {
		if name != leader && s.Role == authority.RoleReplica && s.Term == own.Term {
			received = received.Max(s.Received)
		}
	}
	var settled []string
	for name, d := range o.lost {
		if d.position.IsZero() && own.AskedAt >= d.since {
			d.position = own.Received
			o.lost[name] = d
		}
		if !d.position.IsZero() && received.Compare(d.position) >= 0 {
			delete(o.lost, name)
			settled = append(settled, name)
		}
	}
	return settled
}
