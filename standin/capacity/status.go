package capacity

import (
	"context"
	"time"

	"github.com/papayacove/papayacove/internal/clock"
	"github.com/papayacove/papayacove/internal/observer"
	"github.com/papayacove/papayacove/internal/target"
)

const (
	// observedGroups is the number of groups that are observed at a time.
	observedGroups = 20
	// observerSettle is the time in which observers connect.
	observerSettle = time.Second
	// observerWindow is the time over which status calls are measured.
	observerWindow = 3 * time.Second
	// commitInterval is the time between two commits of a group that commits.
	commitInterval = 20 * time.Millisecond
)

// measureStatus measures the status calls of groups without and with commits.
func measureStatus(ctx context.Context) ([]Result, error) {
	idle, err := measureObservers(ctx, "idle", 0)
	if err != nil {
		return nil, err
	}
	busy, err := measureObservers(ctx, "50_commits", commitInterval)
	return append(idle, busy...), err
}

func measureObservers(ctx context.Context, name string, interval time.Duration) ([]Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var answerers []*answerer
	defer func() {
		for _, a := range answerers {
			a.close()
		}
	}()
	for i := range observedGroups {
		var addresses []string
		for range targetsPerGroup {
			a, err := newAnswerer(interval)
			if err != nil {
				return nil, err
			}
			answerers = append(answerers, a)
			addresses = append(addresses, a.listener.Addr().String())
		}
		observe(ctx, observer.New(groupSpec(i, addresses...), target.Options{User: "papayacove"}), interval)
	}
	if err := clock.Sleep(ctx, observerSettle); err != nil {
		return nil, err
	}
	before := countCalls(answerers)
	rate, err := measureRate(ctx, 0, observerWindow)
	if err != nil {
		return nil, err
	}
	calls := float64(countCalls(answerers)-before) / rate.Elapsed.Seconds()
	return []Result{
		{"status_calls_per_group_" + name, calls / observedGroups, "1/s"},
		{"status_bytes_per_group_" + name, rate.Written / observedGroups, "B/s"},
		{"status_bytes_per_call_" + name, rate.Written / calls, "B"},
		{"status_processor_per_group_" + name, 100 * rate.Processor / observedGroups, "%core"},
	}, nil
}

// observe runs an observer until ctx ends, with commits when interval is not 0.
func observe(ctx context.Context, watching *observer.Observer, interval time.Duration) {
	watching.Run(ctx)
	if interval == 0 {
		return
	}
	go func() {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for ctx.Err() == nil {
			watching.RecordCommit()
			select {
			case <-ctx.Done():
			case <-ticker.C:
			}
		}
	}()
}

func countCalls(answerers []*answerer) int64 {
	var total int64
	for _, a := range answerers {
		total += a.calls.Load()
	}
	return total
}
