// Package watching decides which daemons follow the store and pass its changes on, and whom each of the others asks next.
//
// The load that it answers is that of calls to the store, which is priced and rated for all daemons together: they must
// not grow with daemons times changes. In each availability zone the first daemons of a rendezvous order are watchers, one
// for each maxReaders daemons, and the next is the standby, which follows the store once its watchers fail. The others are
// readers: they ask the watchers and the standby of their own zone, then those of other zones, and the store itself after a
// silence. Where most daemons would be watchers, all follow the store.
package watching

import (
	"slices"

	"github.com/papayacove/papayacove/internal/policy/placement"
)

const (
	// maxReaders is the number of daemons of an availability zone for which there is one watcher.
	maxReaders = 50
	// minDaemons is the least number of daemons with which there are readers, and minDaemonsPerWatcher that for each watcher
	// and standby.
	minDaemons           = 12
	minDaemonsPerWatcher = 3
	// maxOthers is the number of daemons in the own zone, and of those in other zones, that are neither watcher nor standby
	// and are asked when no watcher helps.
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
	// RoleStandby asks the watchers of its zone, and follows the store and passes changes on while they fail.
	RoleStandby
	// RoleReader asks other daemons.
	RoleReader
)

var roleNames = [...]string{RoleDirect: "direct", RoleWatcher: "watcher", RoleStandby: "standby", RoleReader: "reader"}

// String returns the name of the role in logs.
func (r Role) String() string { return roleNames[r] }

// Assignment is the role of one daemon, and the daemons that it may ask in the order of preference.
type Assignment struct {
	Role Role
	// Near are in the zone of the daemon, Far in other zones; Others have no role, and are asked last.
	Near, Far, Others []Daemon
	// Daemons is the number of all daemons, and Watchers that of the watchers and standbys.
	Daemons, Watchers int
}

// Assign decides the role of the named daemon. asksWhenDirect is true if a daemon of a deployment without readers asks
// others when the store does not answer it.
func Assign(self string, daemons []Daemon, asksWhenDirect bool) Assignment {
	zone := zoneOf(self, daemons)
	watchers, standbys, rest := choose(daemons)
	a := Assignment{Daemons: len(daemons), Watchers: len(watchers) + len(standbys)}
	if len(daemons) < minDaemons || len(daemons) < minDaemonsPerWatcher*a.Watchers {
		if asksWhenDirect {
			a.Near, a.Far = split(self, zone, slices.Concat(watchers, standbys, rest))
		}
		return a
	}
	a.Near, a.Far = split(self, zone, watchers)
	nearStandbys, farStandbys := split(self, zone, standbys)
	a.Near, a.Far = append(a.Near, nearStandbys...), append(a.Far, farStandbys...)
	a.Others = others(self, zone, rest)
	isSelf := func(d Daemon) bool { return d.Name == self }
	switch {
	case slices.ContainsFunc(watchers, isSelf):
		a.Role = RoleWatcher
	case slices.ContainsFunc(standbys, isSelf):
		a.Role = RoleStandby
	default:
		a.Role = RoleReader
	}
	return a
}

// choose returns the watchers, the standbys, and the other daemons that can be asked in the order in which they would take
// these roles.
func choose(daemons []Daemon) (watchers, standbys, rest []Daemon) {
	members := make([]placement.Member, 0, len(daemons))
	byName := make(map[string]Daemon, len(daemons))
	inZone := make(map[string]int)
	for _, d := range daemons {
		if _, isRepeated := byName[d.Name]; d.Address != "" && !isRepeated {
			members = append(members, placement.Member{Name: d.Name, Zone: d.Zone})
			byName[d.Name] = d
			inZone[d.Zone]++
		}
	}
	chosen := make(map[string]int)
	for _, m := range placement.SpreadOrder(watcherKey, members) {
		wanted := (inZone[m.Zone] + maxReaders - 1) / maxReaders
		switch position := chosen[m.Zone]; {
		case position < wanted:
			watchers = append(watchers, byName[m.Name])
		case position == wanted:
			standbys = append(standbys, byName[m.Name])
		default:
			rest = append(rest, byName[m.Name])
		}
		chosen[m.Zone]++
	}
	return watchers, standbys, rest
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

// others returns up to maxOthers daemons in the zone and then as many in other zones, without self. All daemons of a zone
// return the same ones for it: those follow the store after a silence, and answer the daemons that it turns away.
func others(self, zone string, daemons []Daemon) []Daemon {
	var near, far []Daemon
	for _, d := range daemons {
		switch {
		case d.Name == self:
		case d.Zone == zone:
			near = append(near, d)
		default:
			far = append(far, d)
		}
	}
	return append(near[:min(maxOthers, len(near)):min(maxOthers, len(near))], far[:min(maxOthers, len(far))]...)
}

func zoneOf(self string, daemons []Daemon) string {
	for _, d := range daemons {
		if d.Name == self {
			return d.Zone
		}
	}
	return ""
}
