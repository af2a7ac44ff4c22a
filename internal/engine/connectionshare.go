package engine

import "time"

const (
	// defaultConnectionShare is the number of connections that a daemon may open to each target of a group without
	// a limit.
	defaultConnectionShare = 16
	// borrowDivisor bounds the connections that one daemon may borrow: up to the target's limit divided by it.
	borrowDivisor = 2
	// reservedForControl is the number of connections of each daemon to each target that are set aside for status
	// calls and orders.
	reservedForControl = 1
	// scarceIdleTimeout is the time after which a daemon closes an unused connection when a target has too few
	// connections for all daemons. It is not zero because a session often sends its next statement at once.
	scarceIdleTimeout = 20 * time.Millisecond
	// fallbackIdleTimeout is the time after which a daemon closes an unused connection to a target that another daemon
	// holds.
	fallbackIdleTimeout = 300 * time.Millisecond
)

// fallbackShare is the share of a daemon that uses a target through its holder, for the time in which it reaches none, and
// of one that does not know the number of daemons yet: many start at once after a loss of power.
var fallbackShare = connectionShare{guaranteed: 1, ceiling: 2, idleTimeout: fallbackIdleTimeout}

// connectionShare is the part of the connections of each target of a group that one daemon may open.
type connectionShare struct {
	// guaranteed is the number of connections that the daemon may always open, ceiling the number up to which it
	// may borrow more: callers load the daemons unevenly.
	guaranteed int
	ceiling    int
	// idleTimeout is the time after which an unused connection is closed; 0 for never. It is set when a target has
	// too few connections for all daemons, so that they take turns.
	idleTimeout time.Duration
	// keepsUsed is true when connections of workspaces are kept beyond idleTimeout that are expected to be used again.
	keepsUsed bool
	// whenFull bounds the connections of workspaces that the daemon keeps at a target that accepts no further one; 0 for
	// no bound.
	whenFull int
}

// divideConnections returns the share of one daemon when a group's limits are divided among the given number of
// daemons.
func divideConnections(limits GroupLimits, daemons int) connectionShare {
	if limits.MaxConnections <= 0 {
		return connectionShare{guaranteed: defaultConnectionShare, ceiling: defaultConnectionShare}
	}
	perDaemon := limits.MaxConnections / daemons
	share := connectionShare{guaranteed: max(1, perDaemon-reservedForControl)}
	share.ceiling = max(share.guaranteed, limits.MaxConnections/borrowDivisor)
	if perDaemon <= reservedForControl {
		share.idleTimeout = scarceIdleTimeout
	}
	return share
}
