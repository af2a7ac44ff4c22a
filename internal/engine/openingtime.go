package engine

import (
	"cmp"
	"sync/atomic"
	"time"
)

// openingTime is the time that the connections of workspaces take to open, as observed by this daemon.
var openingTime = &averageTime{}

// defaultOpeningTime is the time that a connection is taken to need to open until one was opened.
const defaultOpeningTime = 10 * time.Millisecond

// averageTime is a moving average. It is safe for concurrent use.
type averageTime struct{ nanoseconds atomic.Int64 }

func (a *averageTime) record(taken time.Duration) {
	before := a.nanoseconds.Load()
	if before == 0 {
		before = int64(taken)
	}
	a.nanoseconds.Store(before + int64(latencyWeight*float64(int64(taken)-before)))
}

// average returns the average, or defaultOpeningTime if there is none.
func (a *averageTime) average() time.Duration {
	return cmp.Or(time.Duration(a.nanoseconds.Load()), defaultOpeningTime)
}
