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

// HasStoppedAcknowledging reports whether the status of a leaving replica shows that the replica lets the primary of
// the term acknowledge no further commit: it was paused in this term after the promotion that began the term had
// settled. termSeenAt is the time at which the daemon first saw the term.
func HasStoppedAcknowledging(s leadership.Status, term uint64, termSeenAt time.Duration) bool {
	return s.Role == leadership.RoleReplica && s.Term == term && s.IsPaused() && s.AskedAt >= termSeenAt+PromotionSettleTime
}

// NeedsPause reports whether a leaving replica has to be paused, or paused again, at the time now: its pause may have
// ended unnoticed since its last status.
func NeedsPause(s leadership.Status, term uint64, termSeenAt, now time.Duration) bool {
	if s.Role != leadership.RoleReplica || s.Term != term {
		return false
	}
	return !HasStoppedAcknowledging(s, term, termSeenAt) && now >= s.AskedAt+minPauseInterval(s) || now >= s.AskedAt+LeavingRecheckInterval
}

// minPauseInterval is the least time between two orders to pause: none for a replica that is not paused.
func minPauseInterval(s leadership.Status) time.Duration {
	if !s.IsPaused() {
		return 0
	}
	return LeavingRecheckInterval / 2
}
