package bench

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/papayacove/papayacove/standin/fleet"
	"github.com/papayacove/papayacove/standin/netfault"
	"github.com/papayacove/papayacove/standin/workload"
)

const (
	// localAddedMs and forwardedAddedMs bound what the proxy adds to the p50 latency of a statement, at the holder of
	// the target and through a daemon that forwards to the holder.
	localAddedMs     = 0.3
	forwardedAddedMs = 0.8
	// confirmationAddedMs bounds what the confirmation of a write adds beyond one replica round trip.
	confirmationAddedMs = 0.5
	// pathDuration is how long the routes to a target are measured, in turn.
	pathDuration = 2500 * time.Millisecond
	// warmUpRounds is the number of statements on each connection before the measurement begins.
	warmUpRounds = 50
	// throughputDuration and throughputCallers are the length of the throughput measurement and its parallel callers.
	throughputDuration = 500 * time.Millisecond
	throughputCallers  = 8
	// spareSlots is the number of connections that targets accept for the direct routes, beyond the slots that the
	// proxy may use.
	spareSlots = 3 * throughputCallers

	readStatement  = "SELECT value FROM clock WHERE name = 'clock'"
	writeStatement = "UPDATE clock SET value = value + 1 WHERE name = 'clock'"
)

// measurePaths compares the latency of statements that go directly to a target with that of statements through the
// gate of the caller's daemon and through a daemon that forwards to the holder, over links with the same delays.
func measurePaths(ctx context.Context, e *environment) error {
	for _, s := range []site{zeroSite, kelaniSite, lichtbildSite} {
		if err := e.measureSitePaths(ctx, s); err != nil {
			return fmt.Errorf("%s: %w", s.name, err)
		}
	}
	return nil
}

func (e *environment) measureSitePaths(ctx context.Context, s site) error {
	r, err := e.start(ctx, s, func(o *fleet.Options) { o.SpareSlots = spareSlots })
	if err != nil {
		return err
	}
	defer r.Close()
	replica, err := r.findReplica()
	if err != nil {
		return err
	}
	reads, err := e.compareRoutes(ctx, r, replica, "read", readStatement)
	if err != nil {
		return err
	}
	e.AddDuration(r.figure(e.part, "read", "local_added_p50"), reads.localAdded, AtMost(localAddedMs))
	e.AddDuration(r.figure(e.part, "read", "forwarded_added_p50"), reads.forwardedAdded, AtMost(forwardedAddedMs))
	primary, err := r.findPrimary()
	if err != nil {
		return err
	}
	writes, err := e.compareRoutes(ctx, r, primary, "write", writeStatement)
	if err != nil {
		return err
	}
	trips, err := r.replicaRoundTrip(ctx, primary)
	if err != nil {
		return fmt.Errorf("replica round trip: %w", err)
	}
	replicaTrip := milliseconds(trips.percentile(50))
	e.Add(r.figure(e.part, "write", "replica_round_trip_p50"), replicaTrip, "ms", Unbounded)
	confirmation := writes.localAdded - reads.localAdded
	e.AddDuration(r.figure(e.part, "write", "local_added_p50"), writes.localAdded, AtMost(replicaTrip+confirmationAddedMs+localAddedMs))
	e.AddDuration(r.figure(e.part, "write", "forwarded_added_p50"), writes.forwardedAdded, AtMost(replicaTrip+confirmationAddedMs+forwardedAddedMs))
	e.AddDuration(r.figure(e.part, "write", "confirmation_p50"), confirmation, AtMost(replicaTrip+confirmationAddedMs))
	return nil
}

// comparison is what the proxy adds to the p50 latency of a statement, compared with a direct route over as many
// links.
type comparison struct {
	localAdded     time.Duration
	forwardedAdded time.Duration
}

// route is one way to reach a target, with the latencies measured over it.
type route struct {
	name      string
	url       string
	latencies *latencies
}

// compareRoutes measures a statement over all routes in turn, so that noise on the machine affects all routes alike.
func (e *environment) compareRoutes(ctx context.Context, r *runningFleet, t measuredTarget, kind, statement string) (comparison, error) {
	routes, closeRelays, err := r.routes(t)
	if err != nil {
		return comparison{}, err
	}
	defer closeRelays()
	if err := measureInTurn(ctx, routes, statement); err != nil {
		return comparison{}, err
	}
	p50 := make(map[string]time.Duration)
	for _, rt := range routes {
		p50[rt.name] = rt.latencies.percentile(50)
		e.AddDuration(r.figure(e.part, kind, rt.name, "p50"), rt.latencies.percentile(50), Unbounded)
		e.AddDuration(r.figure(e.part, kind, rt.name, "p99"), rt.latencies.percentile(99), Unbounded)
		rate, err := throughput(ctx, rt.url, statement)
		if err != nil {
			return comparison{}, err
		}
		e.Add(r.figure(e.part, kind, rt.name, "throughput"), rate, "1/s", Unbounded)
	}
	return comparison{
		localAdded:     p50["local"] - p50["direct"],
		forwardedAdded: p50["forwarded"] - p50["direct_two_hops"],
	}, nil
}

// routes returns the routes to a target and a function that closes their relays. The direct routes pass through as
// many relays, with the same delays, as the routes through the proxy.
func (r *runningFleet) routes(t measuredTarget) ([]route, func(), error) {
	oneHop, twoHops := t.spec.Address, t.spec.Address
	closeAll := func() {}
	if r.site.callerLatency > 0 {
		peerHop, err := r.startRelay(t.spec.Address, t.spec.Zone, 0)
		if err != nil {
			return nil, nil, err
		}
		callerHop, err := r.startRelay(t.spec.Address, t.spec.Zone, r.site.callerLatency)
		if err != nil {
			return nil, nil, err
		}
		firstHop, err := r.startRelay(peerHop.Address(), t.spec.Zone, r.site.callerLatency)
		if err != nil {
			return nil, nil, err
		}
		oneHop, twoHops = callerHop.Address(), firstHop.Address()
		closeAll = func() {
			_ = firstHop.Close()
			_ = callerHop.Close()
			_ = peerHop.Close()
		}
	}
	routes := []route{
		{name: "direct", url: targetURL(oneHop)},
		{name: "direct_two_hops", url: targetURL(twoHops)},
		{name: "local", url: r.url(t.holder, t.group.Name, r.strict)},
		{name: "forwarded", url: r.url(t.forwarder, t.group.Name, r.strict)},
	}
	for i := range routes {
		routes[i].latencies = newLatencies()
	}
	return routes, closeAll, nil
}

// startRelay starts a relay to an address that connects from the loopback address of an availability zone. It delays
// the data in each direction by delay.
func (r *runningFleet) startRelay(address, zone string, delay time.Duration) (*netfault.Link, error) {
	link := netfault.New(netfault.Options{
		Target: address, LocalAddress: r.Deployment.ZoneIP(zone),
		InitialPathFaults: func(string) netfault.PathFaults { return netfault.PathFaults{Delay: delay} },
	})
	return link, link.Start()
}

// targetURL returns the connect string of a target behind an address.
func targetURL(address string) string {
	host, port, _ := net.SplitHostPort(address)
	return fmt.Sprintf("postgres://papayacove@%s:%s/postgres?sslmode=disable", host, port)
}

// measureInTurn runs a statement over each route in turn for pathDuration and records the latencies.
func measureInTurn(ctx context.Context, routes []route, statement string) error {
	connections := make([]*pgx.Conn, len(routes))
	for i, rt := range routes {
		connection, err := pgx.Connect(ctx, rt.url)
		if err != nil {
			return fmt.Errorf("%s: %w", rt.name, err)
		}
		defer connection.Close(ctx)
		connections[i] = connection
	}
	end := time.Now().Add(pathDuration)
	for round := 0; time.Now().Before(end); round++ {
		for i, rt := range routes {
			began := time.Now()
			if _, err := connections[i].Exec(ctx, statement); err != nil {
				return fmt.Errorf("%s: %w", rt.name, err)
			}
			if round >= warmUpRounds {
				rt.latencies.record(time.Since(began))
			}
		}
	}
	return nil
}

// throughput returns the statements per second that throughputCallers complete in parallel.
func throughput(ctx context.Context, url, statement string) (float64, error) {
	var callers sync.WaitGroup
	counts := make([]int, throughputCallers)
	failures := make([]error, throughputCallers)
	end := time.Now().Add(throughputDuration)
	for i := range throughputCallers {
		callers.Go(func() { counts[i], failures[i] = countStatements(ctx, url, statement, end) })
	}
	callers.Wait()
	total := 0
	for i := range counts {
		if failures[i] != nil {
			return 0, failures[i]
		}
		total += counts[i]
	}
	return float64(total) / throughputDuration.Seconds(), nil
}

// countStatements runs a statement repeatedly over one connection until end and returns the number of completed runs.
func countStatements(ctx context.Context, url, statement string, end time.Time) (int, error) {
	connection, err := pgx.Connect(ctx, url)
	if err != nil {
		return 0, err
	}
	defer connection.Close(ctx)
	done := 0
	for time.Now().Before(end) {
		if _, err := connection.Exec(ctx, statement); err != nil {
			return done, err
		}
		done++
	}
	return done, nil
}

// url returns the connect string of an account at a daemon.
func (r *runningFleet) url(daemon, group string, account workload.Account) string {
	return r.ConnectURL(daemon, account.Workspace, group, account.User, account.Password)
}
