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
	// leaseDuration is how long the lease with which confirmation is compared is valid. The lease is renewed every third
	// of that time.
	leaseDuration = 3 * time.Second
	// platformOutage is how long the platform is down.
	platformOutage = 6 * time.Second
	// baselineDuration is how long write latency is measured before the outage.
	baselineDuration = 2 * time.Second
	// leaseKind and leaseName are the kind and the name of the lease object on the platform.
	leaseKind = "term"
	leaseName = "bench-lease"
)

// measureLease compares three rules for the acknowledgement of writes: at once without a check, under a lease that is
// renewed on the platform, and with confirmation by a replica. It measures the latency of a write and the share of
// writes that are acknowledged during an outage of the platform, and reports how long a failover would have to wait
// for the lease to expire.
func measureLease(ctx context.Context, e *environment) error {
	for _, s := range allSites {
		if err := e.measureSiteLease(ctx, s); err != nil {
			return fmt.Errorf("%s: %w", s.name, err)
		}
	}
	return nil
}

// acknowledger is a writer with its own rule for the acknowledgement of writes, and the results of its writes.
type acknowledger struct {
	name string
	url  string
	// mayWrite is called before a write is sent and again before it is acknowledged; false refuses the write.
	mayWrite  func() bool
	latencies *latencies
	acked     int
	refused   int
}

func (e *environment) measureSiteLease(ctx context.Context, s site) error {
	r, err := e.start(ctx, s, func(o *fleet.Options) { o.SpareSlots = spareSlots })
	if err != nil {
		return err
	}
	defer r.Close()
	primary, err := r.findPrimary()
	if err != nil {
		return err
	}
	routes, closeRelays, err := r.routes(primary)
	if err != nil {
		return err
	}
	defer closeRelays()
	lease, err := startLease(ctx, r)
	if err != nil {
		return err
	}
	defer lease.stop()
	alwaysAllowed := func() bool { return true }
	acknowledgers := []*acknowledger{
		{name: "at_once", url: routes[0].url, mayWrite: alwaysAllowed},
		{name: "lease", url: routes[0].url, mayWrite: lease.holds},
		{name: "confirmed", url: r.url(primary.holder, primary.group.Name, r.strict), mayWrite: alwaysAllowed},
	}
	if err := writeInTurn(ctx, acknowledgers, baselineDuration); err != nil {
		return err
	}
	for _, a := range acknowledgers {
		e.AddDuration(r.figure(e.part, a.name, "write_p50"), a.latencies.percentile(50), Unbounded)
	}
	if err := r.setPlatformDown(true); err != nil {
		return err
	}
	err = writeInTurn(ctx, acknowledgers, platformOutage)
	if restored := r.setPlatformDown(false); err == nil {
		err = restored
	}
	for _, a := range acknowledgers {
		bound := Unbounded
		if a.name == "confirmed" {
			bound = AtLeast(100)
		}
		share := 100 * float64(a.acked) / float64(max(a.acked+a.refused, 1))
		e.Add(r.figure(e.part, a.name, "writes_in_platform_outage"), share, "%", bound)
	}
	e.AddDuration(r.figure(e.part, "lease", "failover_waits_for_lease"), leaseDuration, Unbounded)
	return err
}

// setPlatformDown starts or ends an outage of the platform.
func (r *runningFleet) setPlatformDown(down bool) error {
	return r.Post(r.PlatformAdmin(), "/knobs", map[string]bool{"down": down})
}

// writeInTurn resets the results of the acknowledgers and lets them write in turn for the given time.
func writeInTurn(ctx context.Context, acknowledgers []*acknowledger, duration time.Duration) error {
	connections := make([]*pgx.Conn, len(acknowledgers))
	for i, a := range acknowledgers {
		connection, err := connect(ctx, a.url)
		if err != nil {
			return fmt.Errorf("%s: %w", a.name, err)
		}
		defer closeConnection(connection)
		connections[i] = connection
		a.latencies, a.acked, a.refused = newLatencies(), 0, 0
	}
	for end := time.Now().Add(duration); time.Now().Before(end); {
		for i, a := range acknowledgers {
			a.write(ctx, connections[i])
		}
	}
	return nil
}

// write sends one write, or refuses it, and counts the result.
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
	a.latencies.record(time.Since(began))
}

// leaseHolder holds a lease, an object on the platform that it renews.
type leaseHolder struct {
	client *objectstore.Client
	object api.Object
	// expiresAt is in nanoseconds since the Unix epoch.
	expiresAt atomic.Int64
	cancel    context.CancelFunc
}

// startLease creates the lease on the platform and renews it until stop is called.
func startLease(ctx context.Context, r *runningFleet) (*leaseHolder, error) {
	ctx, cancel := context.WithCancel(ctx)
	h := &leaseHolder{client: objectstore.NewClient(objectstore.Options{URL: r.Deployment.Settings[0].PlatformURL}), cancel: cancel}
	requested := time.Now()
	object, err := h.client.Create(ctx, api.Object{Kind: leaseKind, Name: leaseName, Data: []byte(`{"group":"bench-lease"}`)})
	if err != nil {
		cancel()
		return nil, err
	}
	h.object = object
	h.expiresAt.Store(requested.Add(leaseDuration).UnixNano())
	go h.renew(ctx)
	return h, nil
}

// renew renews the lease until ctx ends. Each renewal is valid from the time at which it was sent.
func (h *leaseHolder) renew(ctx context.Context) {
	for clock.Sleep(ctx, leaseDuration/3) == nil {
		requested := time.Now()
		object, err := h.client.Update(ctx, h.object)
		if err != nil {
			continue
		}
		h.object = object
		h.expiresAt.Store(requested.Add(leaseDuration).UnixNano())
	}
}

// holds reports whether the lease has not expired.
func (h *leaseHolder) holds() bool {
	return time.Now().UnixNano() < h.expiresAt.Load()
}

func (h *leaseHolder) stop() {
	h.cancel()
	h.client.Close()
}
