// Package quota decides which operations of a workspace may be sent, so that the limit of the workspace holds over all
// daemons in any window of time.
//
// Each daemon owns an equal part, its weight, of each limit. It lends its rights for a bounded time to three
// coordinators, a third to each, and asks them for tokens where its callers are. A coordinator grants
// from a token bucket that fills with the weights lent to it. Rights that are not lent fill buckets of the daemon's own.
// The load that this answers is that of workspaces whose few callers enter at some of many daemons, while daemons and
// zones are frozen, cut off, restarted and replaced.
//
// No daemon relies on another's clock, and a delay or a lost message only makes rights fewer. At any time the weights sum
// to at most 1, a weight counts in one place, and the stock of a bucket together with the tokens granted from it is at
// most its weight times Depth. Therefore at most Depth + Rate x window operations get a token in any window.
package quota

import (
	"hash/maphash"
	"math"
	"time"

	"github.com/papayacove/papayacove/internal/policy/callers"
)

const (
	// Lanes is the number of coordinators. Each is lent the rights of the daemons of its zones, so that one that is lost, or
	// a zone that is cut off, takes only these along. Daemons of all versions must agree on it.
	Lanes = 3
	// LendingRules is the number of the rules by which daemons choose the coordinators. It changes with them.
	LendingRules = 1
	// LendFor is the time for which rights are lent, from the stamp of the coordinator that the daemon echoes.
	LendFor = 3 * time.Second
	// TokensValidFor is the time for which tokens may be spent, from when the request for them was sent.
	TokensValidFor = time.Second
	// CallTimeout bounds a request to a coordinator.
	CallTimeout = 150 * time.Millisecond
	// maxWaitToSend is the time from when an operation gets its token until it is sent at the latest.
	maxWaitToSend = 600 * time.Millisecond
	// minDepth is the least depth of a bucket, in operations: each coordinator must be able to grant one.
	minDepth = 3.0
	// smallFleet is the number of daemons up to which rights are renewed each shortRenewal, and longRenewal beyond.
	smallFleet   = 250
	shortRenewal = 500 * time.Millisecond
	longRenewal  = 750 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the time after which a refused daemon asks again.
	minRetryAfter = 20 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)

// Window describes the bound: in any Length at most (rate x Length + burst) x (1 + Overage) + Slack operations.
type Window struct {
	Length  time.Duration
	Overage float64
	Slack   float64
}

// Bound returns the largest number of operations of a workspace in any window.
func (w Window) Bound(l callers.Limit) float64 {
	return (l.RatePerS*w.Length.Seconds()+l.Burst)*(1+w.Overage) + w.Slack
}

// Bucket is the size of the token bucket of a workspace over all daemons.
type Bucket struct {
	// Rate is the number of operations a second, Depth the number that may come at once.
	Rate, Depth float64
}

// BucketFor returns a bucket that keeps the bound: Depth + Rate x (Length + maxWaitToSend) = Bound. The rate is that of the
// limit with its overage, so that a workspace at its limit gets all of it although tokens are spread over daemons. It is
// less where the depth would be less than the burst, and less than the limit only where the depth would be less than
// minDepth.
func (w Window) BucketFor(l callers.Limit) Bucket {
	bound := w.Bound(l)
	span := (w.Length + maxWaitToSend).Seconds()
	rate := min(l.RatePerS*(1+w.Overage), max(l.RatePerS, (bound-l.Burst)/span))
	depth := max(bound-rate*span, min(minDepth, bound))
	return Bucket{Rate: min(rate, (bound-depth)/span), Depth: depth}
}

// RenewalInterval returns the time between two requests that renew what is lent, with the given number of daemons.
func RenewalInterval(daemons int) time.Duration {
	if daemons <= smallFleet {
		return shortRenewal
	}
	return longRenewal
}

// NewIncarnation returns a number that identifies one start of a daemon; never 0.
func NewIncarnation() uint64 {
	return maphash.Bytes(maphash.MakeSeed(), nil) | 1
}

// amount returns a number of a message, or 0 if it is not a number of operations.
func amount(x float64) float64 {
	if !(x > 0) || math.IsInf(x, 1) {
		return 0
	}
	return x
}

// clampRetry bounds the time in seconds until the next request.
func clampRetry(seconds float64) time.Duration {
	if !(seconds < maxRetryAfter.Seconds()) {
		return maxRetryAfter
	}
	return max(minRetryAfter, time.Duration(seconds*float64(time.Second)))
}
