package lines_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/config"
	"github.com/papayacove/papayacove/internal/lineproxy"
	"github.com/papayacove/papayacove/standin/lines"
)

func TestMain(m *testing.M) {
	logrus.SetOutput(io.Discard)
	code := m.Run()
	if binariesFolder != "" {
		_ = os.RemoveAll(binariesFolder)
	}
	os.Exit(code)
}

// waitTimeout is the longest wait for a condition that must become true.
const waitTimeout = 20 * time.Second

// settleTime is a wait that is longer than the 3 s of the engine's removalGrace, after which a daemon considers the
// target entries of the store complete.
const settleTime = 3500 * time.Millisecond

// cluster is a store, a provider, one group of three targets and some daemons in the process of the test.
type cluster struct {
	t        *testing.T
	store    *lines.Store
	group    *lines.Group
	provider *lines.Provider
	daemons  []*daemon
	// connections is the limit of each target in the configuration.
	connections int
}

// daemon is a running proxy.
type daemon struct {
	callerAddress string
	readinessURL  string
	// stop starts a planned stop.
	stop context.CancelFunc
	// ended is closed when the proxy has ended.
	ended chan struct{}
}

const (
	strictDatabase           = "strict"
	sessionDatabase          = "session"
	boundedStalenessDatabase = "aged"
)

func newCluster(t *testing.T, daemons int) *cluster {
	t.Helper()
	store, err := lines.NewStore()
	must(t, err)
	group, err := lines.NewGroup(store, "group", "a", "b", "c")
	must(t, err)
	provider, err := lines.NewProvider(group)
	must(t, err)
	c := &cluster{t: t, store: store, group: group, provider: provider, connections: 40}
	c.configure(1, strictDatabase, sessionDatabase, boundedStalenessDatabase)
	for i := range daemons {
		c.daemons = append(c.daemons, c.start(i))
	}
	t.Cleanup(func() {
		for _, d := range c.daemons {
			d.stop()
		}
		store.Close()
		provider.Close()
		for _, name := range []string{"a", "b", "c"} {
			group.Target(name).Crash()
		}
	})
	for _, d := range c.daemons {
		c.await("the daemon is ready", func() bool { return d.isReady() })
		c.await("a strict read", func() bool { return c.try(d, strictDatabase, "READ start").Code == "" })
	}
	return c
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// configure writes a version of the configuration with routes for the databases.
func (c *cluster) configure(version int, databases ...string) {
	types := map[string]string{strictDatabase: "primary", sessionDatabase: "read_your_writes", boundedStalenessDatabase: "bounded_staleness"}
	routes := []map[string]any{}
	for _, name := range databases {
		kind, ok := types[name]
		if !ok {
			kind = "primary"
		}
		routes = append(routes, map[string]any{
			"Name": "r-" + name, "Host": name, "Type": kind, "TimeoutMs": 2000, "TargetLatencyMs": 1000, "Priority": 1,
			"Backend": "group", "MaxStalenessMs": 1500,
		})
	}
	c.store.Put("config", "main", map[string]any{
		"Version": version, "Routes": routes, "Limits": map[string]any{"IdleTxMs": 3000},
		"Backends": []map[string]any{{"Name": "group", "MaxConns": c.connections, "SyncReplicas": 1}},
	})
}

func (c *cluster) start(number int) *daemon {
	c.t.Helper()
	settings := config.Default()
	settings.Name, settings.Region, settings.Zone = fmt.Sprintf("daemon-%d", number+1), "region", fmt.Sprintf("zone-%d", number+1)
	settings.Protocol = api.SettingsProtocolLines
	host := lines.NewHost()
	settings.CallerAddress, settings.AdminAddress, settings.PeerAddress = host.CallerAddress(), host.AdminAddress(), host.PeerAddress()
	settings.PlatformURL = c.store.URL()
	settings.Fleet = api.FleetSettings{
		ReadinessAddress: host.ReadinessAddress(), PromotionURL: c.provider.URL(), GraceS: 6, DrainTimeoutMs: 7000, ConfigApplyMs: 3000,
		MemoryMb: 400, MaxDescriptors: 4000,
	}
	must(c.t, config.Check(settings))
	ctx, stop := context.WithCancel(context.Background())
	d := &daemon{callerAddress: settings.CallerAddress, readinessURL: "http://" + settings.Fleet.ReadinessAddress + "/v1/ready", stop: stop, ended: make(chan struct{})}
	go func() {
		defer close(d.ended)
		if err := lineproxy.New(settings).Run(ctx); err != nil {
			c.t.Error(err)
		}
	}()
	return d
}

func (d *daemon) isReady() bool {
	response, err := http.Get(d.readinessURL)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// await waits until a condition holds and fails the test after waitTimeout.
func (c *cluster) await(what string, holds func() bool) {
	c.t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if holds() {
			return
		}
	}
	c.t.Fatalf("timed out waiting for: %s", what)
}

// try runs one statement in a new session. The code is UNCONNECTED if the session could not be opened, and
// DISCONNECTED if the connection failed before the response was complete.
func (c *cluster) try(d *daemon, database, text string) lines.Result {
	caller, err := lines.Dial(d.callerAddress, database)
	if err != nil {
		return lines.Result{Code: "UNCONNECTED", Text: err.Error()}
	}
	defer caller.Close()
	r, err := caller.Run(text)
	if err != nil {
		return lines.Result{Code: "DISCONNECTED", Text: err.Error()}
	}
	return r
}

func (c *cluster) dial(d *daemon, database string) *lines.Caller {
	c.t.Helper()
	caller, err := lines.Dial(d.callerAddress, database)
	must(c.t, err)
	c.t.Cleanup(caller.Close)
	return caller
}

// run runs a statement and fails the test unless it succeeds.
func (c *cluster) run(caller *lines.Caller, text string) lines.Result {
	c.t.Helper()
	r, err := caller.Run(text)
	must(c.t, err)
	if r.Code != "" {
		c.t.Fatalf("%s: got error %s %s, want success", text, r.Code, r.Text)
	}
	return r
}
