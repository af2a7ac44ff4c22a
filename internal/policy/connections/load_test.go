package connections

import (
	"container/heap"
	"fmt"
	"math/rand"
	"testing"
	"time"
)

// played is the load of one target: statements of workspaces whose loads fall as those of a Zipf distribution.
type played struct {
	workspaces, limit, slots int
	perSecond                float64
	lasts                    time.Duration
	work                     time.Duration
	// resting is the part of the uses that are transactions, which rest on their connection for rest.
	resting float64
	rest    time.Duration
	// hot is the workspace that asks hotFactor times its usual in the second half; -1 for none.
	hot       int
	hotFactor float64
	// restartEvery is the time after which the target closes all idle connections; 0 for never.
	restartEvery time.Duration
}

// stated is the load that the design note states.
var stated = played{workspaces: 75, limit: 42, slots: 4, perSecond: 39, lasts: 3 * time.Minute, work: 18 * time.Millisecond, resting: 0.1, rest: 300 * time.Millisecond, hot: -1}

const opening = 12 * time.Millisecond

// outcome is what the load cost.
type outcome struct {
	uses, opened, evicted, awaited, maxOpen int
	// share is the part of the slots' time spent opening.
	share float64
}

func (o outcome) String() string {
	return fmt.Sprintf("%d uses, %d opened, %d evicted, %d waited, %.2f %% of slot time", o.uses, o.opened, o.evicted, o.awaited, 100*o.share)
}

// victimOf chooses the idle connection to close.
type victimOf func(u *Usage, idle []Idle, now time.Time) int

func leastExpected(u *Usage, idle []Idle, now time.Time) int {
	i, _ := u.LeastExpected(idle, now)
	return i
}

func leastRecent(_ *Usage, idle []Idle, _ time.Time) int {
	oldest := 0
	for i := range idle {
		if idle[i].Since.Before(idle[oldest].Since) {
			oldest = i
		}
	}
	return oldest
}

// ends are the uses in progress, the first to end first.
type ends []Idle

func (e ends) Len() int           { return len(e) }
func (e ends) Less(i, j int) bool { return e[i].Since.Before(e[j].Since) }
func (e ends) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *ends) Push(x any)        { *e = append(*e, x.(Idle)) }
func (e *ends) Pop() any          { x := (*e)[len(*e)-1]; *e = (*e)[:len(*e)-1]; return x }

// draw returns the workspace of the next statement.
func (p played) draw(random *rand.Rand, late bool) int {
	weights, total := make([]float64, p.workspaces), 0.0
	for i := range weights {
		weights[i] = 1 / float64(i+1)
		if late && i == p.hot {
			weights[i] *= p.hotFactor
		}
		total += weights[i]
	}
	drawn := random.Float64() * total
	for i, w := range weights {
		if drawn -= w; drawn < 0 {
			return i
		}
	}
	return 0
}

// play plays the load with a choice of the victim.
func (p played) play(choose victimOf) outcome {
	random := rand.New(rand.NewSource(1))
	u, start := NewUsage(), time.Unix(1_000_000, 0)
	var idle []Idle
	var inUse ends
	var o outcome
	endUntil := func(now time.Time) {
		for len(inUse) > 0 && !inUse[0].Since.After(now) {
			e := heap.Pop(&inUse).(Idle)
			u.Ended(e.Workspace, e.Since)
			idle = append(idle, e)
		}
	}
	restart := start.Add(p.restartEvery)
	for now := start; now.Before(start.Add(p.lasts)); now = now.Add(time.Duration(random.ExpFloat64() / p.perSecond * float64(time.Second))) {
		endUntil(now)
		if p.restartEvery > 0 && now.After(restart) {
			idle, restart = nil, now.Add(p.restartEvery)
		}
		workspace, at := fmt.Sprint(p.draw(random, now.Sub(start) > p.lasts/2)), now
		state := func() State { return State{Idle: idle, Busy: len(inUse), Limit: p.limit} }
		d := u.Choose(workspace, state(), at)
		for d.Action == Await {
			o.awaited++
			at = inUse[0].Since
			endUntil(at)
			d = u.Choose(workspace, state(), at)
		}
		lasts := time.Duration(random.ExpFloat64() * float64(p.work))
		if random.Float64() < p.resting {
			lasts += time.Duration(random.ExpFloat64() * float64(p.rest))
		}
		remove := -1
		switch d.Action {
		case Evict:
			remove = choose(u, idle, at)
			o.evicted++
		case Reuse:
			for i := range idle {
				if idle[i].Workspace == workspace {
					remove = i
				}
			}
		}
		if d.Action != Reuse {
			o.opened++
			lasts += opening
		}
		if remove >= 0 {
			idle = append(idle[:remove], idle[remove+1:]...)
		}
		o.uses++
		u.Began(workspace, at)
		heap.Push(&inUse, Idle{Workspace: workspace, Since: at.Add(lasts)})
		o.maxOpen = max(o.maxOpen, len(idle)+len(inUse))
	}
	o.share = float64(o.opened) * opening.Seconds() / (p.lasts.Seconds() * float64(p.slots))
	return o
}

// playPartition plays the load with one connection for each part of the workspaces, by hash.
func (p played) playPartition() outcome {
	random := rand.New(rand.NewSource(1))
	owner := make(map[int]int)
	var o outcome
	for now := 0.0; now < p.lasts.Seconds(); now += random.ExpFloat64() / p.perSecond {
		workspace := p.draw(random, now > p.lasts.Seconds()/2)
		o.uses++
		if part := workspace * 31 % p.limit; owner[part] != workspace+1 {
			owner[part] = workspace + 1
			o.opened++
		}
	}
	o.share = float64(o.opened) * opening.Seconds() / (p.lasts.Seconds() * float64(p.slots))
	return o
}

// TestOpeningTakesLittleOfTheSlots plays 75 workspaces at a target of 42 connections and 4 slots, and compares the choice by
// expected use with those that were weighed.
func TestOpeningTakesLittleOfTheSlots(t *testing.T) {
	chosen, recent, parts := stated.play(leastExpected), stated.play(leastRecent), stated.playPartition()
	t.Logf("least expected use: %s", chosen)
	t.Logf("least recent use:   %s", recent)
	t.Logf("partition by hash:  %s", parts)
	if chosen.share >= 0.03 {
		t.Errorf("got %.2f %% of the slots' time spent opening, want under 3 %%", 100*chosen.share)
	}
	if chosen.opened >= recent.opened || chosen.opened >= parts.opened {
		t.Errorf("got %d opened, want fewer than the %d by recency and the %d by parts", chosen.opened, recent.opened, parts.opened)
	}
}

// TestOpeningStaysBoundedUnderFailure plays what disturbs the choice. The limit holds, and opening takes little.
func TestOpeningStaysBoundedUnderFailure(t *testing.T) {
	with := func(change func(*played)) played { p := stated; change(&p); return p }
	cases := []struct {
		name  string
		load  played
		share float64
	}{
		{"hot workspace", with(func(p *played) { p.hot, p.hotFactor, p.perSecond = 5, 7.5, 60 }), 0.04},
		{"restarts every 20 s", with(func(p *played) { p.restartEvery = 20 * time.Second }), 0.03},
		{"transactions that rest for seconds", with(func(p *played) { p.resting, p.rest = 0.2, 2*time.Second }), 0.06},
		{"88 workspaces on 38 connections and 3 slots", with(func(p *played) { p.workspaces, p.limit, p.slots = 88, 38, 3 }), 0.05},
		{"the target accepts a third", with(func(p *played) { p.limit = 14 }), 0.08},
	}
	for _, c := range cases {
		o := c.load.play(leastExpected)
		recent := c.load.play(leastRecent)
		t.Logf("%s: %s; by recency %.2f %%", c.name, o, 100*recent.share)
		if o.maxOpen > c.load.limit {
			t.Errorf("%s: got %d connections, want at most %d", c.name, o.maxOpen, c.load.limit)
		}
		if o.share > c.share {
			t.Errorf("%s: got %.2f %% of the slots' time spent opening, want at most %.0f %%", c.name, 100*o.share, 100*c.share)
		}
	}
}
