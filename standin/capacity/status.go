package capacity

import (
	"context"
	"time"

	"github.com/papayacove/papayacove/internal/clock"
	"github.com/papayacove/papayacove/internal/observer"
	"github.com/papayacove/papayacove/internal/target"
)

const (
	// observedGroups is the number of groups that are observed at the same time.
	observedGroups = 20
	// observerSettle is the wait for the observers to connect before status calls are measured.
	observerSettle = time.Second
	// observerWindow is how long status calls are measured.
	observerWindow = 3 * time.Second
	// commitInterval is the time between two commits of a group with commits.
	commitInterval = 20 * time.Millisecond
)

// measureStatus measures the status calls that observers make to groups without and with commits.
func measureStatus(ctx context.Context) ([]Result, error) {
	idle, err := measureObservers(ctx, "idle", 0)
	if err != nil {
		return nil, err
	}
	busy, err := measureObservers(ctx, "50_commits", commitInterval)
	return append(idle, busy...), err
}

// measureObservers measures the status calls of observedGroups groups with a commit every interval, or without commits
// if interval is 0. name is the suffix of the figures.
func measureObservers(ctx context.Context, name string, interval time.Duration) ([]Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var fakeTargets []*fakeTarget
	defer func() {
		for _, fake := range fakeTargets {
			fake.close()
		}
	}()
	for i := range observedGroups {
		var addresses []string
		for range targetsPerGroup {
			fake, err := newFakeTarget(interval)
			if err != nil {
				return nil, err
			}
			fakeTargets = append(fakeTargets, fake)
			addresses = append(addresses, fake.listener.Addr().String())
		}
		runObserver(ctx, observer.New(groupSpec(i, addresses...), target.Options{User: "papayacove"}), interval)
	}
	if err := clock.Sleep(ctx, observerSettle); err != nil {
		return nil, err
	}
	before := countCalls(fakeTargets)
	rate, err := measureRate(ctx, 0, observerWindow)
	if err != nil {
		return nil, err
	}
	calls := float64(countCalls(fakeTargets)-before) / rate.Elapsed.Seconds()
	return []Result{
		{"status_calls_per_group_" + name, calls / observedGroups, "1/s"},
		{"status_bytes_per_group_" + name, rate.Written / observedGroups, "B/s"},
		{"status_bytes_per_call_" + name, rate.Written / calls, "B"},
		{"status_processor_per_group_" + name, 100 * rate.Processor / observedGroups, "%core"},
	}, nil
}

// runObserver starts an observer that runs until ctx ends, and records a commit every interval unless it is 0.
func runObserver(ctx context.Context, o *observer.Observer, interval time.Duration) {
	o.Run(ctx)
	if interval == 0 {
		return
	}
	go func() {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for ctx.Err() == nil {
			o.RecordCommit()
			select {
			case <-ctx.Done():
			case <-ticker.C:
			}
		}
	}()
}

// countCalls returns the number of status calls that the targets have answered or are answering.
func countCalls(fakeTargets []*fakeTarget) int64 {
	var total int64
	for _, fake := range fakeTargets {
		total += fake.calls.Load()
	}
	return total
}
