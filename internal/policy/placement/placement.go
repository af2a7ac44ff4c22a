// Package placement decides which daemon holds a role, by rendezvous hashing over the members.
//
// Equal views of the membership give equal answers on every daemon, and a change of one member
// moves only the roles of that member.
package placement

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"
)

// Member is one daemon that may hold roles.
type Member struct {
	Name string
	// Zone is the availability zone of the daemon.
	Zone string
	// Leaving is true while the daemon shuts down.
	Leaving bool
}

// Reason says why a member was chosen as holder.
type Reason string

// The reasons of a HolderDecision.
const (
	ReasonSameZone    Reason = "same_zone"
	ReasonOtherZone   Reason = "other_zone"
	ReasonOnlyLeaving Reason = "only_leaving"
	ReasonNoMembers   Reason = "no_members"
)

// HolderDecision is the choice of the daemon that holds a target.
type HolderDecision struct {
	Target string
	Holder Member
	// Found is false when there are no members.
	Found  bool
	Reason Reason
	// Members is the number of members considered.
	Members int
}

// Fields returns the fields of the log line of the decision.
func (d HolderDecision) Fields() logrus.Fields {
	return logrus.Fields{
		"target":  d.Target,
		"holder":  d.Holder.Name,
		"zone":    d.Holder.Zone,
		"reason":  string(d.Reason),
		"members": d.Members,
	}
}

// preference ranks the reasons to choose a member; higher ones win before the hash is compared.
type preference int

const (
	preferNone preference = iota
	preferLeaving
	preferOtherZone
	preferSameZone
)

var reasonByPreference = [...]Reason{
	preferNone:      ReasonNoMembers,
	preferLeaving:   ReasonOnlyLeaving,
	preferOtherZone: ReasonOtherZone,
	preferSameZone:  ReasonSameZone,
}

// Holder returns the daemon that holds a target; false when there are no members.
func Holder(targetName, targetZone string, members []Member) (Member, bool) {
	d := DecideHolder(targetName, targetZone, members)
	return d.Holder, d.Found
}

// DecideHolder chooses the daemon that holds a target. Members in the availability zone of the
// target come first, then those of other zones, and leaving members only when nobody else lives.
func DecideHolder(targetName, targetZone string, members []Member) HolderDecision {
	key := xxhash.Sum64String(targetName)
	var best Member
	var bestScore uint64
	bestPreference := preferNone
	for _, m := range members {
		p := preferenceOf(m, targetZone)
		if p < bestPreference {
			continue
		}
		s := score(key, m.Name)
		if p == bestPreference && !precedes(s, m.Name, bestScore, best.Name) {
			continue
		}
		best, bestScore, bestPreference = m, s, p
	}
	return HolderDecision{
		Target:  targetName,
		Holder:  best,
		Found:   bestPreference != preferNone,
		Reason:  reasonByPreference[bestPreference],
		Members: len(members),
	}
}

func preferenceOf(m Member, zone string) preference {
	switch {
	case m.Leaving:
		return preferLeaving
	case m.Zone == zone:
		return preferSameZone
	default:
		return preferOtherZone
	}
}

// Order returns the members in rendezvous order for key, leaving members after all others.
func Order(key string, members []Member) []Member {
	type scored struct {
		member Member
		score  uint64
	}
	keyHash := xxhash.Sum64String(key)
	ranked := make([]scored, len(members))
	for i, m := range members {
		ranked[i] = scored{member: m, score: score(keyHash, m.Name)}
	}
	slices.SortFunc(ranked, func(a, b scored) int {
		if a.member.Leaving != b.member.Leaving {
			return compareLeaving(a.member, b.member)
		}
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.member.Name, b.member.Name))
	})
	ordered := make([]Member, len(ranked))
	for i, r := range ranked {
		ordered[i] = r.member
	}
	return ordered
}

// Candidates returns the first n members in the rendezvous order of a group.
func Candidates(group string, members []Member, n int) []Member {
	ordered := Order(group, members)
	return ordered[:max(0, min(n, len(ordered)))]
}

func compareLeaving(a, b Member) int {
	if a.Leaving && !b.Leaving {
		return 1
	}
	return -1
}

// precedes orders members by score and, where two scores are equal, by name.
func precedes(score uint64, name string, otherScore uint64, otherName string) bool {
	if score != otherScore {
		return score > otherScore
	}
	return name < otherName
}

func score(key uint64, member string) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(key)
	_, _ = d.WriteString(member)
	return d.Sum64()
}
