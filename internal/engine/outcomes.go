package engine

import (
	"cmp"
	"time"

	"github.com/papayacove/papayacove/internal/clock"
	"github.com/papayacove/papayacove/internal/policy/primaryposition"
	"github.com/papayacove/papayacove/internal/result"
)

// errTargetAvoided is the refusal of a statement that would need a new connection to an avoided target.
var errTargetAvoided = result.Errorf(result.NotRunUnreachable, "the target could not be reached a moment ago")

// avoidDuration is the time after a failed connection attempt in which no other statement waits for a new
// connection.
const avoidDuration = 300 * time.Millisecond

// recordUnreachable records that no connection to a target could be opened.
func (g *group) recordUnreachable(m *member) {
	g.recordFailure(m)
	g.mu.Lock()
	defer g.mu.Unlock()
	m.avoidUntil = clock.SinceBoot() + avoidDuration
}

// isAvoided reports whether a connection to a target could not be opened a moment ago.
func (g *group) isAvoided(m *member) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return clock.SinceBoot() < m.avoidUntil
}

// recordFailure records that a target did not answer or could not be reached.
func (g *group) recordFailure(m *member) {
	g.mu.Lock()
	defer g.mu.Unlock()
	m.recentFailureUntil = clock.SinceBoot() + recentFailureDuration
	g.requestStatusRound()
}

// recordSent records that a statement is sent to a target.
func (g *group) recordSent(m *member, now time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if m.unanswered == 0 {
		m.waitingSince = now
	}
	m.unanswered++
}

// recordEnded records that a statement was answered, or that its connection was lost.
func (g *group) recordEnded(m *member) {
	g.mu.Lock()
	defer g.mu.Unlock()
	m.unanswered--
}

// recordReply records the reply to a command that was sent at askedAt. Its position becomes a sample if the target
// was certainly the primary then: this daemon knew that it leads the term, and a proof is valid.
func (g *group) recordReply(m *member, reply Reply, askedAt time.Duration) {
	now := clock.SinceBoot()
	g.mu.Lock()
	defer g.mu.Unlock()
	m.recentFailureUntil, m.avoidUntil, m.waitingSince, m.lastReplyAt = 0, 0, now, now
	if reply.Failure == nil {
		m.recordLatency(cmp.Or(reply.ServiceTime, now-askedAt))
	}
	if reply.Position.IsZero() {
		return
	}
	m.applied, m.appliedAt = m.applied.Max(reply.Position), now
	if reply.Position.Term > g.term {
		g.requestStatusRound()
	}
	if m.target.Name != g.primary {
		if lag, known := g.samples.LagOf(m.applied, now); known {
			m.lags.Add(lag, now)
		}
		return
	}
	wasLeading := askedAt >= g.termSeenAt && reply.Position.Term <= g.term
	if wasLeading && askedAt < g.provenUntil && reply.Failure == nil {
		g.samples.Add(askedAt, reply.Position, primaryposition.Source{Kind: primaryposition.OfReply, Target: m.name})
	}
}

// latencyWeight is the weight of a new measurement in the moving average.
const latencyWeight = 0.1

// recordLatency adds the time that one statement took to the moving average. The caller holds the lock of the
// group.
func (m *member) recordLatency(taken time.Duration) {
	if m.latency == 0 {
		m.latency = taken
		return
	}
	m.latency += time.Duration(latencyWeight * float64(taken-m.latency))
}
