package engine

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayacove/papayacove/internal/logevent"
	"github.com/papayacove/papayacove/internal/logfield"
	"github.com/papayacove/papayacove/internal/result"
)

const (
	// maxRefusalCooldown bounds refusalCooldown, which doubles with each refusal in turn.
	maxRefusalCooldown = 8 * time.Second
	// maxRefusalDoublings is the number of refusals after which the cooldown is maxRefusalCooldown.
	maxRefusalDoublings = 4
	// roomDivisor is the part of its connections that a daemon gives up at a full target, so that orders to the target
	// and other daemons have room.
	roomDivisor = 16
)

// fitToTarget lowers the limit to the connections that the target has accepted, and some fewer, and reports whether one of
// them is unused, so that it can make room.
func (p *pool) fitToTarget() bool {
	connectionCounters.Add(countRefused, 1)
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if !now.Before(p.growAfter) {
		p.growAfter = now.Add(min(refusalCooldown<<min(p.owned.refusals, maxRefusalDoublings), maxRefusalCooldown))
		p.owned.refusals++
	}
	p.owned.tries = false
	accepted := len(p.idle) + p.inUse
	p.logRefused(accepted, now)
	p.owned.accepted = max(accepted, firstConnections)
	p.setConnections(min(p.queue.Slots(), p.limitWhenFull(accepted)), now)
	return len(p.idle) > 0
}

// limitWhenFull returns the number of connections that the daemon keeps at a target that has accepted so many and no more.
func (p *pool) limitWhenFull(accepted int) int {
	limit := accepted - accepted/roomDivisor
	if p.whenFull > 0 {
		limit = min(limit, p.whenFull)
	}
	return max(firstConnections, limit)
}

// recordAccepted records that the target has accepted a further connection. It is no longer taken to be full once it has
// accepted more than when it refused.
func (p *pool) recordAccepted() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.owned.tries = false
	if len(p.idle)+p.inUse > p.owned.accepted {
		p.owned.refusals = 0
	}
}

// logRefused logs that the target accepts no further connection. The caller holds the lock.
func (p *pool) logRefused(accepted int, now time.Time) {
	if !limiter.Allow(logevent.ConnectionRefusedFull, now) {
		return
	}
	logrus.WithFields(logrus.Fields{
		logfield.Target: p.name, logfield.Limit: p.queue.Slots(), logfield.Share: p.ceiling, logfield.Running: p.inUse, logfield.Connections: accepted,
	}).Info(logevent.ConnectionRefusedFull)
}

const (
	// firstFullPause is the time after a refusal of the only connection in which the target is not dialed again, which
	// doubles with each refusal in turn up to maxFullPause.
	firstFullPause = 60 * time.Millisecond
	maxFullPause   = 480 * time.Millisecond
)

// errTargetFull is the refusal of a statement whose connection would be dialed during a fullPause.
var errTargetFull = result.Errorf(result.NotRunNoSlot, "the target accepted no connection a moment ago")

// fullPause is the pause of a pool that has no connection to a full target. A pool that has one waits for it instead.
type fullPause struct {
	until time.Time
	next  time.Duration
}

// isPaused reports whether the target is not dialed now, because it accepted no connection a moment ago.
func (p *pool) isPaused(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Before(p.full.until)
}

// recordDial records whether the target refused a connection because it is full.
func (p *pool) recordDial(refused bool, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !refused {
		p.full = fullPause{}
		return
	}
	// The connection that was refused is counted as in use.
	if len(p.idle) > 0 || p.inUse > 1 {
		return
	}
	pause := max(firstFullPause, p.full.next)
	p.full = fullPause{until: now.Add(pause), next: min(2*pause, maxFullPause)}
}
