package confirm

import (
	"time"

	"github.com/papayacove/papayacove/api"
)

// tally counts the targets for a decision on a commit.
type tally struct {
	rule     Rule
	commit   api.Position
	evidence Evidence
	now      time.Time
	validity time.Duration

	// primaryLeads is true when a valid answer of the primary reports its term and role, and primaryAskedSince when that
	// answer was asked for after the reply to the commit arrived.
	primaryLeads      bool
	primaryAskedSince bool
	// holding is the number of targets that have the commit.
	holding int
	// following is the number of targets that still follow the term: the primary if it leads, and the replicas that were
	// asked after that reply.
	following int
	// replaced is the number of targets at a later term.
	replaced int
	// oldest is the earliest AskedAt of the answers counted in holding.
	oldest time.Time
}

func (t *tally) addPrimary() {
	p := t.evidence.Primary
	if p.Term > t.commit.Term {
		t.replaced++
	}
	if !t.rule.CheckPrimary {
		t.primaryLeads, t.primaryAskedSince = true, true
		t.holding, t.following = 1, 1
		t.oldest = t.now
		return
	}
	if !p.isValid(t.now, t.validity) || p.Term != t.commit.Term || p.Role != RolePrimary {
		return
	}
	t.primaryLeads = true
	t.primaryAskedSince = p.AskedAt.After(t.evidence.CommittedAt)
	t.holding, t.following = 1, 1
	t.oldest = p.AskedAt
}

func (t *tally) addReplicas() {
	for i, status := range t.evidence.Replicas {
		if status.Target == t.evidence.Primary.Target || isRepeated(t.evidence.Replicas[:i], status.Target) {
			continue
		}
		t.addReplica(status)
	}
}

func (t *tally) addReplica(status Status) {
	if status.Term > t.commit.Term {
		t.replaced++
	}
	if !status.isValid(t.now, t.validity) || status.Term != t.commit.Term {
		return
	}
	if status.AskedAt.After(t.evidence.CommittedAt) {
		t.following++
	}
	if !t.holds(status) {
		return
	}
	t.holding++
	if status.AskedAt.Before(t.oldest) {
		t.oldest = status.AskedAt
	}
}

// holds reports whether the log of a replica has the commit.
func (t *tally) holds(status Status) bool {
	if t.rule.CheckLogTerm && status.Received.Term != t.commit.Term {
		return false
	}
	return status.Received.Offset >= t.commit.Offset
}

func (t *tally) decide(needed int) Decision {
	d := Decision{Commit: t.commit, Holding: t.holding, Following: t.following, Needed: needed}
	d.Outcome, d.Reason = t.verdict(needed)
	if d.Outcome == Confirmed {
		d.ValidUntil = t.oldest.Add(t.validity)
	}
	return d
}

func (t *tally) verdict(needed int) (Outcome, Reason) {
	p := t.evidence.Primary
	switch {
	case t.rule.CheckPrimary && p.Term > t.commit.Term:
		return Refused, ReasonPrimaryReplaced
	case t.rule.CheckPrimary && p.Term == t.commit.Term && p.Role == RoleReplica:
		return Refused, ReasonPrimaryDemoted
	case t.replaced >= needed:
		return Refused, ReasonMajorityReplaced
	case !t.primaryLeads:
		return Wait, ReasonPrimaryUnseen
	case t.holding >= needed:
		return Confirmed, ReasonMajorityHolds
	case t.primaryAskedSince && t.following >= needed:
		return FenceOnly, ReasonMajorityFollows
	default:
		return Wait, ReasonTooFewReplicas
	}
}

// isRepeated reports whether statuses has one of the target.
func isRepeated(statuses []Status, target string) bool {
	for _, status := range statuses {
		if status.Target == target {
			return true
		}
	}
	return false
}
