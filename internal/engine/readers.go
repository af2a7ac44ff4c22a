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
	// behindRecheck is the least time after which a replica that was behind is tried again, although it is expected to be
	// behind for longer. It is tried again after the expected time divided by recheckDivisor, if that is later.
	behindRecheck  = 300 * time.Millisecond
	recheckDivisor = 4
	// freshFor is the time after a commit in which a replica is not expected to have it.
	freshFor = 50 * time.Millisecond
)

// expectedWait returns the time until a replica is expected to hold a position; 0 when it may hold it now. A replica that
// has not been heard of for a while is tried again, the sooner the less it was behind. The caller holds the lock.
func (g *group) expectedWait(m *member, at api.Position, now time.Duration) time.Duration {
	if m.applied.Compare(at) >= 0 {
		return 0
	}
	expected := g.samples.ExpectedAt(at, m.applied, m.appliedAt, now)
	if now-m.appliedAt >= max(behindRecheck, (expected-m.appliedAt)/recheckDivisor) {
		return 0
	}
	return max(0, expected-now)
}

// catchUpTime returns the time of the boot clock at which the first replica is expected to hold a position. A replica
// that has not been heard of for behindRecheck may hold it now.
func (g *group) catchUpTime(at api.Position) time.Duration {
	now := clock.SinceBoot()
	g.mu.Lock()
	defer g.mu.Unlock()
	earliest := time.Duration(math.MaxInt64)
	for name, m := range g.members {
		if name != g.primary && !m.target.Leaving && now >= m.recentFailureUntil {
			earliest = min(earliest, now+g.expectedWait(m, at, now))
		}
	}
	return earliest
}

// readers returns the members that may serve a read with a minimum position within the given time, the best first. fresh
// says that the session committed within the last freshFor.
func (g *group) readers(at api.Position, fresh bool, within time.Duration) []*member {
	now := clock.SinceBoot()
	g.mu.Lock()
	g.lastUsed = now
	members := make(map[string]*member, len(g.members))
	candidates := make([]loadbalance.Candidate, 0, len(g.members))
	for name, m := range g.members {
		if m.target.Leaving && (name != g.primary || !g.acceptsWork(m, now)) {
			continue
		}
		wait := time.Duration(0)
		if name != g.primary {
			wait = g.expectedWait(m, at, now)
		}
		if wait > within {
			continue
		}
		members[name] = m
		candidates = append(candidates, loadbalance.Candidate{
			Name: name, SameZone: m.target.Zone == g.zone, Primary: name == g.primary, Slots: m.target.Slots,
			ServiceTime: m.latency, RecentlyFailed: now < m.recentFailureUntil, Behind: wait > 0 || fresh && name != g.primary && m.applied.Compare(at) < 0,
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
