package takeover

import (
	"time"

	"github.com/papayacove/papayacove/internal/policy/leadership"
)

const (
	// PromotionSettleTime is the time after a daemon first sees a term in which the promotion that began the term may
	// still end pauses: an old primary joins the new one about a second after it reaches it, and then receives again
	// although it was paused.
	PromotionSettleTime = 2 * time.Second
	// LeavingRecheckInterval is the time between two checks that a leaving replica is still paused.
	LeavingRecheckInterval = time.Second
)

// isPauseSettled reports whether the status shows a pause that was ordered after the promotion that began the term had
// settled. termSeenAt is the time at which the daemon first saw the term.
func isPauseSettled(s leadership.Status, term uint64, termSeenAt time.Duration) bool {
	return s.Role == leadership.RoleReplica && s.Term == term && s.IsPaused() && s.AskedAt >= termSeenAt+PromotionSettleTime
}

// NeedsPause reports whether a leaving replica has to be paused, or paused again, at the time now. Otherwise commits are
// acknowledged by its receipt alone, and its log goes with it. Its pause may have ended unnoticed since its last status,
// so that a promotion waits for it as for any other replica.
func NeedsPause(s leadership.Status, term uint64, termSeenAt, now time.Duration) bool {
	if s.Role != leadership.RoleReplica || s.Term != term {
		return false
	}
	return !isPauseSettled(s, term, termSeenAt) && now >= s.AskedAt+minPauseInterval(s) || now >= s.AskedAt+LeavingRecheckInterval
}

// minPauseInterval is the least time between two orders to pause: none for a replica that is not paused.
func minPauseInterval(s leadership.Status) time.Duration {
	if !s.IsPaused() {
		return 0
	}
	return LeavingRecheckInterval / 2
}
