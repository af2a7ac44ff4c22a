package stopping

import (
	"testing"

	"github.com/papayacove/papayacove/internal/result"
)

// TestConclusionsAreTrue guards against a final answer that promises more than is known of the statement.
func TestConclusionsAreTrue(t *testing.T) {
	for _, c := range []struct {
		what string
		p    Progress
		want result.Code
	}{
		{"single statement in a queue", Progress{}, result.NotRunDraining},
		{"single write in a queue", Progress{Commits: true}, result.NotRunDraining},
		{"single read at a target", Progress{Sent: true}, result.StatementTimeout},
		{"single write at a target", Progress{Sent: true, Commits: true}, result.OutcomeUnknown},
		{"statement of a transaction at its target", Progress{InTransaction: true, Sent: true}, result.TransactionLost},
		{"first statement of a transaction in a queue", Progress{InTransaction: true}, result.TransactionLost},
		{"commit of writes at a target", Progress{InTransaction: true, Sent: true, Commits: true}, result.OutcomeUnknown},
		{"commit of writes, not sent", Progress{InTransaction: true, Commits: true}, result.TransactionLost},
		{"commit without writes at a target", Progress{InTransaction: true, Sent: true}, result.TransactionLost},
		{"rollback at a target", Progress{InTransaction: true, RollsBack: true, Sent: true}, result.OK},
		{"rollback outside of transactions", Progress{RollsBack: true}, result.NotRunDraining},
	} {
		if got := Conclusion(c.p); got != c.want {
			t.Errorf("%s: got %v, want %v", c.what, got, c.want)
		}
	}
	for bits := range 16 {
		p := Progress{RollsBack: bits&1 > 0, InTransaction: bits&2 > 0, Sent: bits&4 > 0, Commits: bits&8 > 0}
		if got := Conclusion(p); p.Sent && p.Commits && got != result.OutcomeUnknown || p.Sent && !p.InTransaction && got.IsNotRun() {
			t.Errorf("%+v: got %v, which promises that nothing is kept", p, got)
		}
	}
}
