package lines

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/papayacove/papayacove/standin/fleet"
	"github.com/papayacove/papayacove/standin/netfault"
)

// Fleet is a store, a provider and a group in this process, and daemons as processes of their own. Network faults are
// injected by relays, one between the daemons and each target and one between each daemon and the store.
type Fleet struct {
	Store    *Store
	Group    *Group
	Provider *Provider
	Daemons  []*Daemon
	// TargetLinks are the relays between the daemons and the targets, by the id of the target.
	TargetLinks map[string]*netfault.Link
	// Operator records the versions of the workspaces that the store acknowledged.
	Operator OperatorLog
	options  FleetOptions
	// mu guards workspaces and version.
	mu         sync.Mutex
	workspaces []Workspace
	// version is the version of the configuration.
	version int
	stop    chan struct{}
}

// FleetOptions are the options of a fleet.
type FleetOptions struct {
	// Binaries is the folder with the program of the daemons, Folder the one for their logs and settings.
	Binaries, Folder string
	Daemons          int
	// Connections is the number of connections that each target accepts.
	Connections int
	// Workspaces are the workspaces of the configuration. Without them callers state no keys and nothing is limited.
	Workspaces []Workspace
}

// FleetBounds are the bounds that the settings of a fleet with workspaces state.
var FleetBounds = Bounds{Revoke: 3 * time.Second, ConfigApply: 3 * time.Second, Window: 2 * time.Second, Overage: 0.1, Slack: 10}

// Daemon is the process of one daemon with the relays between it and the store and between other daemons and it.
type Daemon struct {
	*fleet.Process
	// Source is the IP address that its connections come from.
	Source string
	// PeerLink is the relay that other daemons connect to.
	PeerLink *netfault.Link
	// CallerAddress is the host:port at which the daemon accepts callers.
	CallerAddress string
	// StoreLink is the relay to the store.
	StoreLink *netfault.Link
}

// targetIDs are the ids of the targets of a fleet.
var targetIDs = []string{"a", "b", "c"}

// The databases of the fleet's configuration. They differ in the type of their routes: primary, read_your_writes and
// bounded_staleness.
const (
	StrictDatabase           = "strict"
	SessionDatabase          = "session"
	BoundedStalenessDatabase = "aged"
	// MaxStaleness is the largest staleness that reads of BoundedStalenessDatabase accept.
	MaxStaleness = 1500 * time.Millisecond
	// heartbeatInterval is the time between two heartbeats of a target.
	heartbeatInterval = time.Second
)

// StartFleet starts a fleet. If it fails, the parts that it has started are not stopped.
func StartFleet(options FleetOptions) (*Fleet, error) {
	store, err := NewStore()
	if err != nil {
		return nil, err
	}
	group, err := NewGroup(store, "group", targetIDs...)
	if err != nil {
		return nil, err
	}
	provider, err := NewProvider(group)
	if err != nil {
		return nil, err
	}
	group.LimitConnections(options.Connections)
	f := &Fleet{
		Store: store, Group: group, Provider: provider, TargetLinks: map[string]*netfault.Link{}, options: options,
		workspaces: options.Workspaces, version: 1, stop: make(chan struct{}),
	}
	for _, id := range targetIDs {
		d := group.Target(id)
		d.service = 2 * time.Millisecond
		d.SetLag(5 * time.Millisecond)
		if f.TargetLinks[id], err = startRelay(d.Address(), ""); err != nil {
			return nil, err
		}
		d.Advertise(f.TargetLinks[id].Address())
	}
	f.configure()
	for i := range options.Daemons {
		d, err := f.startDaemon(i)
		if err != nil {
			return nil, err
		}
		f.Daemons = append(f.Daemons, d)
	}
	go f.sendHeartbeats()
	return f, nil
}

// startRelay starts a relay to an address whose connections come from the IP address source; if it is empty, the system
// chooses one.
func startRelay(address, source string) (*netfault.Link, error) {
	link := netfault.New(netfault.Options{Target: address, LocalAddress: source})
	if err := link.Start(); err != nil {
		return nil, err
	}
	return link, nil
}

// Restore brings the store back from a copy of the given age. As after a real restore, the operator writes the
// configuration again, and the targets write their entries with their next heartbeats.
func (f *Fleet) Restore(age time.Duration) {
	f.Operator.recordRestore(time.Now().Add(-age))
	f.Store.Restore(age)
	time.AfterFunc(heartbeatInterval/2, f.configure)
}

// Workspaces returns the workspaces of the last configuration.
func (f *Fleet) Workspaces() []Workspace {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.workspaces)
}

// SetWorkspaces writes a new version of the configuration, with other workspaces. It works also while the store is down
// for daemons.
func (f *Fleet) SetWorkspaces(workspaces []Workspace) {
	f.mu.Lock()
	f.version++
	f.workspaces = slices.Clone(workspaces)
	f.mu.Unlock()
	f.configure()
}

// configure writes the configuration.
func (f *Fleet) configure() {
	f.mu.Lock()
	defer f.mu.Unlock()
	routes := []map[string]any{}
	for name, kind := range map[string]string{StrictDatabase: "primary", SessionDatabase: "read_your_writes", BoundedStalenessDatabase: "bounded_staleness"} {
		routes = append(routes, map[string]any{
			"Name": "r-" + name, "Host": name, "Type": kind, "TimeoutMs": 1000, "TargetLatencyMs": 400, "Priority": 1,
			"Backend": "group", "MaxStalenessMs": MaxStaleness.Milliseconds(),
		})
	}
	configuration := map[string]any{
		"Version": f.version, "Routes": routes, "Limits": map[string]any{"IdleTxMs": 3000},
		"Backends": []map[string]any{{"Name": "group", "MaxConns": f.options.Connections, "SyncReplicas": 1}},
	}
	if len(f.workspaces) > 0 {
		configuration["Tenants"] = f.workspaces
	}
	f.Store.Put("config", "main", configuration)
	f.Operator.record(time.Now(), f.workspaces)
}

// sendHeartbeats rewrites the entries of the targets until the fleet is closed, as real targets do, so that lapsed
// entries are restored. It skips heartbeats while the store is down.
func (f *Fleet) sendHeartbeats() {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-f.stop:
			return
		case <-ticker.C:
		}
		if f.Store.Down.Load() {
			continue
		}
		for _, id := range targetIDs {
			f.Group.Target(id).WriteEntry()
		}
	}
}

// settingsText is the settings file of a daemon.
const settingsText = `name = "daemon-%d"
region = "region"
zone = "zone-%d"
protocol = "lines"
caller_address = "%s"
peer_address = "%s"
admin_address = "%s"
platform_url = "http://%s"
source_address = "%s"

[fleet]
readiness_address = "%s"
promotion_url = "%s"
grace_s = 4.0
drain_timeout_ms = 7000
config_apply_ms = 3000
memory_mb = 400
max_descriptors = 4000
%s`

// text returns the lines of the settings that state the bounds.
func (b Bounds) text() string {
	return fmt.Sprintf("revoke_ms = %d\nquota_window_s = %.1f\nquota_overage = %.2f\nquota_slack = %.1f\n",
		b.Revoke.Milliseconds(), b.Window.Seconds(), b.Overage, b.Slack)
}

func (f *Fleet) startDaemon(number int) (*Daemon, error) {
	host := NewHost()
	store, err := startRelay(f.Store.listener.Addr().String(), string(host))
	if err != nil {
		return nil, err
	}
	peers, err := startRelay(host.PeerAddress(), string(host))
	if err != nil {
		return nil, err
	}
	f.Store.Substitute(host.PeerAddress(), peers.Address())
	bounds := ""
	if len(f.options.Workspaces) > 0 {
		bounds = FleetBounds.text()
	}
	text := fmt.Sprintf(settingsText, number+1, number%len(targetIDs)+1, host.CallerAddress(), host.PeerAddress(), host.AdminAddress(),
		store.Address(), host, host.ReadinessAddress(), f.Provider.URL(), bounds)
	path := filepath.Join(f.options.Folder, fmt.Sprintf("daemon-%d.toml", number+1))
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		return nil, err
	}
	process := fleet.NewProcess(fmt.Sprintf("daemon-%d", number+1), filepath.Join(f.options.Binaries, "papayacove"), f.options.Folder, "run", "--settings", path)
	return &Daemon{Process: process, CallerAddress: host.CallerAddress(), Source: string(host), PeerLink: peers, StoreLink: store}, process.Start()
}

// LastActor returns the daemon that last changed an object of the store under a condition, such as a promotion lock; nil if
// none has.
func (f *Fleet) LastActor() *Daemon {
	source, _ := f.Store.lastConditionalWriter.Load().(string)
	for _, d := range f.Daemons {
		if d.Source == source {
			return d
		}
	}
	return nil
}

// CutFromDaemons cuts a daemon off from all others in both directions, or ends that.
func (f *Fleet) CutFromDaemons(d *Daemon, cut bool) {
	d.PeerLink.SetFaults(netfault.Faults{Partitioned: cut})
	for _, other := range f.Daemons {
		other.PeerLink.SetPathFaults(d.Source, netfault.PathFaults{Partitioned: cut})
	}
}

// lastHost is the number of hosts that NewHost has returned in this process.
var lastHost atomic.Uint32

// The TCP ports of a daemon on its own host.
const (
	callerPort = 7001 + iota
	peerPort
	adminPort
	readyPort
)

// Host is a loopback IP address for the ports of one daemon. The ports are free, because nothing else listens on the
// address and outgoing connections use ports of the ephemeral range.
type Host string

// NewHost returns the next host. Its address is derived from the process id modulo 32768, so that test processes that
// run at the same time use different ones. A process gets the same addresses again after 250 calls.
func NewHost() Host {
	pid := os.Getpid()
	return Host(fmt.Sprintf("127.%d.%d.%d", 64+pid%128, pid/128%256, 1+lastHost.Add(1)%250))
}

func (h Host) address(port int) string { return fmt.Sprintf("%s:%d", h, port) }

// CallerAddress returns the host:port at which the daemon accepts callers.
func (h Host) CallerAddress() string { return h.address(callerPort) }

// PeerAddress returns the host:port for other daemons.
func (h Host) PeerAddress() string { return h.address(peerPort) }

// AdminAddress returns the host:port for operators.
func (h Host) AdminAddress() string { return h.address(adminPort) }

// ReadinessAddress returns the host:port for readiness probes.
func (h Host) ReadinessAddress() string { return h.address(readyPort) }

// Close ends all processes, relays and servers of the fleet. Frozen daemons are resumed first.
func (f *Fleet) Close() {
	close(f.stop)
	for _, d := range f.Daemons {
		d.Resume()
		d.Kill()
		_ = d.StoreLink.Close()
		_ = d.PeerLink.Close()
	}
	for id, link := range f.TargetLinks {
		_ = link.Close()
		f.Group.Target(id).Crash()
	}
	f.Store.Close()
	f.Provider.Close()
}
