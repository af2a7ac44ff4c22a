package soak

import (
	"fmt"
	"math/rand"
	"slices"
	"sort"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/standin/fleet"
)

// adminBody is the JSON body of a request to the admin port of a stand-in.
type adminBody map[string]any

// FaultOf is a fault of one kind of fleet. Inject injects it and returns a description of what is affected and a
// function that ends the fault.
type FaultOf[F any] struct {
	Name   string
	Inject func(f F, random *rand.Rand) (what string, heal func())
}

// Fault is a fault of a fleet that serves PostgreSQL.
type Fault = FaultOf[*fleet.Fleet]

// Faults holds all faults, in a fixed order so that a seed draws the same ones.
var Faults = []Fault{
	{"primary_killed", killPrimary},
	{"primary_frozen", freezePrimary},
	{"primary_cut", partitionPrimary},
	{"replica_killed", killReplica},
	{"replica_frozen", freezeReplica},
	{"replica_behind", lagReplica},
	{"target_connections_silent", makeTargetHalfOpen},
	{"target_leaving", reportLeaving},
	{"target_listed_as_leaving", listLeaving},
	{"daemon_killed", killDaemon},
	{"daemon_frozen", freezeDaemon},
	{"daemon_stopped", stopDaemon},
	{"half_of_daemons_killed", killHalf},
	{"zone_cut", partitionZone},
	{"zones_cut_from_each_other", partitionZonePair},
	{"peer_connections_silent", makePeersHalfOpen},
	{"caller_connections_silent", makeCallersHalfOpen},
	{"platform_down", platformFault("down", adminBody{"down": true}, adminBody{"down": false})},
	{"platform_slow", platformFault("slow", adminBody{"delay_ms": 400}, adminBody{"delay_ms": 0})},
	{"platform_loses_answers", platformFault("loses answers", adminBody{"lose_probability": 0.5}, adminBody{"lose_probability": 0})},
	{"platform_silent", platformFault("silent", adminBody{"silent": true}, adminBody{"silent": false})},
}

// Select returns the faults with the given names, or all faults if there are no names. An unknown name is an error.
func Select[F any](faults []FaultOf[F], names []string) ([]FaultOf[F], error) {
	if len(names) == 0 {
		return faults, nil
	}
	var selected []FaultOf[F]
	for _, name := range names {
		i := slices.IndexFunc(faults, func(f FaultOf[F]) bool { return f.Name == name })
		if i < 0 {
			return nil, fmt.Errorf("unknown fault %q", name)
		}
		selected = append(selected, faults[i])
	}
	return selected, nil
}

// replicaLagMs is the lag in milliseconds of a replica that is three minutes behind.
const replicaLagMs = 180_000

func killPrimary(f *fleet.Fleet, random *rand.Rand) (string, func()) {
	name := primaryOf(f, anyGroup(f, random))
	f.Targets[name].Kill()
	return name, func() { _ = f.Targets[name].Start() }
}

func freezePrimary(f *fleet.Fleet, random *rand.Rand) (string, func()) {
	name := primaryOf(f, anyGroup(f, random))
	f.Targets[name].Freeze()
	return name, f.Targets[name].Resume
}

// partitionPrimary partitions a primary from its replicas, while the daemons still reach it.
func partitionPrimary(f *fleet.Fleet, random *rand.Rand) (string, func()) {
	group := anyGroup(f, random)
	name := primaryOf(f, group)
	var others []string
	for _, spec := range group.Targets {
		if spec.Name != name {
			others = append(others, spec.Name)
		}
	}
	_ = f.Post(f.TargetAdmin(name), "/knobs", adminBody{"cut_from": others})
	return name, func() { _ = f.Post(f.TargetAdmin(name), "/knobs", adminBody{"cut_from": []string{}}) }
}

// partitionZone partitions the availability zone of a primary, with the primary and the daemons in it, from all others.
func partitionZone(f *fleet.Fleet, random *rand.Rand) (string, func()) {
	spec, _, _ := f.Deployment.Target(primaryOf(f, anyGroup(f, random)))
	_ = f.PartitionZone(spec.Zone)
	return spec.Zone, func() { _ = f.Heal() }
}

// partitionZonePair partitions two availability zones from each other only.
func partitionZonePair(f *fleet.Fleet, random *rand.Rand) (string, func()) {
	zones := f.Deployment.Zones()
	sort.Strings(zones)
	random.Shuffle(len(zones), func(i, j int) { zones[i], zones[j] = zones[j], zones[i] })
	_ = f.Partition(zones[0], zones[1])
	return zones[0] + " from " + zones[1], func() { _ = f.Heal() }
}

func makePeersHalfOpen(f *fleet.Fleet, random *rand.Rand) (string, func()) {
	name := anyDaemon(f, random)
	_ = f.MakeHalfOpen(f.Settings(name).PeerAddress)
	return name, func() {}
}

func makeCallersHalfOpen(f *fleet.Fleet, random *rand.Rand) (string, func()) {
	name := anyDaemon(f, random)
	_ = f.MakeHalfOpen(f.Settings(name).CallerAddress)
	return name, func() {}
}

func killReplica(f *fleet.Fleet, random *rand.Rand) (string, func()) {
	name := replicaOf(f, anyGroup(f, random), random)
	f.Targets[name].Kill()
	return name, func() { _ = f.Targets[name].Start() }
}

func freezeReplica(f *fleet.Fleet, random *rand.Rand) (string, func()) {
	name := replicaOf(f, anyGroup(f, random), random)
	f.Targets[name].Freeze()
	return name, f.Targets[name].Resume
}

func lagReplica(f *fleet.Fleet, random *rand.Rand) (string, func()) {
	name := replicaOf(f, anyGroup(f, random), random)
	_ = f.Post(f.TargetAdmin(name), "/knobs", adminBody{"lag_ms": replicaLagMs})
	return name, func() { _ = f.Post(f.TargetAdmin(name), "/knobs", adminBody{"lag_ms": 0}) }
}

func makeTargetHalfOpen(f *fleet.Fleet, random *rand.Rand) (string, func()) {
	name := anyTarget(f, random)
	_ = f.Post(f.TargetAdmin(name), "/knobs", adminBody{"silent": true})
	return name, func() { _ = f.Post(f.TargetAdmin(name), "/knobs", adminBody{"silent": false}) }
}

func reportLeaving(f *fleet.Fleet, random *rand.Rand) (string, func()) {
	name := anyTarget(f, random)
	_ = f.Post(f.TargetAdmin(name), "/knobs", adminBody{"leaving": true})
	return name, func() { _ = f.Post(f.TargetAdmin(name), "/knobs", adminBody{"leaving": false}) }
}

// listLeaving makes the platform list the VM of a target as leaving, while the target itself does not report it.
func listLeaving(f *fleet.Fleet, random *rand.Rand) (string, func()) {
	name := anyTarget(f, random)
	list := func(state api.VMState) {
		vms := append([]api.VM(nil), f.Deployment.Load.VMs...)
		for i := range vms {
			if vms[i].Name == name {
				vms[i].State = state
			}
		}
		_ = f.Post(f.PlatformAdmin(), "/vms", adminBody{"vms": vms, "lag_ms": 0})
	}
	list(api.VMStateLeaving)
	return name, func() { list(api.VMStateLive) }
}

func killDaemon(f *fleet.Fleet, random *rand.Rand) (string, func()) {
	name := anyDaemon(f, random)
	f.Daemons[name].Kill()
	return name, func() { _ = f.Daemons[name].Start() }
}

func freezeDaemon(f *fleet.Fleet, random *rand.Rand) (string, func()) {
	name := anyDaemon(f, random)
	f.Daemons[name].Freeze()
	return name, f.Daemons[name].Resume
}

func stopDaemon(f *fleet.Fleet, random *rand.Rand) (string, func()) {
	name := anyDaemon(f, random)
	f.Daemons[name].Stop()
	return name, func() { _ = f.Daemons[name].Start() }
}

func killHalf(f *fleet.Fleet, random *rand.Rand) (string, func()) {
	names := daemonNames(f)
	random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	half := names[:len(names)/2]
	for _, name := range half {
		f.Daemons[name].Kill()
	}
	return fmt.Sprint(half), func() {
		for _, name := range half {
			_ = f.Daemons[name].Start()
		}
	}
}

func platformFault(what string, inject, heal adminBody) func(*fleet.Fleet, *rand.Rand) (string, func()) {
	return func(f *fleet.Fleet, _ *rand.Rand) (string, func()) {
		_ = f.Post(f.PlatformAdmin(), "/knobs", inject)
		return what, func() { _ = f.Post(f.PlatformAdmin(), "/knobs", heal) }
	}
}

func anyGroup(f *fleet.Fleet, random *rand.Rand) api.GroupSpec {
	return f.Deployment.Groups[random.Intn(len(f.Deployment.Groups))]
}

func anyTarget(f *fleet.Fleet, random *rand.Rand) string {
	group := anyGroup(f, random)
	return group.Targets[random.Intn(len(group.Targets))].Name
}

func daemonNames(f *fleet.Fleet) []string {
	names := make([]string, 0, len(f.Daemons))
	for name := range f.Daemons {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func anyDaemon(f *fleet.Fleet, random *rand.Rand) string {
	names := daemonNames(f)
	return names[random.Intn(len(names))]
}

// primaryOf returns the primary of the newest term of a group that any daemon reports; without one, the group's first
// target.
func primaryOf(f *fleet.Fleet, group api.GroupSpec) string {
	newest := api.GroupTerm{Primary: group.Targets[0].Name}
	for _, name := range daemonNames(f) {
		status, err := f.Status(name)
		if err != nil {
			continue
		}
		for _, term := range status.Groups {
			if term.Group == group.Name && term.Primary != "" && term.Term > newest.Term {
				newest = term
			}
		}
	}
	return newest.Primary
}

// Promotions returns the number of terms that were opened since the fleet started, by the newest terms that daemons
// report.
func Promotions(f *fleet.Fleet) uint64 {
	newest := make(map[string]uint64)
	for name := range f.Daemons {
		status, err := f.Status(name)
		if err != nil {
			continue
		}
		for _, term := range status.Groups {
			newest[term.Group] = max(newest[term.Group], term.Term)
		}
	}
	var opened uint64
	for group, term := range newest {
		opened += term - f.Deployment.Terms[group].Term
	}
	return opened
}

// PrimaryOf returns the primary of the newest term of a group that any daemon reports; without one, the group's first
// target.
func PrimaryOf(f *fleet.Fleet, group api.GroupSpec) string {
	return primaryOf(f, group)
}

func replicaOf(f *fleet.Fleet, group api.GroupSpec, random *rand.Rand) string {
	primary := primaryOf(f, group)
	var replicas []string
	for _, spec := range group.Targets {
		if spec.Name != primary {
			replicas = append(replicas, spec.Name)
		}
	}
	return replicas[random.Intn(len(replicas))]
}

// between draws a duration of at least low and less than high.
func between(random *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(random.Int63n(int64(high-low)))
}
