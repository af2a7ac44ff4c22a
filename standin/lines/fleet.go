package lines

import (
	"fmt"
	"os"
	"path/filepath"
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
	// connections is the limit of each target.
	connections int
	stop        chan struct{}
}

// Daemon is the process of one daemon with the relay between it and the store.
type Daemon struct {
	*fleet.Process
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

// StartFleet starts a fleet whose targets accept the given number of connections. The program of the daemons is read from
// the folder binaries; their logs and settings are written to folder. If it fails, the parts that it has started are not
// stopped.
func StartFleet(binaries, folder string, daemons, connections int) (*Fleet, error) {
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
	group.LimitConnections(connections)
	f := &Fleet{Store: store, Group: group, Provider: provider, TargetLinks: map[string]*netfault.Link{}, connections: connections, stop: make(chan struct{})}
	for _, id := range targetIDs {
		d := group.Target(id)
		d.service = 2 * time.Millisecond
		d.SetLag(5 * time.Millisecond)
		if f.TargetLinks[id], err = startRelay(d.Address()); err != nil {
			return nil, err
		}
		d.Advertise(f.TargetLinks[id].Address())
	}
	f.configure()
	for i := range daemons {
		d, err := f.startDaemon(binaries, folder, i)
		if err != nil {
			return nil, err
		}
		f.Daemons = append(f.Daemons, d)
	}
	go f.sendHeartbeats()
	return f, nil
}

func startRelay(address string) (*netfault.Link, error) {
	link := netfault.New(netfault.Options{Target: address})
	if err := link.Start(); err != nil {
		return nil, err
	}
	return link, nil
}

// Restore brings the store back from a copy of the given age. As after a real restore, the operator writes the
// configuration again, and the targets write their entries with their next heartbeats.
func (f *Fleet) Restore(age time.Duration) {
	f.Store.Restore(age)
	time.AfterFunc(heartbeatInterval/2, f.configure)
}

func (f *Fleet) configure() {
	routes := []map[string]any{}
	for name, kind := range map[string]string{StrictDatabase: "primary", SessionDatabase: "read_your_writes", BoundedStalenessDatabase: "bounded_staleness"} {
		routes = append(routes, map[string]any{
			"Name": "r-" + name, "Host": name, "Type": kind, "TimeoutMs": 1000, "TargetLatencyMs": 400, "Priority": 1,
			"Backend": "group", "MaxStalenessMs": MaxStaleness.Milliseconds(),
		})
	}
	f.Store.Put("config", "main", map[string]any{
		"Version": 1, "Routes": routes, "Limits": map[string]any{"IdleTxMs": 3000},
		"Backends": []map[string]any{{"Name": "group", "MaxConns": f.connections, "SyncReplicas": 1}},
	})
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

[fleet]
readiness_address = "%s"
promotion_url = "%s"
grace_s = 4.0
drain_timeout_ms = 7000
config_apply_ms = 3000
memory_mb = 400
max_descriptors = 4000
`

func (f *Fleet) startDaemon(binaries, folder string, number int) (*Daemon, error) {
	store, err := startRelay(f.Store.listener.Addr().String())
	if err != nil {
		return nil, err
	}
	host := NewHost()
	text := fmt.Sprintf(settingsText, number+1, number%len(targetIDs)+1, host.CallerAddress(), host.PeerAddress(), host.AdminAddress(), store.Address(), host.ReadinessAddress(), f.Provider.URL())
	path := filepath.Join(folder, fmt.Sprintf("daemon-%d.toml", number+1))
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		return nil, err
	}
	process := fleet.NewProcess(fmt.Sprintf("daemon-%d", number+1), filepath.Join(binaries, "papayacove"), folder, "run", "--settings", path)
	return &Daemon{Process: process, CallerAddress: host.CallerAddress(), StoreLink: store}, process.Start()
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
// address and no outgoing connection comes from it.
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
	}
	for id, link := range f.TargetLinks {
		_ = link.Close()
		f.Group.Target(id).Crash()
	}
	f.Store.Close()
	f.Provider.Close()
}
