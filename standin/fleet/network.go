package fleet

import (
	"fmt"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/standin/netfault"
)

// relayOffset is added to the port that others connect to, where a relay listens, to get the port of
// the process behind the relay.
const relayOffset = 2000

// network holds the relays in front of the processes of a fleet. The source address of a connection
// shows the availability zone it comes from; a source address of no zone is a caller.
type network struct {
	deployment  *Deployment
	zoneDelay   time.Duration
	callerDelay time.Duration
	links       []zoneLink

	mu sync.Mutex
	// partitions holds the pairs of availability zones that are partitioned from each other, in both orders.
	partitions map[[2]string]bool
}

// zoneLink is the relay in front of a process of an availability zone.
type zoneLink struct {
	zone string
	link *netfault.Link
}

// isRelayed reports whether there are relays in front of the processes.
func (o Options) isRelayed() bool {
	return o.Relayed || o.OneWayLatency > 0 || o.CallerLatency > 0
}

// addressBehindRelay returns the address of the process behind the relay at an address; without relays, the address
// itself.
func (o Options) addressBehindRelay(address string) string {
	if !o.isRelayed() {
		return address
	}
	host, port, _ := net.SplitHostPort(address)
	number, _ := strconv.Atoi(port)
	return net.JoinHostPort(host, strconv.Itoa(number+relayOffset))
}

// startNetwork starts the relays of a fleet that has them.
func (f *Fleet) startNetwork() error {
	f.network = &network{
		deployment: f.Deployment, zoneDelay: f.options.OneWayLatency, callerDelay: f.options.CallerLatency,
		partitions: make(map[[2]string]bool),
	}
	if !f.options.isRelayed() {
		return nil
	}
	for _, group := range f.Deployment.Groups {
		for _, spec := range group.Targets {
			if err := f.startRelay(spec.Zone, spec.Address); err != nil {
				return err
			}
		}
	}
	for _, settings := range f.Deployment.Settings {
		for _, address := range []string{settings.PeerAddress, settings.CallerAddress} {
			if err := f.startRelay(settings.Zone, address); err != nil {
				return err
			}
		}
	}
	return nil
}

// startRelay starts the relay at an address in front of a process of an availability zone.
func (f *Fleet) startRelay(zone, address string) error {
	link := netfault.New(netfault.Options{
		Address: address, Target: f.options.addressBehindRelay(address), LocalAddress: f.Deployment.ZoneIP(zone),
		InitialPathFaults: func(source string) netfault.PathFaults { return f.network.path(zone, source) },
	})
	if err := link.Start(); err != nil {
		return fmt.Errorf("relay at %s: %w", address, err)
	}
	f.network.links = append(f.network.links, zoneLink{zone: zone, link: link})
	return nil
}

// close closes the relays.
func (n *network) close() {
	for _, relay := range n.links {
		_ = relay.link.Close()
	}
}

// path returns the delay and partition of connections from a source address to an availability zone.
func (n *network) path(zone, source string) netfault.PathFaults {
	n.mu.Lock()
	defer n.mu.Unlock()
	for other := range n.deployment.zones {
		if n.deployment.ZoneIP(other) == source {
			return n.pathLocked(zone, other)
		}
	}
	return netfault.PathFaults{Delay: n.callerDelay}
}

// pathBetween returns the current delay and partition between two availability zones.
func (n *network) pathBetween(zone, other string) netfault.PathFaults {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.pathLocked(zone, other)
}

// pathLocked is pathBetween for callers that hold mu.
func (n *network) pathLocked(zone, other string) netfault.PathFaults {
	if zone == other {
		return netfault.PathFaults{}
	}
	return netfault.PathFaults{Delay: n.zoneDelay, Partitioned: n.partitions[[2]string{zone, other}]}
}

// Zones returns the availability zones in the order of their loopback addresses.
func (d *Deployment) Zones() []string {
	zones := make([]string, len(d.zones))
	for name, number := range d.zones {
		zones[number-1] = name
	}
	return zones
}

// moveBehindRelays moves the ports of a daemon behind its relays. It also sets the source address of the daemon's
// connections, by which other relays know the zone that they come from.
func (f *Fleet) moveBehindRelays(settings api.Settings) api.Settings {
	if !f.options.isRelayed() {
		return settings
	}
	settings.SourceAddress = f.Deployment.ZoneIP(settings.Zone)
	settings.PeerAddress = f.options.addressBehindRelay(settings.PeerAddress)
	settings.CallerAddress = f.options.addressBehindRelay(settings.CallerAddress)
	return settings
}
