package lines

import (
	"testing"
	"time"
)

// newTestGroup returns a group of targets a, b and c in three zones, of which a is the primary.
func newTestGroup(t *testing.T) *Group {
	t.Helper()
	store, err := NewStore()
	if err != nil {
		t.Fatal(err)
	}
	g, err := NewGroup(store, "group", "a", "b", "c")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		for _, id := range g.IDs() {
			g.Target(id).Crash()
		}
		store.Close()
	})
	return g
}

// TestOldPrimaryGoesOnUntilItHears guards against an old primary that steps down before it reaches the new one, and against
// one that never does.
func TestOldPrimaryGoesOnUntilItHears(t *testing.T) {
	g := newTestGroup(t)
	g.setZoneCut("zone-1", true)
	if !g.Promote("b") {
		t.Fatal("b was not promoted")
	}
	role := func() bool { g.mu.Lock(); defer g.mu.Unlock(); return g.targets["a"].primary }
	now := time.Now()
	g.followPrimary(now)
	g.followPrimary(now.Add(2 * hearingDelay))
	if !role() {
		t.Fatal("the old primary stepped down while it was cut off, want it to go on")
	}
	g.setZoneCut("zone-1", false)
	g.followPrimary(now.Add(3 * hearingDelay))
	g.followPrimary(now.Add(4 * hearingDelay))
	g.followPrimary(now.Add(4 * hearingDelay))
	if a := g.Target("a"); role() || a.term != 2 {
		t.Errorf("after the cut: got primary %t of term %d, want a replica of term 2", role(), a.term)
	}
}

// TestCutReplicaAcknowledgesNothing guards against commits that a replica on the other side of a cut acknowledges.
func TestCutReplicaAcknowledgesNothing(t *testing.T) {
	g := newTestGroup(t)
	if _, acknowledged := g.Target("a").commit("1", map[string]string{"item": "1"}); !acknowledged {
		t.Fatal("got no acknowledgement before the cut")
	}
	g.SetTargetCut("a", true)
	result := make(chan bool)
	go func() { _, ok := g.Target("a").commit("2", map[string]string{"item": "2"}); result <- ok }()
	g.followPrimary(time.Now())
	if !g.Promote("b") {
		t.Fatal("b was not promoted")
	}
	if g.CommitCount("item", "2") > 0 {
		t.Error("the new primary has a commit that was written behind the cut")
	}
	g.Target("a").Crash()
	if <-result {
		t.Error("a commit was acknowledged behind the cut")
	}
}

// TestReplacementHasTheLog covers that a target which joins has the log of the old one, and no entry before announce.
func TestReplacementHasTheLog(t *testing.T) {
	g := newTestGroup(t)
	g.Target("a").commit("1", map[string]string{"item": "1"})
	d, err := g.join("a-r1", g.Target("a"))
	if err != nil {
		t.Fatal(err)
	}
	if g.Target("a-r1") != nil {
		t.Error("the target is a member before it was announced")
	}
	d.announce()
	g.Target("a").retire()
	if err := g.Target("a").Start(); err != nil || g.Target("a").IsUp() {
		t.Errorf("start of a target that has ended for good: got %v and up %t, want it to stay down", err, g.Target("a").IsUp())
	}
	if d.lastPosition() != (Position{1, 1}) || d.zone != "zone-1" {
		t.Errorf("got position %s in %s, want 1.1 in zone-1", d.lastPosition(), d.zone)
	}
}
