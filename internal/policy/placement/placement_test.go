package placement

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func membersOf(n int) []Member {
	members := make([]Member, n)
	for i := range members {
		members[i] = Member{Name: fmt.Sprintf("entry-%d", i), Zone: fmt.Sprintf("zone-%d", i%3)}
	}
	return members
}

func drawMembers(t *rapid.T) []Member {
	members := membersOf(rapid.IntRange(1, 12).Draw(t, "members"))
	for i := range members {
		members[i].Leaving = rapid.IntRange(0, 4).Draw(t, "leaving") == 0
	}
	return members
}

func TestHolderPreferences(t *testing.T) {
	zoneMember := Member{Name: "in-zone", Zone: "wien-eins"}
	other := Member{Name: "elsewhere", Zone: "linz-hafen"}
	leaving := Member{Name: "leaving", Zone: "wien-eins", Leaving: true}
	cases := []struct {
		name    string
		members []Member
		want    Member
		found   bool
		reason  Reason
	}{
		{"no members", nil, Member{}, false, ReasonNoMembers},
		{"same zone before other zone", []Member{other, zoneMember, leaving}, zoneMember, true, ReasonSameZone},
		{"other zone before leaving in zone", []Member{leaving, other}, other, true, ReasonOtherZone},
		{"leaving when there is no other member", []Member{leaving}, leaving, true, ReasonOnlyLeaving},
	}
	for _, c := range cases {
		d := DecideHolder("target", "wien-eins", c.members)
		if d.Holder != c.want || d.Found != c.found || d.Reason != c.reason {
			t.Errorf("%s: got %+v, want the holder and reason of the case", c.name, d)
		}
	}
}

func TestEqualViewsGiveEqualDecisions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := drawMembers(t)
		shuffled := rapid.Permutation(members).Draw(t, "shuffled")
		if !slices.Equal(Order("key", members), Order("key", shuffled)) {
			t.Fatal("rendezvous order depends on the order of the members, want equal orders")
		}
		a, _ := Holder("target", "zone-1", members)
		b, _ := Holder("target", "zone-1", shuffled)
		if a != b {
			t.Fatalf("holder depends on the order of the members: got %v and %v, want equal holders", a, b)
		}
	})
}

func TestViewMatchesFunctions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := drawMembers(t)
		v := NewView(members)
		for i := range 20 {
			name := fmt.Sprintf("target-%d", i)
			if got, want := v.DecideHolder(name, "zone-1"), DecideHolder(name, "zone-1", members); got != want {
				t.Fatalf("got %v, want %v", got.Fields(), want.Fields())
			}
			n := rapid.IntRange(0, len(members)).Draw(t, "n")
			if !slices.Equal(v.Candidates(name, n), Order(name, members)[:n]) {
				t.Fatal("candidates differ from the first members of the rendezvous order")
			}
		}
	})
}

func TestOnlyRolesOfRemovedMemberMove(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := drawMembers(t)
		removed := rapid.IntRange(0, len(members)-1).Draw(t, "gone")
		rest := slices.Delete(slices.Clone(members), removed, removed+1)
		for i := range 20 {
			target := fmt.Sprintf("target-%d", i)
			before, _ := Holder(target, "zone-0", members)
			after, _ := Holder(target, "zone-0", rest)
			if before != members[removed] && before != after {
				t.Fatalf("%s moved from %s to %s when %s was removed, want no move", target, before.Name, after.Name, members[removed].Name)
			}
		}
	})
}

func TestBalance(t *testing.T) {
	const targets, daemons = 10000, 10
	held := map[string]int{}
	for i := range targets {
		m, _ := Holder(fmt.Sprintf("target-%d", i), "none", membersOf(daemons))
		held[m.Name]++
	}
	for name, n := range held {
		if n < targets/daemons*8/10 || n > targets/daemons*12/10 {
			t.Errorf("%s holds %d of %d targets, want within 20 %% of an equal share", name, n, targets)
		}
	}
}

func TestCandidates(t *testing.T) {
	members := membersOf(4)
	members[0].Leaving = true
	for n, want := range map[int]int{-1: 0, 0: 0, 2: 2, 9: 4} {
		if got := len(Candidates("group", members, n)); got != want {
			t.Errorf("n=%d: got %d candidates, want %d", n, got, want)
		}
	}
	if order := Order("group", members); order[3] != members[0] {
		t.Errorf("got order %v, want the leaving member last", order)
	}
}

func BenchmarkHolder(b *testing.B) {
	members := membersOf(1000)
	b.ReportAllocs()
	for b.Loop() {
		DecideHolder("target-17", "zone-1", members)
	}
}

func BenchmarkViewHolder(b *testing.B) {
	v := NewView(membersOf(1000))
	b.ReportAllocs()
	for b.Loop() {
		v.DecideHolder("target-17", "zone-1")
	}
}

func BenchmarkViewCandidates(b *testing.B) {
	v := NewView(membersOf(1000))
	b.ReportAllocs()
	for b.Loop() {
		v.Candidates("group-17", 3)
	}
}
