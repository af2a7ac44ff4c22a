package engine

import (
	"math"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/clock"
)

// firstCommit is the position of a commit at the fake targets.
var firstCommit = api.Position{Term: 1, Offset: 1}

// addReceiver adds a listed replica that has received every commit of term 1, so that the commits of a test are
// confirmed.
func (g *group) addReceiver() {
	g.setTarget(Target{Name: "receiver", Group: g.name, Slots: 2, Zone: "z"})
	g.mu.Lock()
	defer g.mu.Unlock()
	g.statuses["receiver"] = follows(1, math.MaxUint64, clock.SinceBoot())
}

// newReaderEngine returns an engine whose group has the primary alone.
func newReaderEngine(target *fakeTarget) *Engine {
	e := newTestEngine(target)
	g := e.groups["g"]
	delete(g.members, "receiver")
	delete(g.statuses, "receiver")
	return e
}
