// Package holding decides how daemons share the connections of a target.
//
// A target is held by one daemon, with two standbys: the others send their statements to the holder, which has the
// connections and sees the whole load of the target. It keeps as many statements at the target as its slots take, and the
// rest wait where urgent ones can pass others, rather than in the target's own queue, which serves in the order of
// arrival, or as attempts that the target refuses. The loads that this answers are that of a target that is short, for
// example a primary whose replicas lag, so that all reads of the group go to it; that of many daemons whose statements meet
// at few slots; and that of transactions that rest on a connection between their statements.
//
// Nothing depends on the holder being unique: two daemons that both hold a target have room for both up to the limit of
// the target, and beyond it the target refuses connections.
package holding

// Limits are what the share of a daemon depends on.
type Limits struct {
	// Connections is the number of connections that all daemons together may open to the target; 0 for no limit.
	Connections int
	// Slots is the number of statements that the target runs concurrently; 0 when it is not known.
	Slots int
	// Daemons is the number of daemons.
	Daemons int
}

const (
	// statementsPerSlot is the number of statements that a holder keeps at the target for each slot. The second one
	// waits in the target's own queue, so that the slot does not stay free until the holder has sent the next.
	statementsPerSlot = 2
	// heldShareNumerator / heldShareDenominator is the share of a target's connections that a holder may open. The
	// rest is for the standby, orders to the target and daemons that reach neither holder.
	heldShareNumerator   = 3
	heldShareDenominator = 5
	// Holders is the number of daemons that a statement may be sent to: the holder, and two standbys for when daemons and
	// targets are partitioned from each other.
	Holders = 3
)

// NeedsHolders reports whether the target is used through holders: when several daemons share its connections.
func NeedsHolders(l Limits) bool { return l.Connections > 0 && l.Daemons > 1 }

// Share is what a holder may use of a target.
type Share struct {
	// Connections is the number of connections.
	Connections int
	// Statements is the number of statements that run at the target or wait in its own queue.
	Statements int
	// Transactions is the number of open transactions. Each keeps a connection between its statements, so that they
	// leave enough connections for Statements.
	Transactions int
}

// HolderShare returns the share of a holder.
func HolderShare(l Limits) Share {
	connections := max(1, l.Connections*heldShareNumerator/heldShareDenominator)
	statements := max(1, min(statementsPerSlot*max(1, l.Slots), connections-1))
	return Share{Connections: connections, Statements: statements, Transactions: max(1, connections-statements)}
}
