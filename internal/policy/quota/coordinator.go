package quota

import (
	"maps"
	"math"
	"time"

	"github.com/papayacove/papayacove/api"
)

const (
	// maxWants and maxSenders bound what a message, or many of them, may occupy.
	maxWants   = 4096
	maxSenders = 8192
	// forgetSenderAfter is the time without a request after which a sender is forgotten.
	forgetSenderAfter = 30 * time.Second
	// prefetchPart is the part of what is above the reserve, as a divisor, that one daemon may be granted in advance at
	// once. reservePart is the part of the depth, as a divisor, that is kept for operations that wait.
	prefetchPart = 4
	reservePart  = 2
	// noRightsRetry is the time after which a daemon asks again a coordinator that has nothing to grant from.
	noRightsRetry = 200 * time.Millisecond
)

// Coordinator grants tokens from the rights that are lent to it. It is not safe for concurrent use. Times are those of
// its own boot clock.
type Coordinator struct {
	incarnation uint64
	rights      *rights
	senders     map[sender]seen
	// lenders holds the time until which a daemon had lent rights at most.
	lenders map[string]time.Duration
	// released holds the time at which the newest start of a daemon was first heard of. What earlier starts lent has ended.
	released map[string]time.Duration
	// startedAt is the time at which the first limits came into force; 0 before.
	startedAt time.Duration
	// hasEnded is true when the daemon stops as planned.
	hasEnded bool
}

// seen is the last request of a sender.
type seen struct {
	sequence uint64
	at       time.Duration
}

// NewCoordinator returns a coordinator to which nothing is lent.
func NewCoordinator(incarnation uint64) *Coordinator {
	return &Coordinator{
		incarnation: incarnation, rights: newRights(),
		senders: make(map[sender]seen), lenders: make(map[string]time.Duration), released: make(map[string]time.Duration),
	}
}

// SetBuckets sets the buckets of the limited workspaces.
func (c *Coordinator) SetBuckets(buckets map[string]Bucket, now time.Duration) {
	if c.startedAt == 0 {
		c.startedAt = now
	}
	c.rights.setBuckets(buckets, now)
}

// SetLaneWeights sets the part of all rights that the daemons of each lane own. Of those lent in a lane no more counts.
func (c *Coordinator) SetLaneWeights(weights [Lanes]float64, now time.Duration) {
	c.rights.setMost(weights, now)
}

// End makes the coordinator count nothing that is lent to it. What it granted expires within TokensValidFor.
func (c *Coordinator) End(now time.Duration) {
	c.hasEnded = true
	for lane := range Lanes {
		for daemon := range c.rights.lanes[lane] {
			c.rights.set(lane, daemon, right{}, now)
		}
	}
}

// Handle takes in a request and grants. A request that is not newer than the last one of its sender lends nothing and is
// granted nothing.
func (c *Coordinator) Handle(r *api.QuotaRequest, now time.Duration) *api.QuotaReply {
	reply := &api.QuotaReply{Incarnation: c.incarnation, StampUs: now.Microseconds()}
	if c.startedAt != 0 {
		reply.UpUs = (now - c.startedAt).Microseconds()
	}
	if c.hasEnded {
		reply.Ended = true
		return reply
	}
	from := sender{daemon: r.Daemon, incarnation: r.Incarnation}
	_, isKnown := c.senders[from]
	if len(r.Wants) > maxWants || len(r.Delegations) > Lanes || !c.isNew(from, r.Sequence, now) {
		return reply
	}
	if !isKnown {
		reply.Released = c.release(r.Daemon, now)
	}
	for _, d := range r.Delegations {
		c.take(r.Daemon, d, now)
	}
	for _, want := range r.Wants {
		if grant, ok := c.grant(from, want, now); ok {
			reply.Grants = append(reply.Grants, grant)
		}
	}
	return reply
}

// isNew reports whether a request is newer than all others of its sender, and records it.
func (c *Coordinator) isNew(from sender, sequence uint64, now time.Duration) bool {
	last, known := c.senders[from]
	if known && sequence <= last.sequence {
		return false
	}
	if !known && len(c.senders) >= maxSenders {
		maps.DeleteFunc(c.senders, func(_ sender, s seen) bool { return now-s.at > forgetSenderAfter })
		maps.DeleteFunc(c.lenders, func(_ string, until time.Duration) bool { return now-until > forgetSenderAfter })
		maps.DeleteFunc(c.released, func(_ string, at time.Duration) bool { return now-at > forgetSenderAfter })
		if len(c.senders) >= maxSenders {
			return false
		}
	}
	c.senders[from] = seen{sequence: sequence, at: now}
	return true
}

// release ends what earlier starts of a daemon lent. It reports whether tokens granted from it may still be spent.
func (c *Coordinator) release(daemon string, now time.Duration) bool {
	for lane := range Lanes {
		c.rights.set(lane, daemon, right{}, now)
	}
	c.released[daemon] = now
	until, ok := c.lenders[daemon]
	return ok && now < until+TokensValidFor
}

// take records rights that a daemon lends. They count until LendFor after the echoed stamp, without the time for which
// tokens granted last may still be spent. A stamp from before the release is one that an earlier start got.
func (c *Coordinator) take(daemon string, d api.QuotaDelegation, now time.Duration) {
	if d.Partition < 0 || d.Partition >= Lanes || !(d.Weight >= 0 && d.Weight <= 1.0/Lanes) || d.EchoIncarnation != c.incarnation {
		return
	}
	stamp := time.Duration(d.EchoStampUs) * time.Microsecond
	if d.EchoStampUs < c.released[daemon].Microseconds() || d.EchoStampUs < 0 || d.EchoStampUs > now.Microseconds() {
		return
	}
	if known, ok := c.rights.lanes[d.Partition][daemon]; ok && known.stamp > stamp {
		return
	}
	until := stamp + LendFor - TokensValidFor
	c.rights.set(d.Partition, daemon, right{weight: d.Weight, until: until, stamp: stamp}, now)
	if unused := time.Duration(d.UnusedUs) * time.Microsecond; unused > 0 && until > now {
		c.rights.addUnused(d.Weight, min(unused, LendFor))
	}
	c.lenders[daemon] = max(c.lenders[daemon], until)
}

// grant decides on one want; false if the workspace has no limit here.
func (c *Coordinator) grant(from sender, want api.QuotaWant, now time.Duration) (api.QuotaGrant, bool) {
	s := c.rights.stockOf(want.Workspace, now)
	if s == nil {
		return api.QuotaGrant{}, false
	}
	s.report(from, amount(want.Held), amount(want.Returned))
	s.limit(c.rights.weight, now)
	grant := api.QuotaGrant{Workspace: want.Workspace}
	wanted := math.Floor(amount(want.Tokens))
	spare := max(0, s.tokens-s.bucket.Depth*c.rights.weight/reservePart)
	grant.Tokens = min(wanted, max(math.Floor(amount(want.Waiting)), math.Floor(min(spare, max(1, spare/prefetchPart)))), math.Floor(s.tokens))
	if grant.Tokens > 0 {
		s.grant(from, grant.Tokens, now+TokensValidFor)
	}
	if grant.Tokens < wanted && s.tokens < 1 {
		grant.RetryAfterUs = s.retryAfter(c.expectedWeight(now)).Microseconds()
	}
	return grant, true
}

// expectedWeight returns the weight that is expected to be lent in the next seconds. Daemons that have started together
// lend theirs one after the other; the few that have lent it already say nothing about the rest.
func (c *Coordinator) expectedWeight(now time.Duration) float64 {
	if now < c.startedAt+LendFor {
		return max(c.rights.weight, 1.0/Lanes)
	}
	return c.rights.weight
}

// retryAfter returns the time after which the stock is expected to hold a token.
func (s *stock) retryAfter(weight float64) time.Duration {
	rate := s.bucket.Rate * weight
	if rate <= 0 {
		return noRightsRetry
	}
	return clampRetry((1 - s.tokens) / rate)
}

// LentWeight returns the sum of the weights that are lent to the coordinator.
func (c *Coordinator) LentWeight(now time.Duration) float64 {
	c.rights.advance(now)
	return c.rights.weight
}
