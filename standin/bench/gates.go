package bench

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/clock"
	"github.com/papayacove/papayacove/standin/soak"
	"github.com/papayacove/papayacove/standin/workload"
)

const (
	// gateRuns is how often a holder is killed in a deployment, and how often one is stopped.
	gateRuns = 5
	// gateGapMs bounds the time until callers of other daemons reach the targets of a killed holder again.
	gateGapMs = 1500
	// slotsRegainedMs bounds the time until all slots of the primary are in use again.
	slotsRegainedMs = 1500
	// stopStallMs bounds the longest time without an acknowledged write that callers of other daemons see at a planned
	// stop.
	stopStallMs = 100
	// writersPerSlot is the number of writers for each slot of a target, enough to use all slots at once.
	writersPerSlot = 4
	// slotsPollInterval is the time between two reads of the number of slots in use.
	slotsPollInterval = 2 * time.Millisecond
	// slotsTimeout limits the wait until all slots of a target are in use.
	slotsTimeout = 10 * time.Second
)

// errSlotsNotRegained is returned when the slots of a target are not all in use within slotsTimeout.
var errSlotsNotRegained = errors.New("not all slots of the target were in use again in time")

// measureHolderLoss measures what callers see when the holder of a primary, the daemon that has its gate, is killed
// and when it is stopped in a planned way.
func measureHolderLoss(ctx context.Context, e *environment) error {
	for _, s := range allSites {
		r, err := e.start(ctx, s, nil)
		if err != nil {
			return err
		}
		err = e.measureKilledHolders(ctx, r)
		if err == nil {
			err = e.measureStoppedHolders(ctx, r)
		}
		r.Close()
		if err != nil {
			return fmt.Errorf("%s: %w", s.name, err)
		}
	}
	return nil
}

// gateOfRun returns the group of a run with its primary and the daemon that holds the primary. The runs go through
// the groups in turn.
func (r *runningFleet) gateOfRun(run int) (group api.GroupSpec, primary, holder string, err error) {
	group = r.Deployment.Groups[run%len(r.Deployment.Groups)]
	primary = soak.PrimaryOf(r.Fleet, group)
	holders, err := r.holders()
	if err != nil {
		return group, "", "", err
	}
	return group, primary, holders[primary], nil
}

// otherDaemons returns the names of all daemons except daemon.
func (r *runningFleet) otherDaemons(daemon string) []string {
	var names []string
	for _, name := range r.daemonNames() {
		if name != daemon {
			names = append(names, name)
		}
	}
	return names
}

func (e *environment) measureKilledHolders(ctx context.Context, r *runningFleet) error {
	gaps, slots := newLatencies(), newLatencies()
	for run := range gateRuns {
		group, primary, holder, err := r.gateOfRun(run)
		if err != nil {
			return err
		}
		callers := r.startWriters(ctx, group.Name, r.otherDaemons(holder))
		if _, err := callers.awaitAll(ctx, time.Now().Add(gapWarmUp), gapTimeout); err != nil {
			callers.stop()
			return fmt.Errorf("before %s is killed: %w", holder, err)
		}
		began := time.Now()
		r.Daemons[holder].Kill()
		_, err = callers.awaitAll(ctx, began, gapTimeout)
		callers.stop()
		if err != nil {
			return fmt.Errorf("after %s was killed: %w", holder, err)
		}
		regained, err := r.awaitAllSlotsUsed(ctx, primary, holder)
		if err != nil {
			return fmt.Errorf("target %s after %s was killed: %w", primary, holder, err)
		}
		slots.record(regained.Sub(began))
		for _, caller := range callers.all {
			gaps.record(caller.longestStall(began))
		}
		if err := r.restart(ctx, holder); err != nil {
			return err
		}
	}
	e.AddDuration(r.figure(e.part, "killed", "gap_p50"), gaps.percentile(50), Unbounded)
	e.AddDuration(r.figure(e.part, "killed", "gap_max"), gaps.highest(), AtMost(gateGapMs))
	e.AddDuration(r.figure(e.part, "killed", "slots_regained_max"), slots.highest(), AtMost(slotsRegainedMs))
	return nil
}

// awaitAllSlotsUsed puts load on the target called name through all daemons except gone, waits until the target's
// new holder uses all slots at once, and returns the time of that.
func (r *runningFleet) awaitAllSlotsUsed(ctx context.Context, name, gone string) (time.Time, error) {
	spec, group, _ := r.Deployment.Target(name)
	daemons := r.otherDaemons(gone)
	var daemonOfWriter []string
	for i := range writersPerSlot * spec.Slots {
		daemonOfWriter = append(daemonOfWriter, daemons[i%len(daemons)])
	}
	load := r.startWriters(ctx, group.Name, daemonOfWriter)
	defer load.stop()
	ctx, cancel := context.WithTimeout(ctx, slotsTimeout)
	defer cancel()
	for r.slotsInUse(daemons, name) < spec.Slots {
		if clock.Sleep(ctx, slotsPollInterval) != nil {
			return time.Time{}, errSlotsNotRegained
		}
	}
	return time.Now(), nil
}

// slotsInUse returns the number of slots of a target that its holder uses, or 0 if none of the daemons holds it.
func (r *runningFleet) slotsInUse(daemons []string, name string) int {
	for _, daemon := range daemons {
		status, err := r.Status(daemon)
		if err != nil {
			continue
		}
		for _, held := range status.Targets {
			if held.Target == name {
				return held.SlotsInUse
			}
		}
	}
	return 0
}

// restart starts an ended daemon again and waits until each daemon knows the others and each target is held.
func (r *runningFleet) restart(ctx context.Context, daemon string) error {
	if err := r.Daemons[daemon].Start(); err != nil {
		return err
	}
	return r.WaitReady(ctx)
}

func (e *environment) measureStoppedHolders(ctx context.Context, r *runningFleet) error {
	stalls := newLatencies()
	interrupted, failed := 0, 0
	for run := range gateRuns {
		group, _, holder, err := r.gateOfRun(run)
		if err != nil {
			return err
		}
		callers := r.startWriters(ctx, group.Name, r.daemonNames())
		if _, err := callers.awaitAll(ctx, time.Now().Add(gapWarmUp), gapTimeout); err != nil {
			callers.stop()
			return fmt.Errorf("before %s is stopped: %w", holder, err)
		}
		began := time.Now()
		r.Daemons[holder].Stop()
		_ = clock.Sleep(ctx, gapWarmUp)
		callers.stop()
		for _, caller := range callers.all {
			if caller.daemon == holder {
				interrupted += caller.interruptedAfter(began)
				continue
			}
			stalls.record(caller.longestStall(began))
			failed += caller.failuresAfter(began)
		}
		if err := r.restart(ctx, holder); err != nil {
			return err
		}
	}
	e.AddDuration(r.figure(e.part, "stopped", "stall_p50"), stalls.percentile(50), Unbounded)
	e.AddDuration(r.figure(e.part, "stopped", "stall_max"), stalls.highest(), AtMost(stopStallMs))
	e.Add(r.figure(e.part, "stopped", "requests_cut"), float64(interrupted), "1", AtMost(0))
	e.Add(r.figure(e.part, "stopped", "failures_elsewhere"), float64(failed), "1", AtMost(0))
	return nil
}

// interruptedAfter counts the requests of a writer that were sent and then ended after a time with an unknown
// outcome. Requests that failed because the stopping daemon had closed the connection between two requests, with
// shutdownState, are left out.
func (w *writer) interruptedAfter(after time.Time) int {
	interrupted := 0
	for _, c := range w.history() {
		if c.sent && c.err != nil && c.ended.After(after) && workload.Classify(c.err) == workload.Unknown && !isShutdown(c.err) {
			interrupted++
		}
	}
	return interrupted
}

// failuresAfter counts the requests of a writer that ended with an error after a time.
func (w *writer) failuresAfter(after time.Time) int {
	failed := 0
	for _, c := range w.history() {
		if c.err != nil && c.ended.After(after) {
			failed++
		}
	}
	return failed
}
