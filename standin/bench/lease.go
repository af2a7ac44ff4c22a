package bench

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/clock"
	"github.com/papayacove/papayacove/internal/objectstore"
	"github.com/papayacove/papayacove/standin/fleet"
)

const (
	// leaseTime is the length of the lease of the baseline; it is renewed every third of it.
	leaseTime = 3 * time.Second
	// leaseOutage is the time for which the platform is down.
	leaseOutage = 6 * time.Second
	// leaseCalm is the time in which latency is measured before.
	leaseCalm = 2 * time.Second
	leaseKind = "term"
	leaseName = "bench-lease"
)

// measureLease compares confirmation with acknowledging at once and with a lease that is renewed
// through the platform: the latency of a write, the writes during an outage of the platform, and
// the time that a failover must wait for the lease to run out.
func measureLease(ctx context.Context, e *environment) error {
	for _, at := range allSites {
		if err := e.measureSiteLease(ctx, at); err != nil {
			return fmt.Errorf("%s: %w", at.name, err)
		}
	}
	return nil
}

// acknowledger is a way to decide on the acknowledgement of writes.
type acknowledger struct {
	name string
	url  string
	// mayWrite is asked before a write is sent and before it is acknowledged.
	mayWrite func() bool
	took     *latencies
	acked    int
	refused  int
}

func (e *environment) measureSiteLease(ctx context.Context, at site) error {
	r, err := e.start(ctx, at, func(o *fleet.Options) { o.SpareSlots = spareSlots })
	if err != nil {
		return err
	}
	defer r.Close()
	primary, err := r.primaryPlace()
	if err != nil {
		return err
	}
	routes, closeRelays, err := r.routes(primary)
	if err != nil {
		return err
	}
	defer closeRelays()
	holder, err := startLease(ctx, r)
	if err != nil {
		return err
	}
	defer holder.stop()
	always := func() bool { return true }
	ways := []*acknowledger{
		{name: "at_once", url: routes[0].url, mayWrite: always},
		{name: "lease", url: routes[0].url, mayWrite: holder.holds},
		{name: "confirmed", url: r.url(primary.holder, primary.group.Name, r.strict), mayWrite: always},
	}
	if err := takeTurns(ctx, ways, leaseCalm); err != nil {
		return err
	}
	for _, way := range ways {
		e.AddDuration(r.figure(e.part, way.name, "write_p50"), way.took.at(50), Unbounded)
	}
	if err := r.platformDown(true); err != nil {
		return err
	}
	err = takeTurns(ctx, ways, leaseOutage)
	if healed := r.platformDown(false); err == nil {
		err = healed
	}
	for _, way := range ways {
		bound := Unbounded
		if way.name == "confirmed" {
			bound = AtLeast(100)
		}
		share := 100 * float64(way.acked) / float64(max(way.acked+way.refused, 1))
		e.Add(r.figure(e.part, way.name, "writes_in_platform_outage"), share, "%", bound)
	}
	e.AddDuration(r.figure(e.part, "lease", "failover_waits_for_lease"), leaseTime, Unbounded)
	return err
}

func (r *running) platformDown(down bool) error {
	return r.Post(r.PlatformAdmin(), "/knobs", map[string]bool{"down": down})
}

// takeTurns writes in each way in turn for a time and counts anew.
func takeTurns(ctx context.Context, ways []*acknowledger, length time.Duration) error {
	connections := make([]*pgx.Conn, len(ways))
	for i, way := range ways {
		connection, err := connect(ctx, way.url)
		if err != nil {
			return fmt.Errorf("%s: %w", way.name, err)
		}
		defer closeConnection(connection)
		connections[i] = connection
		way.took, way.acked, way.refused = newLatencies(), 0, 0
	}
	for end := time.Now().Add(length); time.Now().Before(end); {
		for i, way := range ways {
			way.write(ctx, connections[i])
		}
	}
	return nil
}

func (a *acknowledger) write(ctx context.Context, connection *pgx.Conn) {
	if !a.mayWrite() {
		a.refused++
		return
	}
	began := time.Now()
	err := write(ctx, connection)
	if err != nil || !a.mayWrite() {
		a.refused++
		return
	}
	a.acked++
	a.took.record(time.Since(began))
}

// leaseHolder renews a lease object on the platform.
type leaseHolder struct {
	client *objectstore.Client
	object api.Object
	until  atomic.Int64
	cancel context.CancelFunc
}

// startLease takes the lease and renews it until stop.
func startLease(ctx context.Context, r *running) (*leaseHolder, error) {
	ctx, cancel := context.WithCancel(ctx)
	h := &leaseHolder{client: objectstore.NewClient(objectstore.Options{URL: r.Deployment.Settings[0].PlatformURL}), cancel: cancel}
	asked := time.Now()
	object, err := h.client.Create(ctx, api.Object{Kind: leaseKind, Name: leaseName, Data: []byte(`{"group":"bench-lease"}`)})
	if err != nil {
		cancel()
		return nil, err
	}
	h.object = object
	h.until.Store(asked.Add(leaseTime).UnixNano())
	go h.renew(ctx)
	return h, nil
}

func (h *leaseHolder) renew(ctx context.Context) {
	for clock.Sleep(ctx, leaseTime/3) == nil {
		asked := time.Now()
		object, err := h.client.Update(ctx, h.object)
		if err != nil {
			continue
		}
		h.object = object
		h.until.Store(asked.Add(leaseTime).UnixNano())
	}
}

// holds reports whether the lease has not run out.
func (h *leaseHolder) holds() bool {
	return time.Now().UnixNano() < h.until.Load()
}

func (h *leaseHolder) stop() {
	h.cancel()
	h.client.Close()
}
