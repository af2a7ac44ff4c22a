package currency

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const bound = 5 * time.Second

func TestProofEndsBeforeTheBound(t *testing.T) {
	var p Proof
	if p.IsCurrent(time.Hour, bound) || p.IsCurrent(0, bound) {
		t.Error("no proof: got current, want not")
	}
	if !p.IsCurrent(time.Hour, 0) {
		t.Error("no proof and no bound: got not current, want current")
	}
	p.Record(time.Minute)
	for age, want := range map[time.Duration]bool{0: true, bound - sendReserve - 1: true, bound - sendReserve: false, bound: false, time.Hour: false} {
		if got := p.IsCurrent(time.Minute+age, bound); got != want {
			t.Errorf("proof of %s ago: got current %t, want %t", age, got, want)
		}
	}
}

// TestStatementsRunWithinTheBound withdraws a key at a random time, with proofs recorded in any order: none that was sent
// before the withdrawal lets a statement be sent later than the bound after it.
func TestStatementsRunWithinTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		withdrawn := time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "withdrawn"))
		var p Proof
		for range rapid.IntRange(0, 10).Draw(t, "proofs") {
			p.Record(withdrawn - time.Duration(rapid.Int64Range(1, int64(time.Minute)).Draw(t, "before")))
		}
		now := withdrawn + bound + time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "after"))
		if p.IsCurrent(now, bound) {
			t.Fatalf("a statement may be sent %s after the withdrawal", now-withdrawn)
		}
	})
}
