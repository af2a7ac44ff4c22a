package engine

import (
	"testing"
	"time"

	"github.com/papayacove/papayacove/internal/clock"
)

// TestTermOfTheRecordIsSettledAgain guards against a record that states no term for good: a promotion with an unknown
// outcome and a restored store take it away while the term stays.
func TestTermOfTheRecordIsSettledAgain(t *testing.T) {
	for sinceLast, want := range map[time.Duration]bool{settleInterval: false, time.Minute: true} {
		g := newTestGroup(&fakeTarget{})
		now := clock.SinceBoot()
		g.judgeRank, g.proofUsedAt, g.provenUntil = 0, now, now+time.Second
		g.recordReads.settled, g.recordReads.settlingAt = g.term, now-sinceLast
		if got := g.beginSettling(); got != want {
			t.Errorf("%s after the record stated the term: got another look %t, want %t", sinceLast, got, want)
		}
	}
}
