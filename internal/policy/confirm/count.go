package confirm

import (
	"time"

	"github.com/papayacove/papayacove/api"
)

// count gathers the figures that a decision is based on.
type count struct {
	rule     Rule
	commit   api.Position
	evidence Evidence
	now      time.Time
	validity time.Duration

	primaryLeads bool
	primaryFresh bool
	holding      int
	following    int
	// replaced counts the targets at a later term.
	replaced int
	// oldest is the earliest time of asking among the answers counted as holding.
	oldest time.Time
}

func (c *count) countPrimary() {
	p := c.evidence.Primary
	if p.Term > c.commit.Term {
		c.replaced++
	}
	if !c.rule.CheckPrimary {
		c.primaryLeads, c.primaryFresh = true, true
		c.holding, c.following = 1, 1
		c.oldest = c.now
		return
	}
	if !p.isValid(c.now, c.validity) || p.Term != c.commit.Term || p.Role != RolePrimary {
		return
	}
	c.primaryLeads = true
	c.primaryFresh = p.AskedAt.After(c.evidence.CommittedAt)
	c.holding, c.following = 1, 1
	c.oldest = p.AskedAt
}

func (c *count) countReplicas() {
	for i, a := range c.evidence.Replicas {
		if a.Target == c.evidence.Primary.Target || isRepeated(c.evidence.Replicas[:i], a.Target) {
			continue
		}
		c.countReplica(a)
	}
}

func (c *count) countReplica(a Answer) {
	if a.Term > c.commit.Term {
		c.replaced++
	}
	if !a.isValid(c.now, c.validity) || a.Term != c.commit.Term {
		return
	}
	if a.AskedAt.After(c.evidence.CommittedAt) {
		c.following++
	}
	if !c.holds(a) {
		return
	}
	c.holding++
	if a.AskedAt.Before(c.oldest) {
		c.oldest = a.AskedAt
	}
}

// holds reports whether the log of a replica contains the commit.
func (c *count) holds(a Answer) bool {
	if c.rule.CheckLogTerm && a.Received.Term != c.commit.Term {
		return false
	}
	return a.Received.Offset >= c.commit.Offset
}

func (c *count) decide(needed int) Decision {
	d := Decision{Commit: c.commit, Holding: c.holding, Following: c.following, Needed: needed}
	d.Outcome, d.Reason = c.verdict(needed)
	if d.Outcome == Confirmed {
		d.ValidUntil = c.oldest.Add(c.validity)
	}
	return d
}

func (c *count) verdict(needed int) (Outcome, Reason) {
	p := c.evidence.Primary
	switch {
	case c.rule.CheckPrimary && p.Term > c.commit.Term:
		return Refused, ReasonPrimaryReplaced
	case c.rule.CheckPrimary && p.Term == c.commit.Term && p.Role == RoleReplica:
		return Refused, ReasonPrimaryDemoted
	case c.replaced >= needed:
		return Refused, ReasonMajorityReplaced
	case !c.primaryLeads:
		return Wait, ReasonPrimaryUnseen
	case c.holding >= needed:
		return Confirmed, ReasonMajorityHolds
	case c.primaryFresh && c.following >= needed:
		return FenceOnly, ReasonMajorityFollows
	default:
		return Wait, ReasonTooFewReplicas
	}
}

// isRepeated reports whether answers holds one of the named target.
func isRepeated(answers []Answer, target string) bool {
	for _, a := range answers {
		if a.Target == target {
			return true
		}
	}
	return false
}
