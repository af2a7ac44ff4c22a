package engine

import "testing"

// isKept reports whether the group has a target whose removal is not due.
func (g *group) isKept(name string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	m, ok := g.members[name]
	return ok && m.removalTimer == nil
}

// TestTargetIsOfOneGroup gives a target entries of several groups: one that stays a member of a group that it is not of can't be
// paused, and no promotion of that group goes on without it.
func TestTargetIsOfOneGroup(t *testing.T) {
	e := newTestEngine(&fakeTarget{})
	e.addGroup("h", 5)
	e.Configure(Configuration{Version: 2, Groups: map[string]GroupLimits{"g": {}, "h": {}}})
	entry := func(group string) Target { return Target{Name: "x", Group: group, Slots: 2, Zone: "z"} }
	for i, group := range []string{"g", "h", "unknown", "h", "g"} {
		e.SetTarget(entry(group))
		for _, name := range []string{"g", "h"} {
			if got := e.groups[name].isKept("x"); got != (name == group) {
				t.Errorf("entry %d of group %s: got kept in group %s %t, want %t", i+1, group, name, got, name == group)
			}
		}
	}
	e.Configure(Configuration{Version: 3, Groups: map[string]GroupLimits{"unknown": {}}})
	if e.groups["unknown"].isKept("x") || !e.groups["g"].isKept("x") {
		t.Error("an earlier entry of a group that was not known came into force after a later one")
	}
}
