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
	partitions  [Partitions]*rights
	senders     map[sender]seen
	// lenders holds the time until which a daemon had lent rights at most.
	lenders map[string]time.Duration
}

// seen is the last request of a sender.
type seen struct {
	sequence uint64
	at       time.Duration
}

// NewCoordinator returns a coordinator to which nothing is lent.
func NewCoordinator(incarnation uint64) *Coordinator {
	c := &Coordinator{incarnation: incarnation, senders: make(map[sender]seen), lenders: make(map[string]time.Duration)}
	for i := range c.partitions {
		c.partitions[i] = newRights()
	}
	return c
}

// SetBuckets sets the buckets of the limited workspaces.
func (c *Coordinator) SetBuckets(buckets map[string]Bucket, now time.Duration) {
	for i, part := range split(buckets) {
		c.partitions[i].setBuckets(part, now)
	}
}

// split returns the buckets of each partition.
func split(buckets map[string]Bucket) [Partitions]map[string]Bucket {
	var parts [Partitions]map[string]Bucket
	for i := range parts {
		parts[i] = make(map[string]Bucket)
	}
	for workspace, bucket := range buckets {
		parts[PartitionOf(workspace)][workspace] = bucket
	}
	return parts
}

// Handle takes in a request and grants. A request that is not newer than the last one of its sender lends nothing and is
// granted nothing.
func (c *Coordinator) Handle(r *api.QuotaRequest, now time.Duration) *api.QuotaReply {
	reply := &api.QuotaReply{Incarnation: c.incarnation, StampUs: now.Microseconds()}
	from := sender{daemon: r.Daemon, incarnation: r.Incarnation}
	_, isKnown := c.senders[from]
	if len(r.Wants) > maxWants || len(r.Delegations) > Shares || !c.isNew(from, r.Sequence, now) {
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
		if len(c.senders) >= maxSenders {
			return false
		}
	}
	c.senders[from] = seen{sequence: sequence, at: now}
	return true
}

// release ends what earlier starts of a daemon lent. It reports whether tokens granted from it may still be spent.
func (c *Coordinator) release(daemon string, now time.Duration) bool {
	for _, part := range c.partitions {
		for lane := range Lanes {
			part.set(lane, daemon, right{}, now)
		}
	}
	until, ok := c.lenders[daemon]
	return ok && now < until+TokensValidFor
}

// take records rights that a daemon lends. They count until LendFor after the echoed stamp, without the time for which
// tokens granted last may still be spent.
func (c *Coordinator) take(daemon string, d api.QuotaDelegation, now time.Duration) {
	if d.Partition < 0 || d.Partition >= Shares || !(d.Weight >= 0 && d.Weight <= 1.0/Lanes) || d.EchoIncarnation != c.incarnation {
		return
	}
	stamp := time.Duration(d.EchoStampUs) * time.Microsecond
	if d.EchoStampUs < 0 || d.EchoStampUs > now.Microseconds() {
		return
	}
	part, lane := c.partitions[d.Partition/Lanes], d.Partition%Lanes
	if known, ok := part.lanes[lane][daemon]; ok && known.stamp > stamp {
		return
	}
	until := stamp + LendFor - TokensValidFor
	part.set(lane, daemon, right{weight: d.Weight, until: until, stamp: stamp}, now)
	c.lenders[daemon] = max(c.lenders[daemon], until)
}

// grant decides on one want; false if the workspace has no limit here.
func (c *Coordinator) grant(from sender, want api.QuotaWant, now time.Duration) (api.QuotaGrant, bool) {
	part := c.partitions[PartitionOf(want.Workspace)]
	s := part.stockOf(want.Workspace, now)
	if s == nil {
		return api.QuotaGrant{}, false
	}
	s.report(from, amount(want.Held), amount(want.Returned))
	s.limit(part.weight, now)
	grant := api.QuotaGrant{Workspace: want.Workspace}
	wanted := math.Floor(amount(want.Tokens))
	spare := max(0, s.tokens-s.bucket.Depth*part.weight/reservePart)
	grant.Tokens = min(wanted, max(math.Floor(amount(want.Waiting)), math.Floor(min(spare, max(1, spare/prefetchPart)))), math.Floor(s.tokens))
	if grant.Tokens > 0 {
		s.grant(from, grant.Tokens, now+TokensValidFor)
	}
	if grant.Tokens < wanted && s.tokens < 1 {
		grant.RetryAfterUs = s.retryAfter(part.weight).Microseconds()
	}
	return grant, true
}

// retryAfter returns the time after which the stock is expected to hold a token.
func (s *stock) retryAfter(weight float64) time.Duration {
	rate := s.bucket.Rate * weight
	if rate <= 0 {
		return noRightsRetry
	}
	return clampRetry((1 - s.tokens) / rate)
}

// LentWeight returns the sum of the weights that are lent to the coordinator, over the partitions.
func (c *Coordinator) LentWeight(now time.Duration) float64 {
	var sum float64
	for _, part := range c.partitions {
		part.advance(now)
		sum += part.weight
	}
	return sum
}
