package placement

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// leastCapacity is the weight of a member whose capacity is not known, in thousandths of a core.
const leastCapacity = 1

// weightedOrder returns all members in weighted rendezvous order for key: of many keys, each member is first for a part in
// proportion to its capacity. When one member joins or leaves, only the keys that it gains or loses move. Members of equal
// capacity keep the order of Order.
//
// The load that this answers is that of VMs of uneven size, of which the small ones must not hold as much as the others.
func weightedOrder(key string, members []Member) []Member {
	type ranked struct {
		member Member
		weight float64
	}
	hash := xxhash.Sum64String(key)
	order := make([]ranked, len(members))
	for i, m := range members {
		order[i] = ranked{m, weightedScore(score(hash, xxhash.Sum64String(m.Name)), m.Capacity)}
	}
	slices.SortFunc(order, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.member.Name, b.member.Name))
	})
	result := make([]Member, len(order))
	for i, r := range order {
		result[i] = r.member
	}
	return result
}

// weightedScore turns a score, which is uniform over all numbers, into one with which a member is the highest of many with
// a probability in proportion to its capacity.
func weightedScore(score uint64, capacity int) float64 {
	uniform := (float64(score>>11) + 0.5) / (1 << 53)
	return float64(max(leastCapacity, capacity)) / -math.Log(uniform)
}
