package engine

import (
	"testing"
	"time"

	"github.com/papayacove/papayacove/internal/result"
)

// TestLostTransactionsKeepNoLocks guards against a transaction that its sender has lost and its holder keeps open, because
// the connection between them is open still.
func TestLostTransactionsKeepNoLocks(t *testing.T) {
	for name, lost := range map[string]requestFate{"no answer": answerLate, "not reached": notReached} {
		for _, op := range []Operation{OpWrite, OpCommit, OpRollback} {
			w := newPinnedWorld(true, 10*time.Second)
			c := w.open("a")
			w.step(c, OpBegin)
			if code := w.step(c, OpWrite); code != result.OK {
				t.Fatalf("a write before: got %s, want success", code)
			}
			w.fate = lost
			w.step(c, op)
			if open := w.network.engines["daemon-1"].relayed.Load(); open != 0 {
				t.Errorf("%s, %s: got %d open transactions at the holder, want none", op, name, open)
			}
			w.close(c)
			w.failOnBreach(t)
		}
	}
}
