package engine

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayacove/papayacove/internal/logevent"
	"github.com/papayacove/papayacove/internal/logfield"
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
		logfield.Target: p.target().Name, logfield.Limit: p.queue.Slots(), logfield.Share: p.ceiling, logfield.Running: p.inUse, logfield.Connections: accepted,
	}).Info(logevent.ConnectionRefusedFull)
}
