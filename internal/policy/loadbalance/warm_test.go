package loadbalance

import (
	"fmt"
	"testing"
	"time"
)

const opening = 12 * time.Millisecond

// first returns the target that a read of the workspace is sent to.
func first(workspace string, candidates ...Candidate) string {
	PreferWarm(candidates, workspace, opening)
	Order(candidates)
	return candidates[0].Name
}

func replica(name string, inFlight int) Candidate {
	return Candidate{Name: name, SameZone: true, InFlight: inFlight, Slots: 4, ServiceTime: 18 * time.Millisecond}
}

// TestReadsOfAWorkspaceKeepToOneTarget lets 75 workspaces read from four idle targets whose loads vary by one statement: each
// keeps to one of them, and they spread over all.
func TestReadsOfAWorkspaceKeepToOneTarget(t *testing.T) {
	served := map[string]int{}
	for w := range 75 {
		workspace := fmt.Sprint("workspace-", w)
		target := first(workspace, replica("a", 0), replica("b", 0), replica("c", 0), replica("d", 0))
		for _, busy := range []string{"a", "b", "c", "d"} {
			var candidates []Candidate
			for _, name := range []string{"a", "b", "c", "d"} {
				inFlight := 0
				if name == busy {
					inFlight = 1
				}
				candidates = append(candidates, replica(name, inFlight))
			}
			if got := first(workspace, candidates...); got != target {
				t.Errorf("%s with one statement at %s: got target %s, want %s", workspace, busy, got, target)
			}
		}
		served[target]++
	}
	for _, name := range []string{"a", "b", "c", "d"} {
		if served[name] < 75/8 {
			t.Errorf("target %s: got %d of 75 workspaces, want at least %d", name, served[name], 75/8)
		}
	}
}

// TestHotWorkspaceSpreads sends 12 statements of one workspace at once: they go to several targets.
func TestHotWorkspaceSpreads(t *testing.T) {
	inFlight := map[string]int{}
	for range 12 {
		inFlight[first("hot", replica("a", inFlight["a"]), replica("b", inFlight["b"]), replica("c", inFlight["c"]))]++
	}
	if len(inFlight) != 3 {
		t.Errorf("got statements at %v, want at all three targets", inFlight)
	}
}

// TestWarmthDoesNotOutweighZoneAndPrimary lets each workspace choose among its own zone's replica, one of another zone and the
// primary, all idle: warmth decides only between targets that are alike otherwise.
func TestWarmthDoesNotOutweighZoneAndPrimary(t *testing.T) {
	other, primary := replica("other", 0), replica("primary", 0)
	other.SameZone, primary.Primary = false, true
	for w := range 75 {
		if got := first(fmt.Sprint(w), other, primary, replica("own", 0)); got != "own" {
			t.Errorf("workspace %d: got target %s, want the replica of the own zone", w, got)
		}
	}
	if MaxWarmPreference >= PrimaryPreference || MaxWarmPreference >= ZonePreference {
		t.Errorf("got a preference of up to %s for warm connections, want less than for zone and primary", MaxWarmPreference)
	}
}

// TestReadsWithoutWorkspaceAreAlike orders two idle targets for a read without a workspace.
func TestReadsWithoutWorkspaceAreAlike(t *testing.T) {
	if got := first("", replica("b", 0), replica("a", 0)); got != "a" {
		t.Errorf("got target %s, want a, the first by name", got)
	}
}
