package engine

import (
	"math"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/clock"
	"github.com/papayacove/papayacove/internal/policy/loadbalance"
	"github.com/papayacove/papayacove/internal/policy/primaryposition"
)

// minPositionForAge returns the oldest known sample that covers every commit acknowledged longer than maxAge ago;
// false when none is known.
func (g *group) minPositionForAge(now, maxAge time.Duration) (primaryposition.Sample, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.samples.Oldest(now-maxAge, now-samplesKept)
}

const (
	// behindRecheck is the least time after which a replica that was behind is tried again, although it is expected to be
	// behind for longer. It is tried again after the expected time divided by recheckDivisor, if that is later.
	behindRecheck  = 300 * time.Millisecond
	recheckDivisor = 4
	// unknownLag is the lag that a replica is taken to have whose lags are not known.
	unknownLag = 50 * time.Millisecond
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

// expectedLag returns the lag that a replica is expected to have at most. The caller holds the lock.
func (m *member) expectedLag(now time.Duration) time.Duration {
	if lag, known := m.lags.Expected(now); known {
		return lag
	}
	return unknownLag
}

// isBehind reports whether a replica is not expected to hold a position now that the session itself committed at
// committedAt on the boot clock; 0 if it did not. The caller holds the lock.
func (g *group) isBehind(m *member, at api.Position, wait, committedAt, now time.Duration) bool {
	if wait > 0 {
		return true
	}
	return committedAt > 0 && m.applied.Compare(at) < 0 && now-committedAt < m.expectedLag(now)
}

// readRequest is what a read requires of its readers.
type readRequest struct {
	workspace string
	// minPosition is the log position that the read must not fall behind, and committedAt the time of the boot clock
	// at which the session itself made its latest commit; 0 if the read need not see it.
	minPosition api.Position
	committedAt time.Duration
	// within is the time in which a replica may still catch up.
	within time.Duration
	// mayTry is true when the read may be the trial of an ejected target.
	mayTry bool
}

// readers returns the members that may serve a read, the best first.
func (g *group) readers(wanted readRequest) []*member {
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
			wait = g.expectedWait(m, wanted.minPosition, now)
		}
		if wait > wanted.within {
			continue
		}
		members[name] = m
		candidate := loadbalance.Candidate{
			Name: name, SameZone: m.target.Zone == g.zone, Primary: name == g.primary, Slots: m.target.Slots,
			ServiceTime: m.latency, RecentlyFailed: now < m.recentFailureUntil, Behind: name != g.primary && g.isBehind(m, wanted.minPosition, wait, wanted.committedAt, now),
		}
		g.applyHealth(&candidate, &wanted, now)
		candidates = append(candidates, candidate)
	}
	g.mu.Unlock()
	for i := range candidates {
		c := &candidates[i]
		c.InFlight = g.loadOf(members[c.Name])
	}
	loadbalance.PreferWarm(candidates, wanted.workspace, openingTime.average())
	loadbalance.Order(candidates)
	ordered := make([]*member, len(candidates))
	for i, c := range candidates {
		ordered[i] = members[c.Name]
	}
	return ordered
}
