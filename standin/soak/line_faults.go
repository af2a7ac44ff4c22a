package soak

import (
	"math/rand"
	"slices"
	"strings"
	"time"

	"github.com/papayacove/papayacove/standin/lines"
	"github.com/papayacove/papayacove/standin/netfault"
)

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
	var far []string
	for _, i := range random.Perm(len(f.Daemons))[:len(f.Daemons)/2] {
		far = append(far, f.Daemons[i].Source)
	}
	set := func(cut bool) {
		g.SetTargetCut(id, cut)
		for _, source := range far {
			f.TargetLink(id).SetPathFaults(source, netfault.PathFaults{Partitioned: cut})
		}
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
