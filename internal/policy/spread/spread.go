// Package spread decides which target of a group a read tries first.
//
// It answers the load of reads that several targets may serve: each goes where it is expected to be answered first,
// and leaves its own availability zone only when that is faster by more than ZonePreference.
package spread

import (
	"cmp"
	"slices"
	"time"
)

const (
	// ZonePreference is the time that a read may wait longer for a target in its own zone: traffic between
	// zones is charged for.
	ZonePreference = 40 * time.Millisecond
	// PrimaryPreference is the time that a read may wait longer for a replica: the primary's slots are needed for
	// what only it can do.
	PrimaryPreference = 15 * time.Millisecond
)

// Candidate is a target that may serve a read.
type Candidate struct {
	Name string
	// SameZone is true in the daemon's own availability zone.
	SameZone bool
	// Primary is true when the target is believed to lead.
	Primary bool
	// Busy is the number of statements that this daemon runs or queues there.
	Busy int
	// Slots is the number of statements that the target runs at once.
	Slots int
	// Service is the time that a statement takes there.
	Service time.Duration
	// Doubtful is true when the target failed a moment ago.
	Doubtful bool
	// Behind is true when the target is not known to hold the floor of the read.
	Behind bool
}

// expected is the time in which the candidate is expected to answer one more statement, with preferences.
func (c Candidate) expected() time.Duration {
	cost := c.Service * time.Duration(c.Slots+c.Busy) / time.Duration(max(1, c.Slots))
	if !c.SameZone {
		cost += ZonePreference
	}
	if c.Primary {
		cost += PrimaryPreference
	}
	return cost
}

// rank puts targets that would refuse or fail the read last.
func (c Candidate) rank() int {
	switch {
	case c.Doubtful:
		return 2
	case c.Behind:
		return 1
	}
	return 0
}

// Order sorts candidates, the best first.
func Order(candidates []Candidate) {
	slices.SortStableFunc(candidates, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(a.rank(), b.rank()), cmp.Compare(a.expected(), b.expected()), cmp.Compare(a.Name, b.Name))
	})
}
