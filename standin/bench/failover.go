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
	// killRuns, otherRuns and switchoverRuns are how often a deployment goes through one kind of failure: a killed
	// primary, any other failure, and a switchover.
	killRuns       = 12
	otherRuns      = 3
	switchoverRuns = 6
	// The bounds of the write gaps, in milliseconds. A gap is the longest time without an acknowledged write of one
	// writer from the injection of a failure on.
	killedGapP50Ms    = 800
	killedGapMaxMs    = 1500
	unresponsiveGapMs = 3000
	switchoverGapMs   = 300
	// gapWarmUp is how long writers run before a failure is injected.
	gapWarmUp = 250 * time.Millisecond
	// gapTimeout limits the wait for a new primary and for the first write on each daemon.
	gapTimeout = 12 * time.Second
	// healTimeout limits the wait until a group is healthy again.
	healTimeout = 10 * time.Second
	// healInterval is the time between two checks of a group that is failing over or recovering.
	healInterval = 20 * time.Millisecond
)

// failure is one kind of loss of a primary, with the steps that inject and undo it.
type failure struct {
	name   string
	runs   int
	inject func(r *runningFleet, primary string) error
	heal   func(r *runningFleet, primary string) error
	// excludesPrimaryZone is true when callers in the availability zone of the primary cannot write during the
	// failure; their gaps are not measured.
	excludesPrimaryZone bool
	// p50Bound and maxBound limit the median and the longest write gap.
	p50Bound Bound
	maxBound Bound
}

var failures = []failure{
	{
		name: "killed", runs: killRuns, p50Bound: AtMost(killedGapP50Ms), maxBound: AtMost(killedGapMaxMs),
		inject: func(r *runningFleet, primary string) error { r.Targets[primary].Kill(); return nil },
		heal:   func(r *runningFleet, primary string) error { return r.Targets[primary].Start() },
	},
	{
		name: "frozen", runs: otherRuns, maxBound: AtMost(unresponsiveGapMs),
		inject: func(r *runningFleet, primary string) error { r.Targets[primary].Freeze(); return nil },
		heal:   func(r *runningFleet, primary string) error { r.Targets[primary].Resume(); return nil },
	},
	{
		name: "cut", runs: otherRuns, maxBound: AtMost(unresponsiveGapMs),
		inject: setFault("cut", true),
		heal:   setFault("cut", false),
	},
	{
		name: "zone_cut", runs: otherRuns, maxBound: AtMost(unresponsiveGapMs), excludesPrimaryZone: true,
		inject: func(r *runningFleet, primary string) error {
			spec, _, _ := r.Deployment.Target(primary)
			return r.PartitionZone(spec.Zone)
		},
		heal: func(r *runningFleet, _ string) error { return r.Heal() },
	},
	{
		name: "switchover", runs: switchoverRuns, maxBound: AtMost(switchoverGapMs),
		inject: setFault("leaving", true),
		heal:   setFault("leaving", false),
	},
}

// setFault returns a step that sets one field of the faults of the primary, by its name in the admin API.
func setFault(name string, value bool) func(r *runningFleet, primary string) error {
	return func(r *runningFleet, primary string) error {
		return r.Post(r.TargetAdmin(primary), "/knobs", map[string]bool{name: value})
	}
}

// measureFailover measures the write gaps that callers of all daemons see when a primary is lost.
func measureFailover(ctx context.Context, e *environment) error {
	for _, s := range allSites {
		r, err := e.start(ctx, s, nil)
		if err != nil {
			return err
		}
		for _, kind := range failures {
			if err := e.measureFailures(ctx, r, kind); err != nil {
				r.Close()
				return fmt.Errorf("%s %s: %w", s.name, kind.name, err)
			}
		}
		r.Close()
	}
	return nil
}

func (e *environment) measureFailures(ctx context.Context, r *runningFleet, kind failure) error {
	gaps := newLatencies()
	phases := newPhases()
	for run := range kind.runs {
		group := r.Deployment.Groups[run%len(r.Deployment.Groups)]
		if err := r.measureFailure(ctx, kind, group, gaps, phases); err != nil {
			return fmt.Errorf("run %d, group %s: %w", run+1, group.Name, err)
		}
	}
	e.AddDuration(r.figure(e.part, kind.name, "gap_p50"), gaps.percentile(50), kind.p50Bound)
	e.AddDuration(r.figure(e.part, kind.name, "gap_max"), gaps.highest(), kind.maxBound)
	phases.report(e, r, kind.name)
	return nil
}

// measureFailure injects a failure once, records the write gap of each affected writer and the phases of the
// failover, and undoes the failure.
func (r *runningFleet) measureFailure(ctx context.Context, kind failure, group api.GroupSpec, gaps *latencies, phases *phases) error {
	if err := r.awaitHealthy(ctx, group); err != nil {
		return err
	}
	primary := soak.PrimaryOf(r.Fleet, group)
	callers := r.startWriters(ctx, group.Name, r.affectedDaemons(kind, primary))
	defer callers.stop()
	if _, err := callers.awaitAll(ctx, time.Now().Add(gapWarmUp), gapTimeout); err != nil {
		return err
	}
	began := time.Now()
	if err := kind.inject(r, primary); err != nil {
		return err
	}
	if err := r.awaitNewPrimary(ctx, group, primary); err != nil {
		return err
	}
	if _, err := callers.awaitAll(ctx, time.Now(), gapTimeout); err != nil {
		return err
	}
	callers.stop()
	for _, caller := range callers.all {
		gaps.record(caller.longestStall(began))
	}
	phases.collect(r, group.Name, began)
	return kind.heal(r, primary)
}

// affectedDaemons returns the names of the daemons whose callers' write gaps are measured for a failure.
func (r *runningFleet) affectedDaemons(kind failure, primary string) []string {
	if !kind.excludesPrimaryZone {
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

// daemonNames returns the names of the daemons in the order of the deployment's settings.
func (r *runningFleet) daemonNames() []string {
	var names []string
	for _, settings := range r.Deployment.Settings {
		names = append(names, settings.Name)
	}
	return names
}

// awaitNewPrimary waits until the newest primary of a group that any daemon knows is not primary. It fails after
// gapTimeout.
func (r *runningFleet) awaitNewPrimary(ctx context.Context, group api.GroupSpec, primary string) error {
	ctx, cancel := context.WithTimeout(ctx, gapTimeout)
	defer cancel()
	for soak.PrimaryOf(r.Fleet, group) == primary {
		if err := clock.Sleep(ctx, healInterval); err != nil {
			return fmt.Errorf("primary %s was not replaced in time: %w", primary, err)
		}
	}
	return nil
}

// awaitHealthy waits until all targets of a group are in the same term, one of them as the primary and the others
// as replicas. It fails after healTimeout. It does not wait for the end of the hold time after a promotion, in which
// the failover controller does not replace a failed primary again.
func (r *runningFleet) awaitHealthy(ctx context.Context, group api.GroupSpec) error {
	ctx, cancel := context.WithTimeout(ctx, healTimeout)
	defer cancel()
	for {
		reason := r.unhealthyReason(group)
		if reason == "" {
			return nil
		}
		if err := clock.Sleep(ctx, healInterval); err != nil {
			return fmt.Errorf("group did not become healthy in time: %s", reason)
		}
	}
}

// unhealthyReason returns why a group is not healthy, or an empty string for a healthy group.
func (r *runningFleet) unhealthyReason(group api.GroupSpec) string {
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
