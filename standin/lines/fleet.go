package lines

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/papayacove/papayacove/standin/fleet"
	"github.com/papayacove/papayacove/standin/netfault"
)

// Fleet is a store, a provider and groups in this process, and daemons as processes of their own. Network faults are
// injected by relays, one between the daemons and each target and one between each daemon and the store.
type Fleet struct {
	Store *Store
	// Group is the first of the Groups.
	Group    *Group
	Groups   []*Group
	Provider *Provider
	Daemons  []*Daemon
	// Operator records the versions of the workspaces that the store acknowledged.
	Operator OperatorLog
	// Planned records planned work and disruptions.
	Planned PlannedLog
	Options FleetOptions
	// mu guards the fields below.
	mu sync.Mutex
	// links are the relays between the daemons and the targets, by the id of the target.
	links      map[string]*netfault.Link
	workspaces []Workspace
	// cutZones are the zones that are cut off from the others.
	cutZones map[string]bool
	// releases are the replacements of targets in progress.
	releases sync.WaitGroup
	// version is the version of the configuration.
	version int
	// timeout is the time limit of the routes.
	timeout time.Duration
	stop    chan struct{}
}

// FleetOptions are the options of a fleet.
type FleetOptions struct {
	// Binaries is the folder with the program of the daemons, Folder the one for their logs and settings.
	Binaries, Folder string
	Daemons          int
	// Groups is the number of groups; 0 stands for one.
	Groups int
	// Connections is the number of connections that each target accepts.
	Connections int
	// Sessions is the number of callers with long sessions, for a soak.
	Sessions int
	// Stubborn is the number of callers at each daemon that use their connections until the process is gone, for a soak.
	Stubborn int
	// Timeout is the time limit of the routes; 0 stands for one second.
	Timeout time.Duration
	// PromoteDelay is the shortest time between an order to promote and its effect, which may be two thirds longer; 0
	// stands for 50 ms, and no longer.
	PromoteDelay time.Duration
	// Grace is the time between SIGTERM and SIGKILL to a daemon; 0 stands for 4 s.
	Grace time.Duration
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
	// Zone is its availability zone.
	Zone string
	// PeerLink is the relay that other daemons connect to.
	PeerLink *netfault.Link
	// CallerAddress is the host:port at which the daemon accepts callers.
	CallerAddress string
	// StoreLink is the relay to the store.
	StoreLink *netfault.Link
	// planned records what is done to the daemon, and disrupted the end of the disruption that lasts; nil for none.
	planned   *PlannedLog
	grace     time.Duration
	mu        sync.Mutex
	disrupted func()
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
	// defaultTimeout is the time limit of the routes without an option.
	defaultTimeout = time.Second
	// groupName is the name of the first group.
	groupName = "group"
	// heartbeatInterval is the time between two heartbeats of a target.
	heartbeatInterval = time.Second
	// unreachableCallerTimeout is the time after which a target ends a connection whose other end it does not reach.
	unreachableCallerTimeout = 3 * time.Second
)

// routeKinds are the types of the routes of each group, by database without its suffix.
var routeKinds = map[string]RouteKind{
	StrictDatabase: RoutePrimary, SessionDatabase: RouteReadYourWrites, BoundedStalenessDatabase: RouteBoundedStaleness,
}

// Databases returns the names of the databases of all groups.
func (f *Fleet) Databases() []string {
	var names []string
	for i := range f.Groups {
		for _, name := range sortedNames(routeKinds) {
			names = append(names, name+suffix(i))
		}
	}
	return names
}

// StartFleet starts a fleet. If it fails, the parts that it has started are not stopped.
func StartFleet(options FleetOptions) (*Fleet, error) {
	store, err := NewStore()
	if err != nil {
		return nil, err
	}
	f := &Fleet{
		Store: store, links: map[string]*netfault.Link{}, cutZones: map[string]bool{}, Options: options, workspaces: options.Workspaces, version: 1, stop: make(chan struct{}),
		timeout: options.Timeout,
	}
	if f.timeout == 0 {
		f.timeout = defaultTimeout
	}
	for i := range max(1, options.Groups) {
		if err := f.startGroup(i); err != nil {
			return nil, err
		}
	}
	f.Group = f.Groups[0]
	if f.Provider, err = NewProvider(f.Groups...); err != nil {
		return nil, err
	}
	f.configure()
	for i := range options.Daemons {
		d, err := f.startDaemon(i)
		if err != nil {
			return nil, err
		}
		f.mu.Lock()
		f.Daemons = append(f.Daemons, d)
		f.mu.Unlock()
	}
	go f.sendHeartbeats()
	if options.Sessions+options.Stubborn > 0 {
		go f.followPrimaries()
	}
	return f, nil
}

// startGroup starts a group of the fleet. The names of the first one, and the ids of its targets, have no suffix.
func (f *Fleet) startGroup(number int) error {
	var ids []string
	for _, id := range targetIDs {
		ids = append(ids, id+suffix(number))
	}
	group, err := NewGroup(f.Store, groupName+suffix(number), ids...)
	if err != nil {
		return err
	}
	group.sourceOf = func(target string, conn net.Conn) string {
		return f.TargetLink(target).SourceOf(conn.RemoteAddr().String())
	}
	group.LimitConnections(f.Options.Connections)
	if delay := f.Options.PromoteDelay; delay > 0 {
		group.SetPromoteDelay(delay)
		group.spreadPromoteDelay(delay * 2 / 3)
	}
	f.Groups = append(f.Groups, group)
	for _, id := range ids {
		if err := f.relayTarget(group.Target(id)); err != nil {
			return err
		}
	}
	return nil
}

// relayTarget puts a relay between the daemons and a target.
func (f *Fleet) relayTarget(d *Target) error {
	d.service = ServiceTime
	d.SetLag(5 * time.Millisecond)
	link := netfault.New(netfault.Options{
		Target: d.Address(), DropHalfOpenAfter: unreachableCallerTimeout,
		InitialPathFaults: func(source string) netfault.PathFaults {
			return netfault.PathFaults{Partitioned: f.isCut(f.zoneOf(source), d.zone)}
		},
	})
	if err := link.Start(); err != nil {
		return err
	}
	f.mu.Lock()
	f.links[d.ID] = link
	f.mu.Unlock()
	d.Advertise(link.Address())
	return nil
}

// TargetLink returns the relay between the daemons and a target.
func (f *Fleet) TargetLink(id string) *netfault.Link {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.links[id]
}

// suffix is what the names of a group, of its targets and of its databases end with.
func suffix(group int) string {
	if group == 0 {
		return ""
	}
	return fmt.Sprintf("-%d", group+1)
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

// CommitCounts returns how many records in the logs of the primaries write each value to an item.
func (f *Fleet) CommitCounts() map[Write]int {
	counts := map[Write]int{}
	for _, g := range f.Groups {
		g.addCommitCounts(counts)
	}
	return counts
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

// SetTimeout writes a new version of the configuration, with another time limit of the routes.
func (f *Fleet) SetTimeout(timeout time.Duration) {
	f.mu.Lock()
	f.version++
	f.timeout = timeout
	f.mu.Unlock()
	f.configure()
}

// configure writes the configuration.
func (f *Fleet) configure() {
	f.mu.Lock()
	defer f.mu.Unlock()
	routes, backends := []map[string]any{}, []map[string]any{}
	var known []Route
	for i, group := range f.Groups {
		for name, kind := range routeKinds {
			known = append(known, Route{Database: name + suffix(i), Kind: kind, Group: group.Name})
		}
		backends = append(backends, map[string]any{"Name": group.Name, "MaxConns": f.Options.Connections, "SyncReplicas": 1})
	}
	for _, r := range known {
		routes = append(routes, map[string]any{
			"Name": "r-" + r.Database, "Host": r.Database, "Type": string(r.Kind),
			"TimeoutMs": f.timeout.Milliseconds(), "TargetLatencyMs": 400, "Priority": 1,
			"Backend": r.Group, "MaxStalenessMs": MaxStaleness.Milliseconds(),
		})
	}
	configuration := map[string]any{
		"Version": f.version, "Routes": routes, "Limits": map[string]any{"IdleTxMs": 3000}, "Backends": backends,
	}
	if len(f.workspaces) > 0 {
		configuration["Tenants"] = f.workspaces
	}
	f.Operator.recordRoutes(time.Now(), known)
	acknowledged := f.Planned.recordConfiguration(f.timeout)
	f.Store.Put("config", "main", configuration)
	acknowledged()
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
		for _, group := range f.Groups {
			group.writeEntries()
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
grace_s = %.1f
drain_timeout_ms = %d
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
	if len(f.Options.Workspaces) > 0 {
		bounds = FleetBounds.text()
	}
	text := fmt.Sprintf(settingsText, number+1, number%len(targetIDs)+1, host.CallerAddress(), host.PeerAddress(), host.AdminAddress(),
		store.Address(), host, host.ReadinessAddress(), f.Provider.URL(), f.gracePeriod().Seconds(), f.drainTimeout().Milliseconds(), bounds)
	path := filepath.Join(f.Options.Folder, fmt.Sprintf("daemon-%d.toml", number+1))
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		return nil, err
	}
	process := fleet.NewProcess(fmt.Sprintf("daemon-%d", number+1), filepath.Join(f.Options.Binaries, "papayacove"), f.Options.Folder, "run", "--settings", path)
	d := &Daemon{
		Process: process, CallerAddress: host.CallerAddress(), Source: string(host), Zone: fmt.Sprintf("zone-%d", number%len(targetIDs)+1), PeerLink: peers, StoreLink: store,
		planned: &f.Planned, grace: f.gracePeriod(),
	}
	return d, d.Start()
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
	for _, group := range f.Groups {
		for _, id := range group.IDs() {
			group.Target(id).Crash()
			_ = f.TargetLink(id).Close()
		}
	}
	f.Store.Close()
	f.Provider.Close()
}
