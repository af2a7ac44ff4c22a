// Package watching decides which daemons follow the store and pass its changes on, and whom each of the others asks next.
//
// The load that it answers is that of calls to the store, which is priced and rated for all daemons together: they must
// not grow with daemons times changes. The first two daemons of the rendezvous order in each availability zone are
// watchers. The others are readers: they ask the watchers of their own zone by turns, then those of other zones, and the
// store itself after a silence. Where most daemons would be watchers, all follow the store.
package watching

import (
	"slices"

	"github.com/papayacove/papayacove/internal/policy/placement"
)

const (
	// watchersPerZone is the number of watchers in an availability zone.
	watchersPerZone = 2
	// minDaemons and minDaemonsPerWatcher are the least numbers of daemons with which there are readers.
	minDaemons           = 12
	minDaemonsPerWatcher = 3
	// maxOthers is the number of daemons besides the watchers that a daemon asks when no watcher helps.
	maxOthers = 4
	// watcherKey is the key of the rendezvous order.
	watcherKey = "store watchers"
)

// Daemon is one daemon of the deployment.
type Daemon struct {
	Name string
	Zone string
	// Address is where other daemons reach it; empty if they do not.
	Address string
}

// Role says how a daemon learns of changes.
type Role uint8

// The roles. The zero value is that of a daemon that knows of no others.
const (
	// RoleDirect follows the store, as all daemons do.
	RoleDirect Role = iota
	// RoleWatcher follows the store and passes changes on.
	RoleWatcher
	// RoleReader asks other daemons.
	RoleReader
)

var roleNames = [...]string{RoleDirect: "direct", RoleWatcher: "watcher", RoleReader: "reader"}

// String returns the name of the role in logs.
func (r Role) String() string { return roleNames[r] }

// Assignment is the role of one daemon, and the daemons that it may ask in the order of preference.
type Assignment struct {
	Role Role
	// Near are in the zone of the daemon, Far in other zones; Others are no watchers, and are asked last.
	Near, Far, Others []Daemon
	// Daemons is the number of all daemons, and Watchers that of the watchers.
	Daemons, Watchers int
}

// Assign decides the role of the named daemon. asksWhenDirect is true if a daemon of a deployment without readers asks
// others when the store does not answer it.
func Assign(self string, daemons []Daemon, asksWhenDirect bool) Assignment {
	watchers, rest := choose(daemons)
	a := Assignment{Daemons: len(daemons), Watchers: len(watchers)}
	if len(daemons) < minDaemons || len(daemons) < minDaemonsPerWatcher*len(watchers) {
		if asksWhenDirect {
			a.Near, a.Far = split(self, zoneOf(self, daemons), append(watchers, rest...))
		}
		return a
	}
	a.Role = RoleReader
	if slices.ContainsFunc(watchers, func(d Daemon) bool { return d.Name == self }) {
		a.Role = RoleWatcher
	}
	a.Near, a.Far = split(self, zoneOf(self, daemons), watchers)
	rest = slices.DeleteFunc(rest, func(d Daemon) bool { return d.Name == self })
	a.Others = rest[:min(maxOthers, len(rest))]
	return a
}

// choose returns the watchers, and the other daemons that can be asked in the order in which they would be watchers.
func choose(daemons []Daemon) (watchers, rest []Daemon) {
	members := make([]placement.Member, 0, len(daemons))
	byName := make(map[string]Daemon, len(daemons))
	for _, d := range daemons {
		if _, isRepeated := byName[d.Name]; d.Address != "" && !isRepeated {
			members = append(members, placement.Member{Name: d.Name, Zone: d.Zone})
			byName[d.Name] = d
		}
	}
	chosen := make(map[string]int)
	for _, m := range placement.SpreadOrder(watcherKey, members) {
		if chosen[m.Zone] < watchersPerZone {
			chosen[m.Zone]++
			watchers = append(watchers, byName[m.Name])
			continue
		}
		rest = append(rest, byName[m.Name])
	}
	return watchers, rest
}

// split returns the daemons in the zone and those in other zones, without self, each in an order that differs between
// daemons so that the watchers are asked by equal numbers of them.
func split(self, zone string, daemons []Daemon) (near, far []Daemon) {
	members := make([]placement.Member, len(daemons))
	byName := make(map[string]Daemon, len(daemons))
	for i, d := range daemons {
		members[i] = placement.Member{Name: d.Name, Zone: d.Zone}
		byName[d.Name] = d
	}
	for _, m := range placement.Order(self, members) {
		switch {
		case m.Name == self:
		case m.Zone == zone:
			near = append(near, byName[m.Name])
		default:
			far = append(far, byName[m.Name])
		}
	}
	return near, far
}

func zoneOf(self string, daemons []Daemon) string {
	for _, d := range daemons {
		if d.Name == self {
			return d.Zone
		}
	}
	return ""
}
