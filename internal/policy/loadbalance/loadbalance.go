// Package loadbalance decides in which order a read tries the targets of a group.
//
// It distributes the reads that several targets may serve: each goes to the target that is expected to answer it
// first, and leaves the daemon's availability zone only when that is faster by more than ZonePreference.
package loadbalance

import (
	"cmp"
	"slices"
	"time"
)

const (
	// ZonePreference is the additional time that a read may take at a target in the daemon's own zone, because traffic
	// between zones is charged for.
	ZonePreference = 40 * time.Millisecond
	// PrimaryPreference is the additional time that a read may take at a replica, because the slots of the primary are
	// needed for the statements that only it can run.
	PrimaryPreference = 15 * time.Millisecond
)

// Candidate is a target that may serve a read.
type Candidate struct {
	Name string
	// SameZone is true when the target is in the daemon's own availability zone.
	SameZone bool
	// Primary is true when the target is the presumed primary.
	Primary bool
	// InFlight is the number of statements that this daemon runs or queues at the target.
	InFlight int
	// Slots is the number of statements that the target runs concurrently.
	Slots int
	// ServiceTime is the time that a statement takes at the target.
	ServiceTime time.Duration
	// RecentlyFailed is true when a request to the target failed recently.
	RecentlyFailed bool
	// Behind is true when the target is not known to hold the minimum position of the read.
	Behind bool
}

// expectedCost returns the time in which the candidate is expected to answer one more statement, plus the preferences
// that the candidate does not meet.
func (c Candidate) expectedCost() time.Duration {
	cost := c.ServiceTime * time.Duration(c.Slots+c.InFlight) / time.Duration(max(1, c.Slots))
	if !c.SameZone {
		cost += ZonePreference
	}
	if c.Primary {
		cost += PrimaryPreference
	}
	return cost
}

// rank is compared before the cost, so that targets that may refuse or fail the read are tried last: those that may
// lack the minimum position after all others, and those that recently failed after these.
func (c Candidate) rank() int {
	switch {
	case c.RecentlyFailed:
		return 2
	case c.Behind:
		return 1
	}
	return 0
}

// Order sorts candidates in place, best first.
func Order(candidates []Candidate) {
	slices.SortStableFunc(candidates, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(a.rank(), b.rank()), cmp.Compare(a.expectedCost(), b.expectedCost()), cmp.Compare(a.Name, b.Name))
	})
}
