package engine

import "time"

const (
	// unboundedConnections is the share of a daemon when a group states no limit.
	unboundedConnections = 16
	// borrowDivisor bounds what one daemon uses of a target's connections.
	borrowDivisor = 2
	// controlConnections of each daemon to each target carry status calls and orders.
	controlConnections = 1
	// scarceKeep is the time for which a daemon keeps an unused connection when there are too few for all daemons: a
	// session often sends its next statement at once.
	scarceKeep = 20 * time.Millisecond
)

// allotment is what one daemon may use of the connections of each target of a group.
type allotment struct {
	// share is the number of connections that the daemon may always have, ceiling the number that it borrows up to:
	// callers press daemons unevenly.
	share   int
	ceiling int
	// keep is the time for which an unused connection is kept; 0 for no limit. It is set when a target has too few
	// connections for all daemons, so that they take turns.
	keep time.Duration
}

// allot divides the connections of a target among daemons.
func allot(limits GroupLimits, daemons int) allotment {
	if limits.MaxConnections <= 0 {
		return allotment{share: unboundedConnections, ceiling: unboundedConnections}
	}
	each := limits.MaxConnections / daemons
	a := allotment{share: max(1, each-controlConnections)}
	a.ceiling = max(a.share, limits.MaxConnections/borrowDivisor)
	if each <= controlConnections {
		a.keep = scarceKeep
	}
	return a
}
