package soak

import (
	"fmt"
	"math/rand"
	"slices"
	"strings"
	"time"

	"github.com/papayacove/papayacove/standin/lines"
	"github.com/papayacove/papayacove/standin/netfault"
)

// LinesFaults holds all faults of a fleet that serves the protocol lines, in a fixed order so that a seed draws the same
// ones. New ones come last, and the seeds that are kept as regression cases name the faults that they were found with.
var LinesFaults = []FaultOf[*lines.Fleet]{
	{"primary_crashed", onTarget(primaryID, crashTarget)},
	{"primary_dark", onTarget(primaryID, makeUnresponsive)},
	{"replica_crashed", onTarget(replicaID, crashTarget)},
	{"replica_dark", onTarget(replicaID, makeUnresponsive)},
	{"replica_deaf", onTarget(replicaID, func(f *lines.Fleet, id string) func() {
		f.Group.Target(id).SetReceiveBlocked(true)
		return func() { f.Group.Target(id).SetReceiveBlocked(false) }
	})},
	{"replica_behind", onTarget(replicaID, func(f *lines.Fleet, id string) func() {
		f.Group.Target(id).SetLag(2 * time.Second)
		return func() { f.Group.Target(id).SetLag(5 * time.Millisecond) }
	})},
	{"target_cut", onTarget(anyID, func(f *lines.Fleet, id string) func() {
		return injectLinkFaults(f.TargetLink(id), netfault.Faults{Partitioned: true})
	})},
	{"target_slow_path", onTarget(anyID, func(f *lines.Fleet, id string) func() {
		return injectLinkFaults(f.TargetLink(id), netfault.Faults{ForwardDelayMs: 40, BackwardDelayMs: 40})
	})},
	{"target_one_way", onTarget(anyID, func(f *lines.Fleet, id string) func() {
		return injectLinkFaults(f.TargetLink(id), netfault.Faults{BackwardDelayMs: 60_000})
	})},
	{"target_connections_silent", onTarget(anyID, func(f *lines.Fleet, id string) func() { f.TargetLink(id).MakeHalfOpen(); return func() {} })},
	{"target_connections_reset", onTarget(anyID, func(f *lines.Fleet, id string) func() { f.TargetLink(id).Reset(); return func() {} })},
	{"daemon_killed", onDaemon(func(d *lines.Daemon) func() { d.Kill(); return func() { _ = d.Start() } })},
	{"daemon_frozen", onDaemon(func(d *lines.Daemon) func() { d.Freeze(); return d.Resume })},
	{"daemon_stopped", onDaemon(func(d *lines.Daemon) func() { d.Stop(); return func() { _ = d.Start() } })},
	{"daemon_cut_from_store", onDaemon(func(d *lines.Daemon) func() { return injectLinkFaults(d.StoreLink, netfault.Faults{Partitioned: true}) })},
	{"store_down", func(f *lines.Fleet, _ *rand.Rand) (string, func()) {
		f.Store.Down.Store(true)
		return "", func() { f.Store.Down.Store(false) }
	}},
	{"store_drops_entries", func(f *lines.Fleet, random *rand.Rand) (string, func()) {
		f.Store.Down.Store(true)
		id := anyID(f, random)
		return id, func() { _ = f.Store.Delete("servers", id); f.Store.Down.Store(false) }
	}},
	{"store_loses_answers", func(f *lines.Fleet, _ *rand.Rand) (string, func()) {
		f.Store.LoseResponses.Store(true)
		return "", func() { f.Store.LoseResponses.Store(false) }
	}},
	{"store_forgets", func(f *lines.Fleet, _ *rand.Rand) (string, func()) { f.Store.Compact(); return "", func() {} }},
	{"store_restored", func(f *lines.Fleet, random *rand.Rand) (string, func()) {
		f.Restore(copyAge(random))
		return "", func() {}
	}},
	{"store_down_and_restored", func(f *lines.Fleet, random *rand.Rand) (string, func()) {
		age := copyAge(random)
		f.Store.Down.Store(true)
		return "", func() { f.Restore(age); f.Store.Down.Store(false) }
	}},
	{"store_restored_twice", func(f *lines.Fleet, random *rand.Rand) (string, func()) {
		f.Restore(copyAge(random))
		age := copyAge(random)
		return "", func() { f.Restore(age) }
	}},
	{"store_restored_before_late_changes", func(f *lines.Fleet, random *rand.Rand) (string, func()) {
		age := copyAge(random)
		f.Store.DelayChanges.Store(true)
		return "", func() { f.Restore(age); f.Store.DelayChanges.Store(false) }
	}},
	{"daemon_turned_away", func(f *lines.Fleet, random *rand.Rand) (string, func()) {
		d, treatment := f.Daemons[random.Intn(len(f.Daemons))], lines.Treatment(random.Intn(int(lines.Treatments)))
		f.Store.TurnAway(d.Source, treatment)
		return fmt.Sprintf("%s, treatment %d", d.Name, treatment), func() { f.Store.ServeAgain(d.Source) }
	}},
	{"daemon_cut_from_daemons", onDaemonOf(cutFromDaemons)},
	{"key_withdrawn", func(f *lines.Fleet, random *rand.Rand) (string, func()) { return withdrawKey(f, random), func() {} }},
	{"key_withdrawn_store_down", func(f *lines.Fleet, random *rand.Rand) (string, func()) {
		f.Store.Down.Store(true)
		return withdrawKey(f, random), lasting(func() { f.Store.Down.Store(false) })
	}},
	{"key_withdrawn_daemon_frozen", whileKeyIsWithdrawn(freezeLines)},
	{"key_withdrawn_daemon_cut_from_store", whileKeyIsWithdrawn(cutFromStore)},
	{"key_withdrawn_daemon_cut_off", whileKeyIsWithdrawn(func(f *lines.Fleet, d *lines.Daemon) func() {
		daemons, store := cutFromDaemons(f, d), cutFromStore(f, d)
		return func() { daemons(); store() }
	})},
	{"limit_lowered", lowerLimit},
	{"actor_killed", onActor(func(_ *lines.Fleet, d *lines.Daemon) func() { d.Kill(); return func() { _ = d.Start() } })},
	{"actor_frozen", onActor(freezeLines)},
	{"actor_stopped", onActor(func(_ *lines.Fleet, d *lines.Daemon) func() { d.Stop(); return func() { _ = d.Start() } })},
	{"all_daemons_killed", func(f *lines.Fleet, _ *rand.Rand) (string, func()) {
		for _, d := range f.Daemons {
			d.Kill()
		}
		return "", func() {
			for _, d := range f.Daemons {
				_ = d.Start()
			}
		}
	}},
	{"peer_connections_reset", onDaemon(func(d *lines.Daemon) func() { d.PeerLink.Reset(); return func() {} })},
	{"peer_connections_silent", onDaemon(func(d *lines.Daemon) func() { d.PeerLink.MakeHalfOpen(); return func() {} })},
	{"daemon_restarted", onDaemon(func(d *lines.Daemon) func() { d.Kill(); _ = d.Start(); return func() {} })},
	{"daemon_frozen_briefly", onDaemon(func(d *lines.Daemon) func() { d.Freeze(); time.Sleep(briefFreeze); d.Resume(); return func() {} })},
	{"holder_killed_twice", onHolder(killTwice)},
	{"replica_released", onGroup(func(f *lines.Fleet, g *lines.Group, random *rand.Rand) (string, func()) {
		return releaseAll(f, g, random, otherThan(g.RunningIDs(), g.Primary())[:1])
	})},
	{"primary_released", onGroup(func(f *lines.Fleet, g *lines.Group, random *rand.Rand) (string, func()) {
		return releaseAll(f, g, random, []string{g.Primary()})
	})},
	{"group_released", onGroup(func(f *lines.Fleet, g *lines.Group, random *rand.Rand) (string, func()) {
		return releaseAll(f, g, random, primaryLast(g))
	})},
	{"zone_cut", func(f *lines.Fleet, random *rand.Rand) (string, func()) {
		return cutZone(f, f.Daemons[random.Intn(len(f.Daemons))].Zone)
	}},
	{"primary_cut_from_some", onGroup(cutPrimary)},
	{"zone_cut_and_primary_released", onGroup(func(f *lines.Fleet, g *lines.Group, random *rand.Rand) (string, func()) {
		return thenRelease(f, g, random, []string{g.Primary()}, func() (string, func()) { return cutZone(f, g.ZoneOf(g.Primary())) })
	})},
	{"primary_cut_and_group_released", onGroup(func(f *lines.Fleet, g *lines.Group, random *rand.Rand) (string, func()) {
		return thenRelease(f, g, random, primaryLast(g), func() (string, func()) { return cutPrimary(f, g, random) })
	})},
	{"odd_entries", writeOddEntries},
	{"daemon_stopped_briefly", onDaemon(func(d *lines.Daemon) func() { stopAndStart(d); return func() {} })},
	{"daemons_stopped_in_series", stopInSeries},
	{"daemons_stopped_overlapping", stopOverlapping},
	{"holder_stopped", onHolder(func(d *lines.Daemon, _ *rand.Rand) { stopAndStart(d) })},
	{"holder_and_sender_stopped", onGroup(stopHolderAndSender)},
	{"settings_changed", onDaemon(func(d *lines.Daemon) func() { d.Hangup(); return func() {} })},
	{"settings_changed_and_stopped", besideStop(func(_ *lines.Fleet, d *lines.Daemon, _ *rand.Rand) func() { d.Hangup(); return nil })},
	{"timeout_changed", func(f *lines.Fleet, random *rand.Rand) (string, func()) { return changeTimeout(f, random), func() {} }},
	{"timeout_changed_and_stopped", besideStop(func(f *lines.Fleet, _ *lines.Daemon, random *rand.Rand) func() {
		changeTimeout(f, random)
		return nil
	})},
	{"replica_released_and_stopped", besideStop(releaseOne(func(g *lines.Group) string {
		return otherThan(g.RunningIDs(), g.Primary())[0]
	}))},
	{"primary_released_and_stopped", besideStop(releaseOne((*lines.Group).Primary))},
	{"target_slow_and_stopped", besideStop(slowTarget)},
	{"daemon_stopped_twice", besideStop(terminateAgain)},
	{"daemon_stopped_while_starting", onDaemonRandomly(stopWhileStarting)},
	{"store_down_and_stopped", besideStop(func(f *lines.Fleet, _ *lines.Daemon, _ *rand.Rand) func() {
		f.Store.Down.Store(true)
		return func() { f.Store.Down.Store(false) }
	})},
	{"store_restored_and_stopped", besideStop(func(f *lines.Fleet, _ *lines.Daemon, random *rand.Rand) func() {
		f.Restore(copyAge(random))
		return nil
	})},
	{"store_era_odd_and_stopped", besideStop(nameOddEra)},
}

// maxCopyAge is the longest time that a copy is old from which the store is restored.
const maxCopyAge = 5 * time.Second

func copyAge(random *rand.Rand) time.Duration { return time.Duration(random.Int63n(int64(maxCopyAge))) }

func primaryID(f *lines.Fleet, random *rand.Rand) string {
	if id := f.Group.Primary(); id != "" {
		return id
	}
	return anyID(f, random)
}

func replicaID(f *lines.Fleet, random *rand.Rand) string {
	for {
		if id := anyID(f, random); id != f.Group.Primary() {
			return id
		}
	}
}

func anyID(f *lines.Fleet, random *rand.Rand) string {
	ids := f.Group.RunningIDs()
	return ids[random.Intn(len(ids))]
}

func onTarget(pick func(*lines.Fleet, *rand.Rand) string, inject func(*lines.Fleet, string) func()) func(*lines.Fleet, *rand.Rand) (string, func()) {
	return func(f *lines.Fleet, random *rand.Rand) (string, func()) {
		id := pick(f, random)
		return id, inject(f, id)
	}
}

func onDaemon(inject func(*lines.Daemon) func()) func(*lines.Fleet, *rand.Rand) (string, func()) {
	return func(f *lines.Fleet, random *rand.Rand) (string, func()) {
		d := f.Daemons[random.Intn(len(f.Daemons))]
		return d.Name, inject(d)
	}
}

func crashTarget(f *lines.Fleet, id string) func() {
	if !f.Group.Target(id).IsUp() {
		return func() {}
	}
	f.Group.Target(id).Crash()
	return func() { _ = f.Group.Target(id).Start() }
}

func makeUnresponsive(f *lines.Fleet, id string) func() {
	f.Group.Target(id).SetUnresponsive(true)
	return func() { f.Group.Target(id).SetUnresponsive(false) }
}

func injectLinkFaults(link *netfault.Link, faults netfault.Faults) func() {
	link.SetFaults(faults)
	return func() { link.SetFaults(netfault.Faults{}) }
}

const (
	// briefFreeze is the time for which a daemon is frozen briefly.
	briefFreeze = time.Second
	// releaseAfter is the longest time between a cut and the release beside it.
	releaseAfter = 2 * time.Second
	// longestReleasePause is the longest pause between two replacements of a release.
	longestReleasePause = 2 * time.Second
)

// onGroup injects a fault into one group of a fleet.
func onGroup(inject func(*lines.Fleet, *lines.Group, *rand.Rand) (string, func())) func(*lines.Fleet, *rand.Rand) (string, func()) {
	return func(f *lines.Fleet, random *rand.Rand) (string, func()) {
		g := f.Groups[random.Intn(len(f.Groups))]
		what, heal := inject(f, g, random)
		return g.Name + " " + what, heal
	}
}

// onHolder injects a fault into the daemon that holds the primary of a group.
func onHolder(inject func(*lines.Daemon, *rand.Rand)) func(*lines.Fleet, *rand.Rand) (string, func()) {
	return onGroup(func(f *lines.Fleet, g *lines.Group, random *rand.Rand) (string, func()) {
		d := f.Holder(g)
		if d == nil {
			return "no holder", func() {}
		}
		inject(d, random)
		return d.Name, func() {}
	})
}

// killTwice kills a daemon, and again soon after its start.
func killTwice(d *lines.Daemon, random *rand.Rand) {
	for range 2 {
		d.Kill()
		_ = d.Start()
		time.Sleep(between(random, 300*time.Millisecond, 1500*time.Millisecond))
	}
}

// primaryLast returns the targets of a group in the order of a release.
func primaryLast(g *lines.Group) []string {
	return append(otherThan(g.RunningIDs(), g.Primary()), g.Primary())
}

func otherThan(ids []string, id string) []string {
	return slices.DeleteFunc(ids, func(other string) bool { return other == id })
}

// releaseAll replaces targets of a group one after the other, unless some are being replaced already or are gone.
func releaseAll(f *lines.Fleet, g *lines.Group, random *rand.Rand, ids []string) (string, func()) {
	pause := between(random, 0, longestReleasePause)
	if g.IsBeingReplaced() || slices.Contains(ids, "") {
		return "not released", func() {}
	}
	f.Release(g, ids, pause)
	return strings.Join(ids, ","), func() {}
}

func cutZone(f *lines.Fleet, zone string) (string, func()) {
	f.SetZoneCut(zone, true)
	return zone, func() { f.SetZoneCut(zone, false) }
}

// cutPrimary cuts a primary off from the other targets and from half of the daemons. It goes on for the others.
func cutPrimary(f *lines.Fleet, g *lines.Group, random *rand.Rand) (string, func()) {
	id := g.Primary()
	if id == "" {
		return "no primary", func() {}
	}
	var far []*lines.Daemon
	for _, i := range random.Perm(len(f.Daemons))[:len(f.Daemons)/2] {
		far = append(far, f.Daemons[i])
	}
	set := func(cut bool) {
		g.SetTargetCut(id, cut)
		setPaths(f, far, id, cut)
	}
	set(true)
	return id, func() { set(false) }
}

// thenRelease cuts something off and releases targets soon after it.
func thenRelease(f *lines.Fleet, g *lines.Group, random *rand.Rand, ids []string, cut func() (string, func())) (string, func()) {
	what, heal := cut()
	time.Sleep(between(random, 0, releaseAfter))
	released, _ := releaseAll(f, g, random, ids)
	return what + " released " + released, heal
}
