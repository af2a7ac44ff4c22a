package engine

import (
	"testing"
	"time"

	"github.com/papayacove/papayacove/internal/clock"
)

// TestProofFromBeforeTheArrivalCoversNoRead guards against reads at a replaced primary within a proof that ended before
// they arrived.
func TestProofFromBeforeTheArrivalCoversNoRead(t *testing.T) {
	for endsAfter, want := range map[time.Duration]bool{0: false, -time.Millisecond: false, time.Millisecond: true} {
		g := newTestGroup(&fakeTarget{})
		arrived := clock.SinceBoot()
		g.provenUntil = arrived + endsAfter
		if got := g.awaitProof(g.members["a"], 1, arrived, time.Now()); got != want {
			t.Errorf("proof that ends %s after the arrival: got the read covered %t, want %t", endsAfter, got, want)
		}
	}
}
