package bench

import (
	"context"
	"fmt"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/target"
)

const (
	// tripDuration is how long replica round trips are measured.
	tripDuration = 2 * time.Second
	// statusWait is the longest time for which a replica delays the reply to a status call until it has received the
	// requested log position.
	statusWait = time.Second
	// statusHeadStart is the time before the commit in which the status calls reach the replicas.
	statusHeadStart = 5 * time.Millisecond
)

// replicaRoundTrip measures the time from a commit at a primary until the first replica has reported that it received
// the commit, without the proxy. That is the least time that any confirmation by a replica takes.
func (r *runningFleet) replicaRoundTrip(ctx context.Context, t measuredTarget) (*latencies, error) {
	relay, err := r.startRelay(t.spec.Address, t.spec.Zone, 0)
	if err != nil {
		return nil, err
	}
	defer relay.Close()
	primary, err := pgx.Connect(ctx, targetURL(relay.Address()))
	if err != nil {
		return nil, err
	}
	defer primary.Close(ctx)
	options := target.Options{User: "papayacove", LocalAddress: r.Deployment.ZoneIP(t.spec.Zone)}
	var replicas []*target.Control
	for _, spec := range t.group.Targets {
		if spec.Name == t.spec.Name {
			continue
		}
		control, err := target.DialControl(ctx, spec.Address, options)
		if err != nil {
			return nil, fmt.Errorf("replica %s: %w", spec.Name, err)
		}
		defer control.Close()
		replicas = append(replicas, control)
	}
	trips := newLatencies()
	for end := time.Now().Add(tripDuration); time.Now().Before(end); {
		trip, err := measureTrip(ctx, primary, replicas)
		if err != nil {
			return nil, err
		}
		trips.record(trip)
	}
	return trips, nil
}

// measureTrip commits once and returns the time from the primary's reply to the commit until the first replica's reply
// to a status call that waits for the commit; 0 if the replica's reply is first. It fails if any status call fails.
func measureTrip(ctx context.Context, primary *pgx.Conn, replicas []*target.Control) (time.Duration, error) {
	before, err := replicas[0].Status(ctx, 0, 0)
	if err != nil {
		return 0, err
	}
	answered := make(chan time.Time, len(replicas))
	failed := make(chan error, len(replicas))
	for _, replica := range replicas {
		go func() {
			_, err := replica.Status(ctx, nextOffset(before.LogPosition()), statusWait)
			if err != nil {
				failed <- err
				return
			}
			answered <- time.Now()
		}()
	}
	time.Sleep(statusHeadStart)
	if _, err := primary.Exec(ctx, writeStatement); err != nil {
		return 0, err
	}
	committed := time.Now()
	var first time.Time
	for range replicas {
		select {
		case err := <-failed:
			return 0, err
		case at := <-answered:
			if first.IsZero() {
				first = at
			}
		}
	}
	return max(first.Sub(committed), 0), nil
}

// nextOffset returns the log offset of the record after a position.
func nextOffset(p api.Position) uint64 {
	return p.Offset + 1
}
