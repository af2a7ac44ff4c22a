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
	// gateRuns is the number of daemons that are killed, and of those that are stopped.
	gateRuns = 5
	// gateGapMs bounds the time until the targets of a killed daemon are served again.
	gateGapMs = 1500
	// slotsMs bounds the time until all slots of the targets are used again.
	slotsMs = 1500
	// stallMs bounds the stall that callers of other daemons see at a planned stop.
	stallMs = 100
	// slotsCrowd is the number of writers for each slot that bring all slots into use.
	slotsCrowd = 4
	// slotsInterval is the time between two looks at the slots in use.
	slotsInterval = 2 * time.Millisecond
	// slotsLimit is the time after which slots are given up.
	slotsLimit = 10 * time.Second
)

// errSlots is returned when the slots of a target do not come back.
var errSlots = errors.New("the slots did not come back")

// measureGates measures what callers of other daemons see when the daemon that holds a primary is
// killed, and when it is stopped in a planned way.
func measureGates(ctx context.Context, e *environment) error {
	for _, at := range allSites {
		r, err := e.start(ctx, at, nil)
		if err != nil {
			return err
		}
		err = e.measureKilledGates(ctx, r)
		if err == nil {
			err = e.measureStoppedGates(ctx, r)
		}
		r.Close()
		if err != nil {
			return fmt.Errorf("%s: %w", at.name, err)
		}
	}
	return nil
}

// gateOf returns a group whose primary is held by some daemon, taking the groups in turn.
func (r *running) gateOf(run int) (group api.GroupSpec, primary, holder string, err error) {
	group = r.Deployment.Groups[run%len(r.Deployment.Groups)]
	primary = soak.PrimaryOf(r.Fleet, group)
	holders, err := r.holders()
	if err != nil {
		return group, "", "", err
	}
	return group, primary, holders[primary], nil
}

// others returns all daemons but one.
func (r *running) others(daemon string) []string {
	var names []string
	for _, name := range r.daemonNames() {
		if name != daemon {
			names = append(names, name)
		}
	}
	return names
}

func (e *environment) measureKilledGates(ctx context.Context, r *running) error {
	gaps, slots := newLatencies(), newLatencies()
	for run := range gateRuns {
		group, primary, holder, err := r.gateOf(run)
		if err != nil {
			return err
		}
		callers := r.startWriters(ctx, group.Name, r.others(holder))
		if _, err := callers.awaitAll(ctx, time.Now().Add(gapWarmUp), gapLimit); err != nil {
			callers.stop()
			return fmt.Errorf("before %s is killed: %w", holder, err)
		}
		began := time.Now()
		r.Daemons[holder].Kill()
		_, err = callers.awaitAll(ctx, began, gapLimit)
		callers.stop()
		if err != nil {
			return fmt.Errorf("after %s was killed: %w", holder, err)
		}
		regained, err := r.awaitSlots(ctx, primary, holder)
		if err != nil {
			return fmt.Errorf("target %s after %s was killed: %w", primary, holder, err)
		}
		slots.record(regained.Sub(began))
		for _, one := range callers.all {
			gaps.record(one.longestStall(began))
		}
		if err := r.restart(ctx, holder); err != nil {
			return err
		}
	}
	e.AddDuration(r.figure(e.part, "killed", "gap_p50"), gaps.at(50), Unbounded)
	e.AddDuration(r.figure(e.part, "killed", "gap_max"), gaps.highest(), AtMost(gateGapMs))
	e.AddDuration(r.figure(e.part, "killed", "slots_regained_max"), slots.highest(), AtMost(slotsMs))
	return nil
}

// awaitSlots waits until the next holder of a target uses all of its slots at once under load, and
// returns when that was.
func (r *running) awaitSlots(ctx context.Context, name, gone string) (time.Time, error) {
	spec, group, _ := r.Deployment.Target(name)
	daemons := r.others(gone)
	var crowd []string
	for i := range slotsCrowd * spec.Slots {
		crowd = append(crowd, daemons[i%len(daemons)])
	}
	load := r.startWriters(ctx, group.Name, crowd)
	defer load.stop()
	ctx, cancel := context.WithTimeout(ctx, slotsLimit)
	defer cancel()
	for r.slotsInUse(daemons, name) < spec.Slots {
		if clock.Sleep(ctx, slotsInterval) != nil {
			return time.Time{}, errSlots
		}
	}
	return time.Now(), nil
}

// slotsInUse returns the slots of a target that its holder uses.
func (r *running) slotsInUse(daemons []string, name string) int {
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

// restart starts a daemon and waits until it is ready and all daemons see each other.
func (r *running) restart(ctx context.Context, daemon string) error {
	if err := r.Daemons[daemon].Start(); err != nil {
		return err
	}
	return r.WaitReady(ctx)
}

func (e *environment) measureStoppedGates(ctx context.Context, r *running) error {
	stalls := newLatencies()
	cut, failed := 0, 0
	for run := range gateRuns {
		group, _, holder, err := r.gateOf(run)
		if err != nil {
			return err
		}
		callers := r.startWriters(ctx, group.Name, r.daemonNames())
		if _, err := callers.awaitAll(ctx, time.Now().Add(gapWarmUp), gapLimit); err != nil {
			callers.stop()
			return fmt.Errorf("before %s is stopped: %w", holder, err)
		}
		began := time.Now()
		r.Daemons[holder].Stop()
		_ = clock.Sleep(ctx, gapWarmUp)
		callers.stop()
		for _, one := range callers.all {
			if one.daemon == holder {
				cut += one.cutWithin(began)
				continue
			}
			stalls.record(one.longestStall(began))
			failed += one.failures(began)
		}
		if err := r.restart(ctx, holder); err != nil {
			return err
		}
	}
	e.AddDuration(r.figure(e.part, "stopped", "stall_p50"), stalls.at(50), Unbounded)
	e.AddDuration(r.figure(e.part, "stopped", "stall_max"), stalls.highest(), AtMost(stallMs))
	e.Add(r.figure(e.part, "stopped", "requests_cut"), float64(cut), "1", AtMost(0))
	e.Add(r.figure(e.part, "stopped", "failures_elsewhere"), float64(failed), "1", AtMost(0))
	return nil
}

// cutWithin counts the requests of a writer that were sent and ended without a certain answer after
// a time. The daemon of the writer stops, which it is told between requests.
func (w *writer) cutWithin(after time.Time) int {
	cut := 0
	for _, c := range w.history() {
		if c.sent && c.err != nil && c.ended.After(after) && workload.Classify(c.err) == workload.Unknown && !isShutdown(c.err) {
			cut++
		}
	}
	return cut
}

// failures counts the requests of a writer that failed after a time.
func (w *writer) failures(after time.Time) int {
	failed := 0
	for _, c := range w.history() {
		if c.err != nil && c.ended.After(after) {
			failed++
		}
	}
	return failed
}
