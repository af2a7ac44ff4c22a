package placement

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// hashedMember is a member with the hash of its name.
type hashedMember struct {
	member Member
	hash   uint64
}

// View is an immutable view of the membership, prepared for many decisions. It is safe for concurrent use.
type View struct {
	members []hashedMember
	// zones maps an availability zone to its members that are not leaving.
	zones map[string][]hashedMember
}

// NewView returns a view of members, which it copies.
func NewView(members []Member) *View {
	v := &View{members: make([]hashedMember, len(members)), zones: make(map[string][]hashedMember)}
	for i, m := range members {
		v.members[i] = hashedMember{member: m, hash: xxhash.Sum64String(m.Name)}
		if !m.Leaving {
			v.zones[m.Zone] = append(v.zones[m.Zone], v.members[i])
		}
	}
	return v
}

// DecideHolder makes the same decision as the function DecideHolder.
func (v *View) DecideHolder(targetName, targetZone string) HolderDecision {
	considered := v.members
	if inZone := v.zones[targetZone]; len(inZone) > 0 {
		considered = inZone
	}
	var best choice
	key := xxhash.Sum64String(targetName)
	for i := range considered {
		best.consider(key, targetZone, &considered[i].member, considered[i].hash)
	}
	return best.decision(targetName, len(v.members))
}

// Candidates returns the first n members in the rendezvous order of a group, leaving members
// after all others.
func (v *View) Candidates(group string, n int) []Member {
	n = max(0, min(n, len(v.members)))
	key := xxhash.Sum64String(group)
	ranked := make([]rank, 0, n+1)
	for i := range v.members {
		m := &v.members[i]
		r := rank{member: &m.member, score: score(key, m.hash)}
		if len(ranked) == n && (n == 0 || !r.precedes(ranked[n-1])) {
			continue
		}
		ranked = insert(ranked, r, n)
	}
	first := make([]Member, len(ranked))
	for i, r := range ranked {
		first[i] = *r.member
	}
	return first
}

// rank is the sort key of a member in a rendezvous order.
type rank struct {
	member *Member
	score  uint64
}

func (r rank) precedes(other rank) bool {
	if r.member.Leaving != other.member.Leaving {
		return other.member.Leaving
	}
	return precedes(r.score, r.member.Name, other.score, other.member.Name)
}

// insert adds r to the sorted slice ranked and returns the first n elements.
func insert(ranked []rank, r rank, n int) []rank {
	i, _ := slices.BinarySearchFunc(ranked, r, func(have, want rank) int {
		if have.precedes(want) {
			return -1
		}
		return 1
	})
	ranked = slices.Insert(ranked, i, r)
	return ranked[:min(n, len(ranked))]
}
