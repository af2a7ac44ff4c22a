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

// relayOffset is the distance from the port that others connect to, where a relay listens, to the
// port of the process behind it.
const relayOffset = 2000

// network is the relays before the processes of a fleet. A connection is of the availability zone
// that its source address belongs to; other source addresses are callers.
type network struct {
	deployment *Deployment
	oneWay     time.Duration
	callers    time.Duration
	links      []zoneLink

	mu sync.Mutex
	// cuts holds the pairs of availability zones that are cut off from each other.
	cuts map[[2]string]bool
}

// zoneLink is the relay before a process of an availability zone.
type zoneLink struct {
	zone string
	link *netfault.Link
}

// isRelayed reports whether relays stand before the processes.
func (o Options) isRelayed() bool {
	return o.Relayed || o.OneWayLatency > 0 || o.CallerLatency > 0
}

// behind returns the address of the process behind the relay at an address.
func (o Options) behind(address string) string {
	if !o.isRelayed() {
		return address
	}
	host, port, _ := net.SplitHostPort(address)
	number, _ := strconv.Atoi(port)
	return net.JoinHostPort(host, strconv.Itoa(number+relayOffset))
}

// startNetwork starts the relays of a fleet.
func (f *Fleet) startNetwork() error {
	f.network = &network{
		deployment: f.Deployment, oneWay: f.options.OneWayLatency, callers: f.options.CallerLatency,
		cuts: make(map[[2]string]bool),
	}
	if !f.options.isRelayed() {
		return nil
	}
	for _, group := range f.Deployment.Groups {
		for _, spec := range group.Targets {
			if err := f.relay(spec.Zone, spec.Address); err != nil {
				return err
			}
		}
	}
	for _, settings := range f.Deployment.Settings {
		for _, address := range []string{settings.PeerAddress, settings.CallerAddress} {
			if err := f.relay(settings.Zone, address); err != nil {
				return err
			}
		}
	}
	return nil
}

// relay starts the relay before a process.
func (f *Fleet) relay(zone, address string) error {
	link := netfault.New(netfault.Options{
		Address: address, Target: f.options.behind(address), LocalAddress: f.Deployment.ZoneIP(zone),
		Path: func(source string) netfault.PathKnobs { return f.network.path(zone, source) },
	})
	if err := link.Start(); err != nil {
		return fmt.Errorf("relay before %s: %w", address, err)
	}
	f.network.links = append(f.network.links, zoneLink{zone: zone, link: link})
	return nil
}

// close ends the relays.
func (n *network) close() {
	for _, relay := range n.links {
		_ = relay.link.Close()
	}
}

// path returns the faults between a source address and an availability zone.
func (n *network) path(zone, source string) netfault.PathKnobs {
	n.mu.Lock()
	defer n.mu.Unlock()
	for other := range n.deployment.zones {
		if n.deployment.ZoneIP(other) == source {
			return n.between(zone, other)
		}
	}
	return netfault.PathKnobs{Delay: n.callers}
}

// pathBetween returns the path from an availability zone to another as the cuts are now.
func (n *network) pathBetween(zone, other string) netfault.PathKnobs {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.between(zone, other)
}

func (n *network) between(zone, other string) netfault.PathKnobs {
	if zone == other {
		return netfault.PathKnobs{}
	}
	return netfault.PathKnobs{Delay: n.oneWay, Cut: n.cuts[[2]string{zone, other}]}
}

// Zones returns the availability zones in the order of the loopback networks.
func (d *Deployment) Zones() []string {
	zones := make([]string, len(d.zones))
	for name, number := range d.zones {
		zones[number-1] = name
	}
	return zones
}

// relocateBehind moves the ports of a daemon behind its relays. The source address lets the relays
// of others tell the zone of its connections.
func (f *Fleet) relocateBehind(settings api.Settings) api.Settings {
	if !f.options.isRelayed() {
		return settings
	}
	settings.SourceAddress = f.Deployment.ZoneIP(settings.Zone)
	settings.PeerAddress = f.options.behind(settings.PeerAddress)
	settings.CallerAddress = f.options.behind(settings.CallerAddress)
	return settings
}
