// Package loadbalance decides in which order a read tries the targets of a group.
//
// It distributes the reads that several targets may serve: each goes to the target that is expected to answer it
// first, and leaves the daemon's availability zone only when that is faster by more than ZonePreference.
//
// Preferences compose as additional times that a read may take, so that each is outweighed by an expected wait: to stay in the
// zone (ZonePreference), then off the primary (PrimaryPreference), then at the target where the connections of its workspace
// are warm. The last is at most MaxWarmPreference, less than the two others, and decides only between targets that meet them
// alike: the reads of a workspace keep to few targets, and those of a hot one spread once they wait for each other. Targets
// that may lack the minimum position, failed recently, or are ejected (package targethealth), come
// after all others whatever they would cost.
package loadbalance

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// ZonePreference is the additional time that a read may take at a target in the daemon's own zone, because traffic
	// between zones is charged for.
	ZonePreference = 40 * time.Millisecond
	// PrimaryPreference is the additional time that a read may take at a replica, because the slots of the primary are
	// needed for the statements that only it can run.
	PrimaryPreference = 15 * time.Millisecond
	// MaxWarmPreference bounds the additional time that a read may take at a target where its workspace's connections are
	// warm.
	MaxWarmPreference = 14 * time.Millisecond
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
	// Ejected is true when the outcomes of statements say that the target is to be avoided.
	Ejected bool
	// Trial is true when the read is to show whether an ejected target serves again.
	Trial bool
	// Miss is the additional time that the read is expected to take because its workspace has no connection.
	Miss time.Duration
}

// expectedCost returns the time in which the candidate is expected to answer one more statement, plus the preferences
// that the candidate does not meet.
func (c Candidate) expectedCost() time.Duration {
	cost := c.ServiceTime * time.Duration(c.Slots+c.InFlight) / time.Duration(max(1, c.Slots))
	return cost + c.preferences() + c.Miss
}

// preferences returns the additional time for the preferences of zone and primary that the candidate does not meet.
func (c Candidate) preferences() time.Duration {
	cost := time.Duration(0)
	if !c.SameZone {
		cost += ZonePreference
	}
	if c.Primary {
		cost += PrimaryPreference
	}
	return cost
}

// PreferWarm sets the Miss of the candidates for a read of a workspace, given the time that the opening of a connection
// takes. Among the candidates that meet the other preferences best, one is warm: the first of the workspace's rendezvous
// order. Without a workspace all are alike.
func PreferWarm(candidates []Candidate, workspace string, opening time.Duration) {
	if workspace == "" {
		return
	}
	warm := -1
	for i, c := range candidates {
		if warm < 0 || comparePreference(c, candidates[warm], workspace) < 0 {
			warm = i
		}
	}
	for i := range candidates {
		if i != warm {
			candidates[i].Miss = min(opening, MaxWarmPreference)
		}
	}
}

// comparePreference compares the preference of a workspace for two candidates; negative if it prefers a.
func comparePreference(a, b Candidate, workspace string) int {
	hash := func(c Candidate) uint64 { return xxhash.Sum64String(workspace + "\x00" + c.Name) }
	return cmp.Or(cmp.Compare(a.preferences(), b.preferences()), cmp.Compare(hash(b), hash(a)))
}

// rank is compared before the cost, so that targets that may refuse or fail the read are tried last: those that may
// lack the minimum position after all others, those that recently failed after these, and ejected ones at the end. A trial
// comes first, so that it is made.
func (c Candidate) rank() int {
	switch {
	case c.Trial:
		return -1
	case c.Ejected:
		return 3
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
