package objectstore

import (
	"math/rand/v2"
	"time"
)

// backoff yields the times between retries. They double up to a maximum, and jitter keeps
// daemons that failed together from coming back together.
type backoff struct {
	first   time.Duration
	maximum time.Duration
	current time.Duration
}

// reset starts again with the first time.
func (b *backoff) reset() {
	b.current = 0
}

// next returns the time to wait before the next retry.
func (b *backoff) next() time.Duration {
	b.current = min(max(2*b.current, b.first), b.maximum)
	return jitter(b.current)
}

// jitter returns a random time between half of d and d.
func jitter(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	half := d / 2
	return half + rand.N(d-half+1)
}
