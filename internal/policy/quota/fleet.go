package quota

import (
	"fmt"
	"maps"
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
	// candidates is the number of daemons that may coordinate a share.
	candidates = 4
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
	// zones holds the zone of each member.
	zones map[string]string
}

// NewFleet returns the fleet of a daemon that has not listed any.
func NewFleet(name string) *Fleet {
	return &Fleet{name: name, listedAt: make(map[string]time.Duration)}
}

// Observe takes in a list of the daemons that are present.
func (f *Fleet) Observe(members []placement.Member, now time.Duration) {
	f.members, f.zones = members, make(map[string]string, len(members))
	for _, m := range members {
		f.listedAt[m.Name] = now
		f.zones[m.Name] = m.Zone
	}
	maps.DeleteFunc(f.listedAt, func(_ string, at time.Duration) bool { return now-at > keepDaemonFor })
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

// Orders returns the daemons that coordinate each share, in their order. The coordinators of a partition are in different
// zones. There are none for a single daemon.
func (f *Fleet) Orders() [Shares][]string {
	var orders [Shares][]string
	if len(f.members) < 2 {
		return orders
	}
	staying := slices.DeleteFunc(slices.Clone(f.members), func(m placement.Member) bool { return m.Leaving })
	for partition := range Partitions {
		rest := placement.SpreadOrder(fmt.Sprintf("quota/%d", partition), staying)
		for range candidates {
			for lane := range Lanes {
				rest = appendCandidate(&orders[partition*Lanes+lane], rest, f.zones)
			}
		}
	}
	return orders
}

// appendCandidate moves the first of the members to the order of a share, the first of a zone that the order has the fewest
// of. It returns the members that are left.
func appendCandidate(order *[]string, members []placement.Member, zones map[string]string) []placement.Member {
	if len(members) == 0 {
		return nil
	}
	inZone := make(map[string]int)
	for _, name := range *order {
		inZone[zones[name]]++
	}
	best := 0
	for i, m := range members {
		if inZone[m.Zone] < inZone[members[best].Zone] {
			best = i
		}
	}
	*order = append(*order, members[best].Name)
	return slices.Delete(members, best, best+1)
}

// Near returns the lane of each partition whose first coordinator is in the zone of this daemon; -1 for none.
func (f *Fleet) Near(orders [Shares][]string) [Partitions]int {
	near := noLanes()
	for i, order := range orders {
		if len(order) > 0 && near[i/Lanes] < 0 && f.zones[order[0]] == f.zones[f.name] {
			near[i/Lanes] = i % Lanes
		}
	}
	return near
}

// noLanes returns -1 for each partition.
func noLanes() [Partitions]int {
	var lanes [Partitions]int
	for i := range lanes {
		lanes[i] = -1
	}
	return lanes
}
