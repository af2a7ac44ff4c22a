package engine

import (
	"time"

	"github.com/papayacove/papayacove/internal/clock"
	"github.com/papayacove/papayacove/internal/policy/holding"
	"github.com/papayacove/papayacove/internal/policy/leadership"
	"github.com/papayacove/papayacove/internal/policy/placement"
	"github.com/papayacove/papayacove/internal/policy/takeover"
)

// holder is a daemon that a statement for a target may be sent to.
type holder struct {
	address string
	isSelf  bool
}

// pathTo names the way over the holder to a target, as a key of peerHealth.
func (h holder) pathTo(m *member) string { return h.address + " to " + m.name }

// statementsKey is the key of peerHealth for the statements that are sent to the holder. A daemon that stops runs none,
// and still tells the status of its targets.
func (h holder) statementsKey() string { return h.address + " for statements" }

// holdingLimits returns what the share of this daemon in a target depends on. The caller holds the lock.
func (g *group) holdingLimits(m *member) holding.Limits {
	return holding.Limits{Connections: g.limits.MaxConnections, Slots: m.target.Slots, Daemons: g.daemons.count}
}

// usesHolders reports whether statements for a target go through the daemon that holds it.
func (g *group) usesHolders(m *member) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.mayUseHolders(m)
}

// mayUseHolders is usesHolders for a caller that holds the lock.
func (g *group) mayUseHolders(m *member) bool {
	return g.relays != nil && len(g.daemons.holders) > 0 && holding.NeedsHolders(g.holdingLimits(m))
}

// holdersOf returns the daemons that a statement for a target is sent to, in order.
func (g *group) holdersOf(m *member) []holder {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.holderOrder(m)
}

// isFirstHolder reports whether this daemon is the holder of a target, not a standby. The caller holds the lock.
func (g *group) isFirstHolder(m *member) bool {
	holders := g.holderOrder(m)
	return len(holders) > 0 && holders[0].isSelf
}

// holderOrder is holdersOf for a caller that holds the lock.
func (g *group) holderOrder(m *member) []holder {
	if m.holdersFrom != g.daemons || m.holdersZone != m.target.Zone {
		m.holders = nil
		for _, d := range placement.HolderOrder(m.name, m.target.Zone, g.daemons.holders, holding.Holders) {
			m.holders = append(m.holders, holder{address: g.daemons.addresses[d.Name], isSelf: d.Name == g.daemons.self})
		}
		m.holdersFrom, m.holdersZone = g.daemons, m.target.Zone
	}
	return m.holders
}

// gateOf returns the gate of a target that this daemon holds, or is asked to hold by another daemon.
func (g *group) gateOf(m *member) *gate {
	g.mu.Lock()
	defer g.mu.Unlock()
	if m.gate == nil {
		m.gate = newGate(g, m)
	}
	return m.gate
}

// shareOf returns the connections that this daemon itself may open to a target. The caller holds the lock.
func (g *group) shareOf(m *member) connectionShare {
	if g.mayUseHolders(m) || g.daemons.count == 0 {
		return fallbackShare
	}
	return divideConnections(g.limits, g.daemons.count)
}

// applyShares gives the pools of a target the shares that follow from the limits and the daemons. The caller holds the
// lock.
func (g *group) applyShares(m *member) {
	share := g.shareOf(m)
	m.pool.resize(share)
	m.control.keepOpen(share.idleTimeout == 0)
	if m.gate != nil {
		m.gate.resize(holding.HolderShare(g.holdingLimits(m)), g.isFirstHolder(m))
	}
}

// lease returns the right to run statements at a target.
func (g *group) lease(m *member, wanted connectionRequest) (lease, error) {
	if g.usesHolders(m) {
		if wanted.openOnly {
			return nil, errTargetAvoided
		}
		return &relayedLease{group: g, member: m}, nil
	}
	conn, err := m.pool.acquire(wanted)
	if err != nil {
		return nil, err
	}
	return &directLease{pool: m.pool, conn: conn}, nil
}

const (
	// statusHedgeDelay is the time without a status from the holder after which the standbys are asked as well.
	statusHedgeDelay = 100 * time.Millisecond
	// statusThroughHolders bounds a status call through holders: the standbys have as long as a direct call. A round
	// with targets that do not answer takes no longer, so that a partition is noticed soon.
	statusThroughHolders = statusHedgeDelay + statusTimeout
)

// status makes a status call to a target. If the targets of the group are held, the holder makes it; when it fails or is
// late, the standbys are asked too, since a partition may separate the holder alone from the target. A daemon calls the
// target itself when it judges the primary, or reaches no holder.
func (g *group) status(m *member, timeout time.Duration) (leadership.Status, error) {
	direct := func() (leadership.Status, error) { return m.control.callWithin(timeout, Command{Op: OpStatus}) }
	if !g.usesHolders(m) {
		return direct()
	}
	var ways []func() (leadership.Status, error)
	for _, h := range g.holdersOf(m) {
		if h.isSelf || !g.peers.isAvoided(h.address) {
			ways = append(ways, func() (leadership.Status, error) { return g.statusFrom(h, m) })
		}
	}
	if len(ways) == 0 || g.isJudge() {
		ways = append(ways, direct)
	}
	return firstStatus(ways, statusHedgeDelay, statusThroughHolders)
}

// firstStatus calls the first function and, when it fails or takes longer than the delay, all others at the same time.
// It returns the first status, or the last error, or errStatusTimeout at the limit.
func firstStatus(ways []func() (leadership.Status, error), delay, limit time.Duration) (leadership.Status, error) {
	results := make(chan statusResult, len(ways))
	call := func(way func() (leadership.Status, error)) {
		status, err := way()
		results <- statusResult{status, err}
	}
	go call(ways[0])
	pending, others := 1, ways[1:]
	hedge := time.NewTimer(delay)
	defer hedge.Stop()
	timeout := time.NewTimer(limit)
	defer timeout.Stop()
	for {
		select {
		case <-timeout.C:
			return leadership.Status{}, errStatusTimeout
		case <-hedge.C:
		case r := <-results:
			pending--
			if r.err == nil || isAlive(r.err) || pending+len(others) == 0 {
				return r.status, r.err
			}
		}
		for _, way := range others {
			pending++
			go call(way)
		}
		others = nil
	}
}

// isJudge reports whether this daemon is among the first that judge the primary.
func (g *group) isJudge() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return takeover.IsJudge(g.judgeRank, g.zones)
}

// loadOf returns the number of statements that this daemon knows to run or wait at a target.
func (g *group) loadOf(m *member) int {
	g.mu.Lock()
	reported, fresh, unanswered, h := m.reportedLoad, clock.SinceBoot()-m.reportedAt < reportedLoadValidity, m.unanswered, m.gate
	held := g.mayUseHolders(m)
	g.mu.Unlock()
	switch {
	case !held:
		return m.pool.load()
	case h != nil && h.load() > 0:
		return h.load()
	case fresh:
		return max(reported, unanswered)
	}
	return unanswered
}
