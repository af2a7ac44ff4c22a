package quota

import (
	"slices"
	"time"

	"github.com/papayacove/papayacove/internal/policy/placement"
)

const (
	// keepDaemonFor is the time for which a daemon counts after it was listed last. It may be cut off and still spend.
	keepDaemonFor = 5 * time.Minute
	// surrenderAfter is the time without a write of its own entry after which a daemon gives up its rights: others may
	// have removed it from their count after keepDaemonFor.
	surrenderAfter = keepDaemonFor
	// candidates is the number of daemons that may coordinate a lane.
	candidates = 4
	// orderKey is what the order of the coordinators depends on. It is that of the version before, so that versions which run
	// side by side have the first coordinators in common, and the rights of all serve the callers of all.
	orderKey = "quota/0"
)

// Registration is what a daemon knows of its own entry in the registry of daemons.
type Registration struct {
	// IsListed is true if the registry lists the daemon for others: from an earlier start, or for so long that they have
	// certainly read it.
	IsListed bool
	// WrittenAt is the time of the boot clock at which the entry was written last; 0 for never.
	WrittenAt time.Duration
}

// Fleet decides the part of each limit that a daemon owns. It is not safe for concurrent use.
type Fleet struct {
	name     string
	listedAt map[string]time.Duration
	members  []placement.Member
	// zones holds the zone of each daemon that counts, lanes its lane.
	zones map[string]string
	lanes map[string]int
}

// NewFleet returns the fleet of a daemon that has not listed any.
func NewFleet(name string) *Fleet {
	return &Fleet{name: name, listedAt: make(map[string]time.Duration), zones: make(map[string]string)}
}

// Observe takes in a list of the daemons that are present.
func (f *Fleet) Observe(members []placement.Member, now time.Duration) {
	f.members = members
	for _, m := range members {
		f.listedAt[m.Name] = now
		f.zones[m.Name] = m.Zone
	}
	for name, at := range f.listedAt {
		if now-at > keepDaemonFor {
			delete(f.listedAt, name)
			delete(f.zones, name)
		}
	}
	f.lanes = lanesOf(f.zones)
}

// Daemons returns the number of daemons that count.
func (f *Fleet) Daemons() int { return len(f.listedAt) }

// Weight returns the part of each limit that this daemon owns.
func (f *Fleet) Weight(r Registration, now time.Duration) float64 {
	if len(f.listedAt) == 0 || !r.IsListed || now-r.WrittenAt > surrenderAfter {
		return 0
	}
	return 1 / float64(len(f.listedAt))
}

// Orders returns the daemons that coordinate each lane, in their order. There are none for a single daemon. The candidates
// of a lane are daemons of the lane, so that a zone that is cut off keeps its rights and takes no others along.
func (f *Fleet) Orders() [Lanes][]string {
	var orders [Lanes][]string
	if len(f.members) < 2 {
		return orders
	}
	for _, m := range f.candidateOrder() {
		if lane := f.lanes[m.Name]; len(orders[lane]) < candidates {
			orders[lane] = append(orders[lane], m.Name)
		}
	}
	return orders
}

// candidateOrder returns the members that do not leave in the order in which they become candidates.
func (f *Fleet) candidateOrder() []placement.Member {
	staying := slices.DeleteFunc(slices.Clone(f.members), func(m placement.Member) bool { return m.Leaving })
	return placement.SpreadOrder(orderKey, staying)
}

// EarlierCandidates returns the daemons that may coordinate by the rules before LendingRules. Those lent a third of the rights
// to each lane, and the candidates of a lane were in different zones.
func (f *Fleet) EarlierCandidates() []string {
	rest := f.candidateOrder()
	var lanes [Lanes][]string
	for range candidates {
		for lane := range Lanes {
			if len(rest) == 0 {
				break
			}
			next := f.fewestOfZone(rest, lanes[lane])
			lanes[lane] = append(lanes[lane], rest[next].Name)
			rest = slices.Delete(rest, next, next+1)
		}
	}
	return slices.Concat(lanes[:]...)
}

// fewestOfZone returns the index of the first member in a zone that the chosen daemons have the fewest of.
func (f *Fleet) fewestOfZone(members []placement.Member, chosen []string) int {
	inZone := make(map[string]int)
	for _, name := range chosen {
		inZone[f.zones[name]]++
	}
	best := 0
	for i, m := range members {
		if inZone[m.Zone] < inZone[members[best].Zone] {
			best = i
		}
	}
	return best
}

// LaneWeights returns the part of all rights that the daemons of each lane lend.
func (f *Fleet) LaneWeights() [Lanes]float64 {
	var weights [Lanes]float64
	weight := 1 / float64(len(f.lanes))
	for _, lane := range f.lanes {
		for i, fraction := range fractionsOf(weight, lane) {
			weights[i] += weight * fraction
		}
	}
	return weights
}

// Home returns the lane of this daemon; 0 before it is listed.
func (f *Fleet) Home() int { return f.lanes[f.name] }
