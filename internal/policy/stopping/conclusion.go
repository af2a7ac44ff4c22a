package stopping

import "github.com/papayacove/papayacove/internal/result"

// Progress says how far a statement has come when the daemon stops waiting for it.
type Progress struct {
	// RollsBack is true for a statement that rolls its transaction back.
	RollsBack bool
	// InTransaction is true if the statement arrived in an open transaction.
	InTransaction bool
	// Sent is true if a target may have the statement, or may have run it in an earlier attempt.
	Sent bool
	// Commits is true if a write is committed when a target runs the statement.
	Commits bool
}

// Conclusion returns the code of the final answer to a statement, OK for success. It is true as long as the statement
// is sent to no target after it, and the connection of its transaction is closed.
func Conclusion(p Progress) result.Code {
	switch {
	case p.Sent && p.Commits:
		return result.OutcomeUnknown
	case p.InTransaction && p.RollsBack:
		return result.OK
	case p.InTransaction:
		return result.TransactionLost
	case p.Sent:
		return result.StatementTimeout
	}
	return result.NotRunDraining
}
