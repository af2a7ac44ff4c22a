package placement

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

func drawMembersWithLeaving(t *rapid.T) []Member {
	var members []Member
	for i := range rapid.IntRange(1, 40).Draw(t, "members") {
		members = append(members, Member{
			Name: fmt.Sprintf("daemon-%d", i), Zone: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "zone"),
			Leaving: rapid.IntRange(0, 9).Draw(t, "leaving") == 0,
		})
	}
	return members
}

// TestHolderOrderBeginsWithTheHolder checks that the order begins with the holder that DecideHolder chooses, has no
// leaving member, and that the standby becomes the holder when the holder leaves.
func TestHolderOrderBeginsWithTheHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := drawMembersWithLeaving(t)
		order := HolderOrder("target", "a", members, len(members))
		if len(order) == 0 {
			return
		}
		if holder, _ := Holder("target", "a", members); holder.Name != order[0].Name {
			t.Fatalf("got first %s, want the holder %s", order[0].Name, holder.Name)
		}
		for i := range members {
			members[i].Leaving = members[i].Leaving || members[i].Name == order[0].Name
		}
		next := HolderOrder("target", "a", members, len(members))
		if len(order) > 1 && next[0].Name != order[1].Name {
			t.Fatalf("after the holder has left: got holder %s, want the standby %s", next[0].Name, order[1].Name)
		}
	})
}

// TestSpreadOrderBeginsInDifferentZones checks that the order holds each member once, and begins with one member of
// each zone.
func TestSpreadOrderBeginsInDifferentZones(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := drawMembersWithLeaving(t)
		order := SpreadOrder("group", members)
		zones, names := map[string]bool{}, map[string]bool{}
		for _, m := range members {
			zones[m.Zone] = true
		}
		first := map[string]bool{}
		for i, m := range order {
			names[m.Name] = true
			if i < len(zones) {
				first[m.Zone] = true
			}
		}
		if len(names) != len(members) || len(order) != len(members) || len(first) != len(zones) {
			t.Fatalf("got %d of %d members, and %d of %d zones among the first", len(names), len(members), len(first), len(zones))
		}
	})
}
