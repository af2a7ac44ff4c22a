// Package stopping decides when the parts of a planned stop end, so that all of it is over before the process is killed.
package stopping

import "time"

const (
	// maxReserve bounds the part of the grace period that is kept for what comes after the last session, and reservePart
	// is that part, one in so many, of a short grace period.
	maxReserve  = 500 * time.Millisecond
	reservePart = 4
	// acceptingParts of allParts of the time for sessions go by until no more callers are accepted.
	acceptingParts, allParts = 3, 4
	// The last parts end when these tenths of the reserve are over. What is left is for the log, and for a clock that
	// started earlier than that of this process.
	callersTenths, relaysTenths, promotionsTenths, logTenths = 3, 4, 6, 9
)

// Plan holds the times since the begin of a planned stop at which its parts end at the latest, in their order. A part that is
// over earlier makes the next one begin earlier. No time is negative or beyond the grace period.
type Plan struct {
	// Accepting is when the daemon accepts no more callers, so that the statements of the last ones can still end.
	Accepting time.Duration
	// Sessions is when the sessions that are still open are closed.
	Sessions time.Duration
	// Callers is when the last answers have to be on their way.
	Callers time.Duration
	// Relays is when the answers to other daemons have to be on their way.
	Relays time.Duration
	// Promotions is when promotions in progress have to have released their locks.
	Promotions time.Duration
	// Log is when the log has to be written.
	Log time.Duration
}

// PlanOf returns the plan of a stop within a grace period, the time from SIGTERM to SIGKILL. A grace period that is not
// positive leaves no time for any part.
func PlanOf(grace time.Duration) Plan {
	grace = max(0, grace)
	reserve := min(maxReserve, grace/reservePart)
	sessions := grace - reserve
	after := func(tenths time.Duration) time.Duration { return sessions + reserve*tenths/10 }
	return Plan{
		Accepting: sessions * acceptingParts / allParts, Sessions: sessions, Callers: after(callersTenths), Relays: after(relaysTenths),
		Promotions: after(promotionsTenths), Log: after(logTenths),
	}
}
