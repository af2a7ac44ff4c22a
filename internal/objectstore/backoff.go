package objectstore

import (
	"math/rand/v2"
	"time"
)

// backoff returns the delays between retries. They double up to a maximum, and jitter keeps
// daemons whose calls failed at the same time from retrying at the same time.
type backoff struct {
	first   time.Duration
	maximum time.Duration
	current time.Duration
}

// reset starts again with the first delay.
func (b *backoff) reset() {
	b.current = 0
}

// next returns the delay before the next retry.
func (b *backoff) next() time.Duration {
	b.current = min(max(2*b.current, b.first), b.maximum)
	return jitter(b.current)
}

// jitter returns a random duration between half of d and d; 0 if d is not positive.
func jitter(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	half := d / 2
	return half + rand.N(d-half+1)
}
