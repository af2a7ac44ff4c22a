package fleet

import "errors"

// errNoRelays is returned for network faults of a fleet without relays.
var errNoRelays = errors.New("the fleet has no relays: set Relayed or a latency")

// Partition partitions two availability zones from each other. It needs a fleet with relays.
func (f *Fleet) Partition(zone, other string) error {
	return f.changePartitions(func(partitions map[[2]string]bool) {
		partitions[[2]string{zone, other}] = true
		partitions[[2]string{other, zone}] = true
	})
}

// PartitionZone partitions an availability zone from all others and from the platform. Callers still reach
// its daemons. It needs a fleet with relays.
func (f *Fleet) PartitionZone(zone string) error {
	for _, other := range f.Deployment.Zones() {
		if other == zone {
			continue
		}
		if err := f.Partition(zone, other); err != nil {
			return err
		}
	}
	return f.setPlatformPartition([]string{zone})
}

// Heal ends all partitions between availability zones and from the platform.
func (f *Fleet) Heal() error {
	err := f.changePartitions(func(partitions map[[2]string]bool) { clear(partitions) })
	return errors.Join(err, f.setPlatformPartition([]string{}))
}

// MakeHalfOpen makes the open connections to an address half-open for good: they stay established and drop all data, as on
// a path whose connection tracking lost its state. New connections work. It needs a fleet with relays.
func (f *Fleet) MakeHalfOpen(address string) error {
	if !f.options.isRelayed() {
		return errNoRelays
	}
	for _, relay := range f.network.links {
		if relay.link.Address() == address {
			relay.link.MakeHalfOpen()
		}
	}
	return nil
}

// setPlatformPartition sets the availability zones that do not reach the platform, in place of the former ones.
func (f *Fleet) setPlatformPartition(zones []string) error {
	return f.Post(f.PlatformAdmin(), "/knobs", map[string][]string{"cut_zones": zones})
}

// changePartitions changes the partitions between availability zones and applies them to all relays.
func (f *Fleet) changePartitions(change func(partitions map[[2]string]bool)) error {
	if !f.options.isRelayed() {
		return errNoRelays
	}
	n := f.network
	n.mu.Lock()
	change(n.partitions)
	n.mu.Unlock()
	// A relay calls network.path while it holds its own lock. Calling SetPathFaults with the lock of the network held
	// could deadlock.
	for _, relay := range n.links {
		for _, other := range f.Deployment.Zones() {
			relay.link.SetPathFaults(f.Deployment.ZoneIP(other), n.pathBetween(relay.zone, other))
		}
	}
	return nil
}
