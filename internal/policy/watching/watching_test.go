package watching

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// fleet returns n daemons in three zones.
func fleet(n int) []Daemon {
	daemons := make([]Daemon, n)
	for i := range daemons {
		zone := fmt.Sprintf("zone-%d", i%3)
		daemons[i] = Daemon{Name: fmt.Sprintf("daemon-%s-%d", zone, i), Zone: zone, Address: fmt.Sprintf("10.0.0.%d:1", i)}
	}
	return daemons
}

// watchersOf returns the names of the daemons that take the role of a watcher or standby.
func watchersOf(daemons []Daemon) []string {
	var names []string
	for _, d := range daemons {
		if role := Assign(d.Name, daemons, false).Role; role == RoleWatcher || role == RoleStandby {
			names = append(names, d.Name)
		}
	}
	return names
}

// byRole counts the daemons in a role.
func byRole(daemons []Daemon, role Role) int {
	count := 0
	for _, d := range daemons {
		if Assign(d.Name, daemons, false).Role == role {
			count++
		}
	}
	return count
}

// TestWatchersByNumberOfDaemons guards against calls to the store that grow with the daemons, and against a small
// deployment that depends on few of its daemons.
func TestWatchersByNumberOfDaemons(t *testing.T) {
	for n, want := range map[int]int{1: 0, 4: 0, 11: 0, 17: 0, 26: 3, 81: 3, 300: 6} {
		daemons := fleet(n)
		if watchers := byRole(daemons, RoleWatcher); watchers != want {
			t.Errorf("%d daemons: got %d watchers, want %d", n, watchers, want)
		}
		if standbys := byRole(daemons, RoleStandby); standbys != min(want, 3) {
			t.Errorf("%d daemons: got %d standbys, want %d", n, standbys, min(want, 3))
		}
		for _, d := range daemons {
			a := Assign(d.Name, daemons, false)
			if want == 0 && (a.Role != RoleDirect || len(a.Near)+len(a.Far) > 0) {
				t.Errorf("%d daemons: %s has role %s and %d to ask, want the store only", n, d.Name, a.Role, len(a.Near)+len(a.Far))
			}
			if near, far := want/3+1, (want/3+1)*2; want > 0 && a.Role == RoleReader && (len(a.Near) != near || len(a.Far) != far) {
				t.Errorf("%d daemons: reader %s asks %d near and %d far, want %d and %d", n, d.Name, len(a.Near), len(a.Far), near, far)
			}
		}
	}
}

// TestFewDaemonsAskEachOther expects that daemons which need proofs ask the others where all follow the store.
func TestFewDaemonsAskEachOther(t *testing.T) {
	a := Assign("daemon-zone-0-0", fleet(9), true)
	if a.Role != RoleDirect || len(a.Near) != 2 || len(a.Far) != 6 {
		t.Errorf("got role %s, %d near and %d far, want direct, 2 and 6", a.Role, len(a.Near), len(a.Far))
	}
}

// withRoles returns the watchers and standbys.
func withRoles(daemons []Daemon) []Daemon {
	watchers, standbys, _ := choose(daemons)
	return append(watchers, standbys...)
}

// TestJoinMovesOnlyOneRole guards against a change of many watchers, and so many lists of the store, when one daemon joins
// or leaves.
func TestJoinMovesOnlyOneRole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		daemons := fleet(rapid.IntRange(19, 300).Draw(t, "daemons"))
		gone := daemons[rapid.IntRange(0, len(daemons)-1).Draw(t, "gone")]
		before := withRoles(daemons)
		after := withRoles(slices.DeleteFunc(slices.Clone(daemons), func(d Daemon) bool { return d == gone }))
		for _, watcher := range after {
			if !slices.Contains(before, watcher) && !slices.Contains(before, gone) {
				t.Fatalf("%s became a watcher although %s was none", watcher.Name, gone.Name)
			}
		}
		kept := 0
		for _, watcher := range before {
			if slices.Contains(after, watcher) {
				kept++
			}
		}
		if kept < len(before)-2 {
			t.Fatalf("%d of %d watchers stayed", kept, len(before))
		}
	})
}

// TestReadersAreSpread expects that each of the two watchers of a large zone is the first for about half of its readers.
func TestReadersAreSpread(t *testing.T) {
	daemons := fleet(300)
	first := make(map[string]int)
	for _, d := range daemons {
		if a := Assign(d.Name, daemons, false); a.Role == RoleReader {
			first[a.Near[0].Name]++
		}
	}
	for name, n := range first {
		if n < 30 || n > 68 {
			t.Errorf("%s is the first of %d readers, want about 49", name, n)
		}
	}
}

// TestUnreadableEntriesAreNotAsked guards against a daemon without an address, or listed twice, among the watchers.
func TestUnreadableEntriesAreNotAsked(t *testing.T) {
	daemons := fleet(30)
	for _, name := range watchersOf(daemons) {
		i := slices.IndexFunc(daemons, func(d Daemon) bool { return d.Name == name })
		daemons[i].Address = ""
	}
	daemons = append(daemons, daemons[29], Daemon{Name: "only a name"})
	a := Assign("daemon-zone-2-29", daemons, false)
	seen := make(map[string]bool)
	for _, d := range slices.Concat(a.Near, a.Far, a.Others) {
		if d.Address == "" || seen[d.Name] {
			t.Errorf("%q at address %q is asked, or asked twice", d.Name, d.Address)
		}
		seen[d.Name] = true
	}
}

// TestProofIsNeverDatedLater is the rule of proofs: whatever the clocks and delays, the receiver's date is not later than
// the true time of the proof.
func TestProofIsNeverDatedLater(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		duration := func(name string) time.Duration {
			return time.Duration(rapid.Int64Range(0, int64(20*time.Second)).Draw(t, name))
		}
		sent := duration("sent") + time.Minute
		arrived := sent + duration("way there")
		answered := arrived + duration("held")
		received := answered + duration("way back")
		proof := answered - duration("age of the proof")
		receiverClock, senderClock := duration("clock of the receiver"), duration("clock of the sender")
		offset := ProofOffset(arrived+senderClock, proof+senderClock)
		date := DateProof(sent+receiverClock, received+receiverClock, offset)
		if date > proof+receiverClock {
			t.Fatalf("dated %s after the proof", date-proof-receiverClock)
		}
		if age := received + receiverClock - date; age > received-proof+arrived-sent {
			t.Fatalf("got age %s, want at most the true age %s and the way there %s", age, received-proof, arrived-sent)
		}
	})
}

// TestWaitsKeepTheBounds checks the arithmetic of docs/design/feed.md.
func TestWaitsKeepTheBounds(t *testing.T) {
	for _, revoke := range []time.Duration{time.Second, 5 * time.Second, 20 * time.Second} {
		for _, role := range []Role{RoleDirect, RoleWatcher, RoleReader} {
			w := DecideWaits(Bounds{ApplyWithin: 5 * time.Second, RevokeWithin: revoke, StoreTimeout: time.Second}, role)
			if oldest := 2 * w.Store; oldest > revoke/2 {
				t.Errorf("%s, keys withdrawn within %s: a proof gets %s old, want at most half", role, revoke, oldest)
			}
			if w.Peer > w.Store {
				t.Errorf("%s: got a wait of %s at daemons and %s at the store, want no longer one", role, w.Peer, w.Store)
			}
		}
	}
	w := DecideWaits(Bounds{ApplyWithin: 5 * time.Second, StoreTimeout: time.Second}, RoleWatcher)
	if learned := w.Store + time.Second + firstSilentDelay; learned > 4*time.Second {
		t.Errorf("a lost watch of a watcher delays a configuration by %s, want at most 4s of 5s", learned)
	}
	w = DecideWaits(Bounds{ApplyWithin: 5 * time.Second, StoreTimeout: time.Second}, RoleDirect)
	if w.Store != 4*time.Second {
		t.Errorf("got a wait of %s where all follow the store, want 4s as before", w.Store)
	}
}
