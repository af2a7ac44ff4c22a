package placement

import (
	"fmt"
	"math"
	"testing"
)

// unevenMembers returns a zone of two large and 25 small members.
func unevenMembers() []Member {
	var members []Member
	for i := range 27 {
		m := Member{Name: fmt.Sprintf("vm-%d", i), Zone: "z", Capacity: 192}
		if i < 2 {
			m.Capacity = 800
		}
		members = append(members, m)
	}
	return members
}

// holdersOf returns the holder of each of many targets.
func holdersOf(members []Member, targets int) []Member {
	holders := make([]Member, targets)
	for i := range holders {
		holders[i] = HolderOrder(fmt.Sprintf("target-%d", i), "z", members, 1)[0]
	}
	return holders
}

// TestHoldersFollowCapacity places many targets on VMs of uneven size. It guards against small VMs that hold as much as
// large ones.
func TestHoldersFollowCapacity(t *testing.T) {
	const targets = 20_000
	members := unevenMembers()
	held, total := make(map[string]int), 0
	for _, m := range members {
		total += m.Capacity
	}
	for _, h := range holdersOf(members, targets) {
		held[h.Name]++
	}
	for _, m := range members {
		want := float64(targets) * float64(m.Capacity) / float64(total)
		if got := float64(held[m.Name]); math.Abs(got-want) > want/4 {
			t.Errorf("%s of %d thousandths of a core: got %.0f targets held, want %.0f", m.Name, m.Capacity, got, want)
		}
	}
}

// TestJoinMovesOnlyWhatTheNewMemberHolds guards against a change of the list that moves targets between other VMs.
func TestJoinMovesOnlyWhatTheNewMemberHolds(t *testing.T) {
	members := unevenMembers()
	before := holdersOf(members, 2_000)
	after := holdersOf(append(members, Member{Name: "new", Zone: "z", Capacity: 400}), 2_000)
	moved := 0
	for i := range before {
		if before[i] == after[i] {
			continue
		}
		moved++
		if after[i].Name != "new" {
			t.Errorf("target %d moved from %s to %s, want it to stay or to go to the new VM", i, before[i].Name, after[i].Name)
		}
	}
	if moved == 0 {
		t.Error("the new VM holds nothing")
	}
}

// TestEqualCapacitiesKeepTheOrder guards against targets that move when daemons begin to tell their capacities.
func TestEqualCapacitiesKeepTheOrder(t *testing.T) {
	var unknown, known []Member
	for i := range 9 {
		m := Member{Name: fmt.Sprintf("vm-%d", i), Zone: "z"}
		unknown = append(unknown, m)
		m.Capacity = 600
		known = append(known, m)
	}
	for i := range 200 {
		target := fmt.Sprintf("target-%d", i)
		order, a, b := Order(target, unknown), HolderOrder(target, "z", unknown, 9), HolderOrder(target, "z", known, 9)
		for j := range order {
			if order[j].Name != a[j].Name || a[j].Name != b[j].Name {
				t.Fatalf("%s, place %d: got %s with unknown and %s with equal capacities, want %s", target, j, a[j].Name, b[j].Name, order[j].Name)
			}
		}
	}
}
