package soak

import (
	"fmt"
	"math/rand"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/papayacove/papayacove/standin/lines"
	"github.com/papayacove/papayacove/standin/netfault"
)

// ReplacementFaults are replacements of primaries and replicas beside faults of single daemons and paths, without a
// zone that is cut off. They are drawn only where their names are given, so that a seed without names draws the same
// faults as before.
var ReplacementFaults = []FaultOf[*lines.Fleet]{
	{"primary_paths_flicker", onGroup(flickerPrimary)},
	{"replica_released_watches_late", besideLateWatches(func(g *lines.Group) []string {
		return otherThan(g.RunningIDs(), g.Primary())[:1]
	})},
	{"primary_released_watches_late", besideLateWatches(func(g *lines.Group) []string { return []string{g.Primary()} })},
	{"group_released_watches_late", besideLateWatches(primaryLast)},
	{"replicas_released_watches_late_primary_unreached", onGroup(releaseThenCutPaths)},
	{"promoter_frozen_after_pause", atPromoter((*lines.Fleet).OnNextPause, freeze)},
	{"promoter_killed_after_pause", atPromoter((*lines.Fleet).OnNextPause, kill)},
	{"promoter_frozen_after_order", atPromoter((*lines.Fleet).OnNextOrder, freeze)},
	{"promoter_killed_after_order", atPromoter((*lines.Fleet).OnNextOrder, kill)},
	{"promotion_answers_lost", besideReplacement(func(f *lines.Fleet, _ *lines.Group, _ *rand.Rand) func() {
		f.Provider.SetFaults(lines.OrderFaults{LoseAnswers: true})
		return func() { f.Provider.SetFaults(lines.OrderFaults{}) }
	})},
	{"promotion_orders_late", besideReplacement(func(f *lines.Fleet, _ *lines.Group, random *rand.Rand) func() {
		f.Provider.SetFaults(lines.OrderFaults{EffectDelay: between(random, shortestOrderDelay, longestOrderDelay)})
		return func() { f.Provider.SetFaults(lines.OrderFaults{}) }
	})},
	{"entries_missing_daemons_restarted", besideReplacement(restartWithoutEntries)},
	{"primary_cut_until_promoted", onGroup(cutUntilPromoted)},
	{"primary_restarted_while_replaced", onGroup(restartWhileReplaced)},
}

const (
	// shortestFlicker and longestFlicker bound the time for which a path fails, and that until it fails again.
	shortestFlicker = 100 * time.Millisecond
	longestFlicker  = 800 * time.Millisecond
	// shortestWatchDelay and longestWatchDelay bound the time after which a late watch learns of a change.
	shortestWatchDelay = 500 * time.Millisecond
	longestWatchDelay  = 4 * time.Second
	// longestPromotionStep is longer than the time between the pauses of a promotion and its order, and than that
	// between the order and its effect.
	longestPromotionStep = time.Second
	// shortestOrderDelay and longestOrderDelay bound the time for which a provider is late to carry out orders.
	shortestOrderDelay = 200 * time.Millisecond
	longestOrderDelay  = 2500 * time.Millisecond
	// longestMissing is the longest time after which entries are back that the store has dropped.
	longestMissing = 1800 * time.Millisecond
)

// SelectLines returns the faults of LinesFaults, or those of the given names, which may be of ReplacementFaults too.
func SelectLines(names []string) ([]FaultOf[*lines.Fleet], error) {
	if len(names) == 0 {
		return LinesFaults, nil
	}
	return Select(slices.Concat(LinesFaults, ReplacementFaults), names)
}

// undo holds what ends a fault whose parts begin later. Its methods are safe for concurrent use.
type undo struct {
	mu    sync.Mutex
	ended bool
	heals []func()
}

// add begins a part of the fault unless the fault has ended.
func (u *undo) add(begin func() (heal func())) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.ended {
		u.heals = append(u.heals, begin())
	}
}

// end ends the fault, the last part first.
func (u *undo) end() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.ended = true
	for _, heal := range slices.Backward(u.heals) {
		heal()
	}
	u.heals = nil
}

// halfOf draws half of the daemons, one at least.
func halfOf(f *lines.Fleet, random *rand.Rand) []*lines.Daemon {
	var half []*lines.Daemon
	for _, i := range random.Perm(len(f.Daemons))[:max(1, len(f.Daemons)/2)] {
		half = append(half, f.Daemons[i])
	}
	return half
}

// flicker makes the paths from daemons to a target fail and heal again and again until the function that it returns is
// called.
func flicker(f *lines.Fleet, daemons []*lines.Daemon, id string, random *rand.Rand) func() {
	own, stop := rand.New(rand.NewSource(random.Int63())), make(chan struct{})
	var loop sync.WaitGroup
	loop.Go(func() {
		for cut := true; ; cut = !cut {
			setPaths(f, daemons, id, cut)
			select {
			case <-stop:
				setPaths(f, daemons, id, false)
				return
			case <-time.After(between(own, shortestFlicker, longestFlicker)):
			}
		}
	})
	return func() { close(stop); loop.Wait() }
}

// flickerPrimary makes the paths from half of the daemons to a primary fail again and again.
func flickerPrimary(f *lines.Fleet, g *lines.Group, random *rand.Rand) (string, func()) {
	id := g.Primary()
	if id == "" {
		return "no primary", func() {}
	}
	return id, flicker(f, halfOf(f, random), id, random)
}

// besideLateWatches replaces targets while half of the daemons learn late of the new ones and do not always reach the
// primary.
func besideLateWatches(pick func(*lines.Group) []string) func(*lines.Fleet, *rand.Rand) (string, func()) {
	return onGroup(func(f *lines.Fleet, g *lines.Group, random *rand.Rand) (string, func()) {
		delay, late, primary, ids := between(random, shortestWatchDelay, longestWatchDelay), halfOf(f, random), g.Primary(), pick(g)
		if primary == "" {
			return "no primary", func() {}
		}
		for _, d := range late {
			f.Store.DelayWatches(d.Source, delay)
		}
		released, _ := releaseAll(f, g, random, ids)
		endFlicker := flicker(f, late, primary, random)
		return fmt.Sprintf("%s, watches %v late", released, delay.Round(time.Millisecond)), func() {
			endFlicker()
			for _, d := range late {
				f.Store.DelayWatches(d.Source, 0)
			}
		}
	})
}

// releaseThenCutPaths replaces the replicas of a group while half of the daemons learn late of the new ones. Once the
// former replicas leave, no daemon reaches the primary. Targets reach each other all the while.
func releaseThenCutPaths(f *lines.Fleet, g *lines.Group, random *rand.Rand) (string, func()) {
	late, primary, gap := halfOf(f, random), g.Primary(), between(random, 0, longestFlicker)
	if primary == "" || g.IsBeingReplaced() {
		return "not released", func() {}
	}
	for _, d := range late {
		f.Store.DelayWatches(d.Source, longestWatchDelay)
	}
	replicas := otherThan(g.RunningIDs(), primary)
	f.ReleaseNow(g, replicas)
	time.Sleep(gap)
	setPaths(f, f.Daemons, primary, true)
	what := fmt.Sprintf("%s, %s not reached %v later", strings.Join(replicas, ","), primary, gap.Round(time.Millisecond))
	return what, func() {
		setPaths(f, f.Daemons, primary, false)
		for _, d := range late {
			f.Store.DelayWatches(d.Source, 0)
		}
	}
}

// setPaths sets whether the paths from daemons to a target fail.
func setPaths(f *lines.Fleet, daemons []*lines.Daemon, id string, cut bool) {
	for _, d := range daemons {
		f.TargetLink(id).SetPathFaults(d.Source, netfault.PathFaults{Partitioned: cut})
	}
}

// replacePrimary releases the primary of a group, or cuts it off from the other targets and half of the daemons.
func replacePrimary(f *lines.Fleet, g *lines.Group, random *rand.Rand) (string, func()) {
	if random.Intn(2) == 0 {
		return releaseAll(f, g, random, []string{g.Primary()})
	}
	what, heal := cutPrimary(f, g, random)
	return what + " cut off", heal
}

// besideReplacement does something shortly before the primary of a group is replaced.
func besideReplacement(do func(*lines.Fleet, *lines.Group, *rand.Rand) (heal func())) func(*lines.Fleet, *rand.Rand) (string, func()) {
	return onGroup(func(f *lines.Fleet, g *lines.Group, random *rand.Rand) (string, func()) {
		healFault := do(f, g, random)
		what, heal := replacePrimary(f, g, random)
		return what, func() { heal(); healFault() }
	})
}

// onNext calls a function with the daemon that takes the next step of a promotion of a group; nil ends that.
type onNext func(f *lines.Fleet, g *lines.Group, do func(*lines.Daemon))

func freeze(d *lines.Daemon) func() { d.Freeze(); return d.Resume }

func kill(d *lines.Daemon) func() {
	d.Kill()
	return func() {
		if !d.IsAlive() {
			_ = d.Start()
		}
	}
}

// atPromoter replaces the primary of a group and stops the daemon that does it soon after a step of the promotion, half
// of the times until another daemon has taken its lock over.
func atPromoter(next onNext, stop func(*lines.Daemon) func()) func(*lines.Fleet, *rand.Rand) (string, func()) {
	return onGroup(func(f *lines.Fleet, g *lines.Group, random *rand.Rand) (string, func()) {
		gap, long, u := between(random, 0, longestPromotionStep), random.Intn(2) == 0, &undo{}
		next(f, g, func(d *lines.Daemon) {
			time.Sleep(gap)
			u.add(func() func() {
				heal := stop(d)
				if long {
					heal = lasting(heal)
				}
				return heal
			})
		})
		what, heal := replacePrimary(f, g, random)
		return fmt.Sprintf("%s, promoter %v later, long %t", what, gap.Round(time.Millisecond), long), func() { next(f, g, nil); heal(); u.end() }
	})
}

// restartWithoutEntries lets the store lose the entries of one or two targets of a group, which are back soon, and
// restarts half of the daemons meanwhile.
func restartWithoutEntries(f *lines.Fleet, g *lines.Group, random *rand.Rand) func() {
	ids := g.RunningIDs()
	random.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	missing, back := ids[:min(len(ids), 1+random.Intn(2))], between(random, longestMissing/3, longestMissing)
	for _, id := range missing {
		g.Target(id).StopHeartbeats()
		_ = f.Store.Delete("servers", id)
	}
	for _, d := range halfOf(f, random) {
		d.Kill()
		_ = d.Start()
	}
	resume := func() {
		for _, id := range missing {
			g.Target(id).ResumeHeartbeats()
		}
	}
	timer := time.AfterFunc(back, resume)
	return func() { timer.Stop(); resume() }
}

// cutUntilPromoted cuts a primary off from the other targets and half of the daemons, until about when another one is
// promoted.
func cutUntilPromoted(f *lines.Fleet, g *lines.Group, random *rand.Rand) (string, func()) {
	what, heal := cutPrimary(f, g, random)
	gap, once := between(random, 0, longestPromotionStep), sync.OnceFunc(heal)
	f.OnNextOrder(g, func(*lines.Daemon) { time.Sleep(gap); once() })
	return fmt.Sprintf("%s, healed %v after the order", what, gap.Round(time.Millisecond)), func() { f.OnNextOrder(g, nil); once() }
}

// restartWhileReplaced releases a primary that ends and starts again between its step-down and the effect of the
// promotion.
func restartWhileReplaced(f *lines.Fleet, g *lines.Group, random *rand.Rand) (string, func()) {
	id, gap, next := g.Primary(), between(random, 0, longestPromotionStep), onNext((*lines.Fleet).OnNextPause)
	if id == "" {
		return "no primary", func() {}
	}
	if random.Intn(2) == 0 {
		next = (*lines.Fleet).OnNextOrder
	}
	term := g.Target(id).Term()
	next(f, g, func(*lines.Daemon) {
		time.Sleep(gap)
		_ = g.Target(id).RestartAsPrimary(term)
	})
	released, _ := releaseAll(f, g, random, []string{id})
	return fmt.Sprintf("%s, restarted %v later", released, gap.Round(time.Millisecond)), func() { next(f, g, nil) }
}
