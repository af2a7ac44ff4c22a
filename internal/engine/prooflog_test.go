package engine

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/papayacove/papayacove/internal/clock"
	"github.com/papayacove/papayacove/internal/logevent"
	"github.com/papayacove/papayacove/internal/policy/leadership"
	"github.com/papayacove/papayacove/internal/telemetry"
)

// TestProofEventsAreBounded reads within proofs of two replicas in turn, which must not write a line for each read.
func TestProofEventsAreBounded(t *testing.T) {
	g := newTestGroup(&fakeTarget{})
	g.proofLog.limiter, g.proofLog.nextAt = telemetry.NewLimiter(), nil
	m, now := g.members["a"], clock.SinceBoot()
	for range 100 {
		for _, replica := range []string{"b", "c"} {
			now += time.Millisecond
			g.mu.Lock()
			g.recordProof(proofOrigin{proofOfStatus, replica}, now)
			g.mu.Unlock()
			if !g.awaitProof(m, 1, now, time.Now().Add(time.Second)) {
				t.Fatal("got no proof, want the one that was recorded")
			}
		}
	}
	if first := (proofOrigin{proofOfStatus, "b"}); g.proofLog.served != first {
		t.Errorf("within a second after the first read: got a line about %+v, want the last one about %+v", g.proofLog.served, first)
	}
	logged := slices.Sorted(maps.Keys(g.proofLog.nextAt))
	if want := []string{logevent.ProofOfNewTarget, logevent.ProofSourceChanged}; !slices.Equal(logged, want) {
		t.Errorf("got events %v, want %v", logged, want)
	}
}

// TestLapseOfProofsIsLogged records a proof after the last one has lapsed.
func TestLapseOfProofsIsLogged(t *testing.T) {
	g := newTestGroup(&fakeTarget{})
	g.proofLog.limiter = telemetry.NewLimiter()
	g.provenUntil = clock.SinceBoot() - time.Millisecond
	g.recordProof(proofOrigin{proofOfHolder, "a"}, clock.SinceBoot()-leadership.ProofValidity/2)
	if _, logged := g.proofLog.nextAt[logevent.ProofReturned]; !logged {
		t.Errorf("got no %s, want one", logevent.ProofReturned)
	}
}
