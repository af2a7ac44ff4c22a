package fleet

import "errors"

// errNotRelayed is returned when a fleet without relays is to be cut.
var errNotRelayed = errors.New("the fleet has no relays: set Relayed or a latency")

// Cut cuts two availability zones off from each other. It needs a fleet with relays.
func (f *Fleet) Cut(zone, other string) error {
	return f.setCut(func(cuts map[[2]string]bool) {
		cuts[[2]string{zone, other}] = true
		cuts[[2]string{other, zone}] = true
	})
}

// CutZone cuts an availability zone off from all others and from the platform; callers still reach
// its daemons.
func (f *Fleet) CutZone(zone string) error {
	for _, other := range f.Deployment.Zones() {
		if other == zone {
			continue
		}
		if err := f.Cut(zone, other); err != nil {
			return err
		}
	}
	return f.cutPlatform([]string{zone})
}

// Heal ends all cuts between availability zones, and from the platform.
func (f *Fleet) Heal() error {
	err := f.setCut(func(cuts map[[2]string]bool) { clear(cuts) })
	return errors.Join(err, f.cutPlatform([]string{}))
}

// Silence makes the open connections to an address swallow data for good, as a path does that lost
// track of them; new connections work.
func (f *Fleet) Silence(address string) error {
	if !f.options.isRelayed() {
		return errNotRelayed
	}
	for _, relay := range f.network.links {
		if relay.link.Address() == address {
			relay.link.Silence()
		}
	}
	return nil
}

// cutPlatform replaces the availability zones that do not reach the platform.
func (f *Fleet) cutPlatform(zones []string) error {
	return f.Post(f.PlatformAdmin(), "/knobs", map[string][]string{"cut_zones": zones})
}

// setCut changes the cuts and puts them in force at all relays.
func (f *Fleet) setCut(change func(cuts map[[2]string]bool)) error {
	if !f.options.isRelayed() {
		return errNotRelayed
	}
	n := f.network
	n.mu.Lock()
	change(n.cuts)
	n.mu.Unlock()
	// A relay asks for its path while it holds its own lock, so the lock of the network is not held here.
	for _, relay := range n.links {
		for _, other := range f.Deployment.Zones() {
			relay.link.SetPath(f.Deployment.ZoneIP(other), n.pathBetween(relay.zone, other))
		}
	}
	return nil
}
