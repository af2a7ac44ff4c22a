package engine

import (
	"math"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/clock"
	"github.com/papayacove/papayacove/internal/policy/loadbalance"
)

// minPositionForAge returns the oldest known position that covers every commit acknowledged longer than maxAge ago;
// false when none is known.
func (g *group) minPositionForAge(now, maxAge time.Duration) (api.Position, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.samples.Oldest(now-maxAge, now-samplesKept)
}

const (
	// behindRecheck is the time after which a replica that was behind is tried again, although it is expected to be
	// behind for longer.
	behindRecheck = 300 * time.Millisecond
	// freshFor is the time after a commit in which a replica is not expected to have it.
	freshFor = 50 * time.Millisecond
)

// isExpectedBehind reports whether a replica is expected to lack the position. The caller holds the lock.
func (g *group) isExpectedBehind(m *member, at api.Position, fresh bool, now time.Duration) bool {
	if m.applied.Compare(at) >= 0 {
		return false
	}
	return fresh || now-m.appliedAt < behindRecheck && now < g.samples.ExpectedAt(at, m.applied, m.appliedAt, now)
}

// catchUpTime returns the time of the boot clock at which the first replica is expected to hold a position. A replica
// that has not been heard of for behindRecheck may hold it now.
func (g *group) catchUpTime(at api.Position) time.Duration {
	now := clock.SinceBoot()
	g.mu.Lock()
	defer g.mu.Unlock()
	earliest := time.Duration(math.MaxInt64)
	for name, m := range g.members {
		switch {
		case name == g.primary || m.target.Leaving || now < m.recentFailureUntil:
		case now-m.appliedAt >= behindRecheck:
			earliest = min(earliest, now)
		default:
			earliest = min(earliest, g.samples.ExpectedAt(at, m.applied, m.appliedAt, now))
		}
	}
	return earliest
}

// readers returns the members that may serve a read with a minimum position, the best first. fresh says that the
// session committed within the last freshFor.
func (g *group) readers(at api.Position, fresh bool) []*member {
	now := clock.SinceBoot()
	g.mu.Lock()
	g.lastUsed = now
	members := make(map[string]*member, len(g.members))
	candidates := make([]loadbalance.Candidate, 0, len(g.members))
	for name, m := range g.members {
		if m.target.Leaving && (name != g.primary || !g.acceptsWork(m, now)) {
			continue
		}
		members[name] = m
		candidates = append(candidates, loadbalance.Candidate{
			Name: name, SameZone: m.target.Zone == g.zone, Primary: name == g.primary, Slots: m.target.Slots,
			ServiceTime: m.latency, RecentlyFailed: now < m.recentFailureUntil, Behind: name != g.primary && g.isExpectedBehind(m, at, fresh, now),
		})
	}
	g.mu.Unlock()
	for i := range candidates {
		c := &candidates[i]
		c.InFlight = g.loadOf(members[c.Name])
	}
	loadbalance.Order(candidates)
	ordered := make([]*member, len(candidates))
	for i, c := range candidates {
		ordered[i] = members[c.Name]
	}
	return ordered
}
