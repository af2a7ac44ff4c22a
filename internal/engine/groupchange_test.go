package engine

import (
	"testing"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/clock"
	"github.com/papayacove/papayacove/internal/policy/callers"
	"github.com/papayacove/papayacove/internal/policy/leadership"
	"github.com/papayacove/papayacove/internal/policy/primaryposition"
)

// addGroup adds a group of one target, the primary, whose log ends at an offset of term 1.
func (e *Engine) addGroup(name string, offset uint64) {
	g := newGroup(name, e.options, func() bool { return true })
	e.groups[name] = g
	g.setLimits(GroupLimits{MaxConnections: 4, SyncReplicas: 1}, daemonsNamed(1))
	g.setTarget(Target{Name: name + "-a", Group: name, Slots: 2, Zone: "z"})
	now := clock.SinceBoot()
	g.samples = primaryposition.Samples{}
	g.applyStatusRound(map[string]leadership.Status{name + "-a": leads(1, offset, now)}, now)
	g.addReceiver()
	g.provenUntil = now + time.Hour
}

// TestCommitsBindReadsOfTheirGroup changes the route of a session to another group and back: the position of a commit means another one
// in the log of another group, which may never reach it.
func TestCommitsBindReadsOfTheirGroup(t *testing.T) {
	offsets := map[string]uint64{"left": 2740, "right": 5}
	var e *Engine
	current := "left"
	target := &fakeTarget{exchange: func(_ *fakeConnection, c Command) (Reply, error) {
		position := api.Position{Term: 1, Offset: offsets[current]}
		if c.MinPosition.Compare(position) > 0 {
			return Reply{Failure: &TargetFailure{Kind: FailureBehind, Code: "LAGGING"}, Position: position}, nil
		}
		return Reply{Signature: "s", Position: position}, nil
	}}
	e = newTestEngine(target)
	for name, offset := range offsets {
		e.addGroup(name, offset)
	}
	routeTo := func(name string) {
		current = name
		e.configuration.Routes["d"] = Route{
			Name: "r", Database: "d", Group: name, Consistency: ConsistencySession, MaxAge: time.Hour, Timeout: time.Second, Objective: 500 * time.Millisecond,
		}
	}
	s := newSession(e, &scriptedCaller{}, "d", "s", callers.Identity{})
	for _, name := range []string{"left", "right", "left"} {
		routeTo(name)
		if answer := s.serve(Statement{ID: "r", Op: OpRead, Text: "READ x"}, time.Now()); answer.Refusal != nil {
			t.Errorf("read in group %s: got refusal %+v, want success", name, answer.Refusal)
		}
		if answer := s.serve(Statement{ID: "w", Op: OpWrite, Text: "WRITE x y"}, time.Now()); answer.Refusal != nil {
			t.Errorf("write in group %s: got refusal %+v, want success", name, answer.Refusal)
		}
	}
	for name, offset := range offsets {
		if got := s.commits[e.groups[name]].position.Offset; got != offset {
			t.Errorf("got offset %d for the commit in group %s, want %d", got, name, offset)
		}
	}
}
