package bench

import (
	"context"
	"fmt"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/clock"
	"github.com/papayacove/papayacove/internal/target"
	"github.com/papayacove/papayacove/standin/soak"
)

const (
	// killRuns and otherRuns are the numbers of failures of a kind in a deployment.
	killRuns       = 12
	otherRuns      = 3
	switchoverRuns = 6
	// Bounds of the gaps, in milliseconds.
	killedGapP50Ms  = 800
	killedGapMaxMs  = 1500
	silentGapMs     = 3000
	switchoverGapMs = 300
	// gapWarmUp is the time in which writers work before a failure.
	gapWarmUp = 250 * time.Millisecond
	// gapLimit is the time after which a gap is given up.
	gapLimit = 12 * time.Second
	// healLimit is the time in which a group must be whole again.
	healLimit = 10 * time.Second
	// healInterval is the time between two looks at a group that heals.
	healInterval = 20 * time.Millisecond
)

// failure is a way to lose a primary.
type failure struct {
	name   string
	runs   int
	inject func(r *running, primary string) error
	heal   func(r *running, primary string) error
	// leavesZone is true when callers in the availability zone of the primary can not write.
	leavesZone bool
	// p50 and highest bound the gap.
	p50     Bound
	highest Bound
}

var failures = []failure{
	{
		name: "killed", runs: killRuns, p50: AtMost(killedGapP50Ms), highest: AtMost(killedGapMaxMs),
		inject: func(r *running, primary string) error { r.Targets[primary].Kill(); return nil },
		heal:   func(r *running, primary string) error { return r.Targets[primary].Start() },
	},
	{
		name: "frozen", runs: otherRuns, highest: AtMost(silentGapMs),
		inject: func(r *running, primary string) error { r.Targets[primary].Freeze(); return nil },
		heal:   func(r *running, primary string) error { r.Targets[primary].Wake(); return nil },
	},
	{
		name: "cut", runs: otherRuns, highest: AtMost(silentGapMs),
		inject: knob("cut", true),
		heal:   knob("cut", false),
	},
	{
		name: "zone_cut", runs: otherRuns, highest: AtMost(silentGapMs), leavesZone: true,
		inject: func(r *running, primary string) error {
			spec, _, _ := r.Deployment.Target(primary)
			return r.CutZone(spec.Zone)
		},
		heal: func(r *running, _ string) error { return r.Heal() },
	},
	{
		name: "switchover", runs: switchoverRuns, highest: AtMost(switchoverGapMs),
		inject: knob("leaving", true),
		heal:   knob("leaving", false),
	},
}

// knob returns a step that sets a knob of the primary.
func knob(name string, value bool) func(r *running, primary string) error {
	return func(r *running, primary string) error {
		return r.Post(r.TargetAdmin(primary), "/knobs", map[string]bool{name: value})
	}
}

// measureFailover measures the gaps that writers at all daemons see when a primary is lost.
func measureFailover(ctx context.Context, e *environment) error {
	for _, at := range allSites {
		r, err := e.start(ctx, at, nil)
		if err != nil {
			return err
		}
		for _, kind := range failures {
			if err := e.measureFailures(ctx, r, kind); err != nil {
				r.Close()
				return fmt.Errorf("%s %s: %w", at.name, kind.name, err)
			}
		}
		r.Close()
	}
	return nil
}

func (e *environment) measureFailures(ctx context.Context, r *running, kind failure) error {
	gaps := newLatencies()
	phases := newPhases()
	for run := range kind.runs {
		group := r.Deployment.Groups[run%len(r.Deployment.Groups)]
		if err := r.failOnce(ctx, kind, group, gaps, phases); err != nil {
			return fmt.Errorf("run %d, group %s: %w", run+1, group.Name, err)
		}
	}
	e.AddDuration(r.figure(e.part, kind.name, "gap_p50"), gaps.at(50), kind.p50)
	e.AddDuration(r.figure(e.part, kind.name, "gap_max"), gaps.highest(), kind.highest)
	phases.report(e, r, kind.name)
	return nil
}

// failOnce brings a failure about once, records the gap of each writer, and heals.
func (r *running) failOnce(ctx context.Context, kind failure, group api.GroupSpec, gaps *latencies, phases *phases) error {
	if err := r.awaitWhole(ctx, group); err != nil {
		return err
	}
	primary := soak.PrimaryOf(r.Fleet, group)
	callers := r.startWriters(ctx, group.Name, r.callersOf(kind, primary))
	defer callers.stop()
	if _, err := callers.awaitAll(ctx, time.Now().Add(gapWarmUp), gapLimit); err != nil {
		return err
	}
	began := time.Now()
	if err := kind.inject(r, primary); err != nil {
		return err
	}
	if err := r.awaitReplaced(ctx, group, primary); err != nil {
		return err
	}
	if _, err := callers.awaitAll(ctx, time.Now(), gapLimit); err != nil {
		return err
	}
	callers.stop()
	for _, one := range callers.all {
		gaps.record(one.longestStall(began))
	}
	phases.collect(r, group.Name, began)
	return kind.heal(r, primary)
}

// callersOf returns the daemons whose callers see the gap of a failure.
func (r *running) callersOf(kind failure, primary string) []string {
	if !kind.leavesZone {
		return r.daemonNames()
	}
	spec, _, _ := r.Deployment.Target(primary)
	var names []string
	for _, settings := range r.Deployment.Settings {
		if settings.Zone != spec.Zone {
			names = append(names, settings.Name)
		}
	}
	return names
}

// daemonNames returns the daemons in their order.
func (r *running) daemonNames() []string {
	var names []string
	for _, settings := range r.Deployment.Settings {
		names = append(names, settings.Name)
	}
	return names
}

// awaitReplaced waits until a daemon knows another primary.
func (r *running) awaitReplaced(ctx context.Context, group api.GroupSpec, primary string) error {
	ctx, cancel := context.WithTimeout(ctx, gapLimit)
	defer cancel()
	for soak.PrimaryOf(r.Fleet, group) == primary {
		if err := clock.Sleep(ctx, healInterval); err != nil {
			return fmt.Errorf("primary %s is not replaced: %w", primary, err)
		}
	}
	return nil
}

// awaitWhole waits until a group has one primary, its other targets follow, and the time has
// passed in which a lost primary would not be replaced again.
func (r *running) awaitWhole(ctx context.Context, group api.GroupSpec) error {
	ctx, cancel := context.WithTimeout(ctx, healLimit)
	defer cancel()
	for {
		reason := r.notWhole(group)
		if reason == "" {
			return nil
		}
		if err := clock.Sleep(ctx, healInterval); err != nil {
			return fmt.Errorf("group is not whole: %s", reason)
		}
	}
}

// notWhole returns what a group lacks.
func (r *running) notWhole(group api.GroupSpec) string {
	primary := soak.PrimaryOf(r.Fleet, group)
	var term uint64
	for _, spec := range group.Targets {
		var status target.Status
		if err := r.Get(r.TargetAdmin(spec.Name), "/status", &status); err != nil {
			return err.Error()
		}
		wanted := target.RoleReplica
		if spec.Name == primary {
			wanted = target.RolePrimary
		}
		if status.Role != wanted || term != 0 && status.Term != term {
			return fmt.Sprintf("target %s is %s in term %d", spec.Name, status.Role, status.Term)
		}
		term = status.Term
	}
	return ""
}
