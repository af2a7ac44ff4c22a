// Package placement decides by rendezvous hashing over the members which daemon holds a role: which is the holder of a
// target, and which are the candidates for the work of a group. The holder of a target is the daemon that runs its
// gate.
//
// Daemons with equal views of the membership reach equal decisions. When one member joins or leaves, only the roles
// that it gains or loses move.
package placement

import (
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/papayacove/papayacove/internal/logfield"
)

// Member is one daemon that may hold roles.
type Member struct {
	Name string
	// Zone is the availability zone of the daemon.
	Zone string
	// Leaving is true while the daemon is shutting down.
	Leaving bool
	// Capacity is what the daemon may use of a processor, in thousandths of a core; 0 if it is not known.
	Capacity int
}

// Reason explains the choice of a holder.
type Reason string

// The reasons of a HolderDecision.
const (
	ReasonSameZone    Reason = "same_zone"
	ReasonOtherZone   Reason = "other_zone"
	ReasonOnlyLeaving Reason = "only_leaving"
	ReasonNoMembers   Reason = "no_members"
)

// HolderDecision is the choice of the holder of a target.
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
		logfield.Target:  d.Target,
		logfield.Holder:  d.Holder.Name,
		logfield.Zone:    d.Holder.Zone,
		logfield.Reason:  string(d.Reason),
		logfield.Members: d.Members,
	}
}

// preference ranks members before their hashes are compared; the highest wins.
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

// Holder returns the holder of a target; false when there are no members.
func Holder(targetName, targetZone string, members []Member) (Member, bool) {
	d := DecideHolder(targetName, targetZone, members)
	return d.Holder, d.Found
}

// DecideHolder chooses the holder of a target. Members in the availability zone of the target are
// preferred to those in other zones; a leaving member is chosen only if all members are leaving.
// For many targets on the same members, View.DecideHolder is faster.
func DecideHolder(targetName, targetZone string, members []Member) HolderDecision {
	var best choice
	key := xxhash.Sum64String(targetName)
	for i := range members {
		best.consider(key, targetZone, &members[i], xxhash.Sum64String(members[i].Name))
	}
	return best.decision(targetName, len(members))
}

// Order returns all members in rendezvous order for key, leaving members after all others.
func Order(key string, members []Member) []Member {
	return NewView(members).Candidates(key, len(members))
}

// Candidates returns the first n members in the rendezvous order of a group, leaving members after all others.
func Candidates(group string, members []Member, n int) []Member {
	return NewView(members).Candidates(group, n)
}

// choice is the best member for a target among those considered so far.
type choice struct {
	member     Member
	score      uint64
	preference preference
}

func (c *choice) consider(key uint64, zone string, m *Member, hash uint64) {
	p := preferenceOf(m, zone)
	if p < c.preference {
		return
	}
	s := score(key, hash)
	if p == c.preference && !precedes(s, m.Name, c.score, c.member.Name) {
		return
	}
	c.member, c.score, c.preference = *m, s, p
}

func (c *choice) decision(target string, members int) HolderDecision {
	return HolderDecision{
		Target:  target,
		Holder:  c.member,
		Found:   c.preference != preferNone,
		Reason:  reasonByPreference[c.preference],
		Members: members,
	}
}

func preferenceOf(m *Member, zone string) preference {
	switch {
	case m.Leaving:
		return preferLeaving
	case m.Zone == zone:
		return preferSameZone
	default:
		return preferOtherZone
	}
}

// precedes orders members by score and, where two scores are equal, by name.
func precedes(score uint64, name string, otherScore uint64, otherName string) bool {
	if score != otherScore {
		return score > otherScore
	}
	return name < otherName
}

// score mixes the hashes of a key and of a member with the finalizer of MurmurHash3.
func score(key, member uint64) uint64 {
	x := key ^ bits.RotateLeft64(member, 32)
	x = (x ^ x>>33) * 0xff51afd7ed558ccd
	x = (x ^ x>>33) * 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// HolderOrder returns the first n members that may hold a target, the holder first: the members in the availability
// zone of the target in weighted rendezvous order, then the others. Leaving members are not among them.
func HolderOrder(targetName, targetZone string, members []Member, n int) []Member {
	var inZone, others []Member
	for _, m := range weightedOrder(targetName, members) {
		switch {
		case m.Leaving:
		case m.Zone == targetZone:
			inZone = append(inZone, m)
		default:
			others = append(others, m)
		}
	}
	ordered := append(inZone, others...)
	return ordered[:min(n, len(ordered))]
}

// SpreadOrder returns all members in an order for key in which the first members of all availability zones come before
// the second ones, and so on, each in rendezvous order. The first few are therefore in different zones.
func SpreadOrder(key string, members []Member) []Member {
	var rounds [][]Member
	inZone := make(map[string]int)
	for _, m := range Order(key, members) {
		round := inZone[m.Zone]
		inZone[m.Zone]++
		if round == len(rounds) {
			rounds = append(rounds, nil)
		}
		rounds[round] = append(rounds[round], m)
	}
	return slices.Concat(rounds...)
}
