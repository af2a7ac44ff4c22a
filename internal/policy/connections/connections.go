// Package connections decides which connections to a target are kept and for which workspaces.
//
// A connection is opened in the name of one workspace and serves no other. The load that this answers is a target with
// more workspaces than connections, where opening one takes about as long as a statement: a few workspaces use several
// connections at once, many use one now and then, and one may ask many times its usual.
//
// A connection is kept as long as its expected use is above that of the connection that another workspace needs: the
// n-th connection of a workspace is worth the rate at which the workspace had n in use at once. The cost of opening is
// the same for all, so that the least expected use is also the least expected cost. A statement that needs a connection
// never waits while an unused one of another workspace exists: that one is closed for it at once.
package connections

import "time"

// Action is what a statement that may use a connection does for one.
type Action uint8

// The actions.
const (
	// Reuse takes an idle connection of the workspace.
	Reuse Action = iota
	// Open opens a connection.
	Open
	// Evict closes an idle connection of another workspace and opens one in its place.
	Evict
	// Await waits until a connection is returned or closed.
	Await
)

// Reason says why no connection of the workspace could be used again.
type Reason string

// The reasons of Open and Evict.
const (
	// ReasonFirst means that the workspace had no connection.
	ReasonFirst Reason = "first"
	// ReasonAllInUse means that all connections of the workspace were in use.
	ReasonAllInUse Reason = "all_in_use"
)

// Idle is an unused connection.
type Idle struct {
	Workspace string
	// Since is the time at which it was last used.
	Since time.Time
}

// State is the state of the connections to a target when a statement needs one.
type State struct {
	// Idle are the unused connections.
	Idle []Idle
	// Busy is the number of connections in use, being opened or being closed.
	Busy int
	// Limit is the number of connections that may exist now, and MayGrow reports whether it may be raised.
	Limit   int
	MayGrow bool
}

// Decision is what a statement does for a connection, and the figures that it was based on.
type Decision struct {
	Action Action
	// Reason is set for Open and Evict.
	Reason Reason
	// Grow is true when Open needs a higher limit.
	Grow bool
	// Victim is the index in State.Idle of the connection to close, for Evict.
	Victim int
	// ExpectedUse is the expected use of the victim, per second.
	ExpectedUse float64
}

// Choose decides what a statement of the workspace does. Together with what it opens there are never more connections
// than the limit.
func (u *Usage) Choose(workspace string, s State, now time.Time) Decision {
	for _, idle := range s.Idle {
		if idle.Workspace == workspace {
			return Decision{Action: Reuse}
		}
	}
	reason := ReasonFirst
	if u.InUse(workspace) > 0 {
		reason = ReasonAllInUse
	}
	switch {
	case len(s.Idle)+s.Busy < s.Limit:
		return Decision{Action: Open, Reason: reason}
	case s.MayGrow:
		return Decision{Action: Open, Reason: reason, Grow: true}
	case len(s.Idle) == 0:
		return Decision{Action: Await}
	}
	victim, expected := u.LeastExpected(s.Idle, now)
	return Decision{Action: Evict, Reason: reason, Victim: victim, ExpectedUse: expected}
}

// LeastExpected returns the index of the idle connection that is least expected to be used, and its expected use per
// second. Of equal ones it returns the one unused for the longest time. There must be an idle connection.
func (u *Usage) LeastExpected(idle []Idle, now time.Time) (int, float64) {
	owned := u.owned(idle)
	least, expected := 0, u.Expected(idle[0].Workspace, owned[idle[0].Workspace], now)
	for i, c := range idle[1:] {
		e := u.Expected(c.Workspace, owned[c.Workspace], now)
		if e < expected || e == expected && c.Since.Before(idle[least].Since) {
			least, expected = i+1, e
		}
	}
	return least, expected
}

// owned returns the number of connections of each workspace that has an idle one.
func (u *Usage) owned(idle []Idle) map[string]int {
	owned := make(map[string]int, len(idle))
	for _, c := range idle {
		if owned[c.Workspace] == 0 {
			owned[c.Workspace] = u.InUse(c.Workspace)
		}
		owned[c.Workspace]++
	}
	return owned
}

// minExpectedUse is the expected use per second above which an unused connection is kept: one use in a minute.
const minExpectedUse = 1.0 / 60

// Unwanted returns the indexes of the idle connections to close, the last first: those that have not been used for the idle
// timeout and, if keepsUsed is true, are not expected to be used soon. A target that this daemon has not used at all for
// that time is probably used through another daemon, which needs the connections.
func (u *Usage) Unwanted(idle []Idle, idleTimeout time.Duration, keepsUsed bool, now time.Time) []int {
	owned := u.owned(idle)
	keepsUsed = keepsUsed && now.Sub(u.lastUse) < idleTimeout
	var unwanted []int
	for i := len(idle) - 1; i >= 0; i-- {
		c := idle[i]
		if now.Sub(c.Since) < idleTimeout || keepsUsed && u.Expected(c.Workspace, owned[c.Workspace], now) >= minExpectedUse {
			continue
		}
		unwanted = append(unwanted, i)
		owned[c.Workspace]--
	}
	return unwanted
}

// MaxTransactions returns how many of the given number of open transactions one workspace may have: transactions keep
// their connections while they rest, so that one workspace must not have all.
func MaxTransactions(transactions int) int {
	return max(1, transactions/transactionsDivisor)
}

// transactionsDivisor bounds the open transactions of one workspace: the limit of all divided by it.
const transactionsDivisor = 2
