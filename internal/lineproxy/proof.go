package lineproxy

import (
	"context"
	"time"

	"github.com/papayacove/papayacove/internal/clock"
)

// proofWatchDivisor is the part of the bound of withdrawn keys that a watch of the configuration may wait. A watch proves
// the time at which it was sent, so that the proof is up to two waits old, and up to three after a lost answer.
const proofWatchDivisor = 5

// proofRecorder records that the configuration in force is recent: a call that follows the configuration proves the time
// at which it was sent, once all that it returned is in force. Its methods are called in turn.
type proofRecorder struct {
	record func(asOf time.Duration)
	sentAt time.Duration
	// missing is true while the newest configuration that was read is not in force.
	missing bool
}

func (r *proofRecorder) beforeCall(context.Context) { r.sentAt = clock.SinceBoot() }

// taken records whether a configuration that was read is in force.
func (r *proofRecorder) taken(inForce bool) { r.missing = !inForce }

// afterCall records the proof of a call that succeeded.
func (r *proofRecorder) afterCall(err error) {
	if err == nil && !r.missing {
		r.record(r.sentAt)
	}
}

// configurationWatchWait is the time for which the store is asked to hold a watch of the configuration open.
func (p *Proxy) configurationWatchWait() time.Duration {
	wait := p.watchWait()
	if bound := time.Duration(p.settings.Load().Fleet.RevokeMs) * time.Millisecond; bound > 0 {
		wait = min(wait, bound/proofWatchDivisor)
	}
	return wait
}
