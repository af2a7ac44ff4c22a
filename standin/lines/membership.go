package lines

import (
	"fmt"
	"net"
	"slices"
	"time"
)

// hearingDelay is the time after which an old primary follows one of a later term that it reaches.
const hearingDelay = time.Second

// IDs returns the ids of all targets, sorted.
func (g *Group) IDs() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return sortedNames(g.targets)
}

// RunningIDs returns the ids of the targets that have not stopped for good, sorted.
func (g *Group) RunningIDs() []string {
	return slices.DeleteFunc(g.IDs(), func(id string) bool { return g.Target(id).isRetired() })
}

// IsBeingReplaced reports whether a target has announced that it leaves and has not stopped.
func (g *Group) IsBeingReplaced() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, d := range g.targets {
		if d.leaving && !d.retired {
			return true
		}
	}
	return false
}

// ZoneOf returns the zone of a target; empty if there is none.
func (g *Group) ZoneOf(id string) string {
	if d := g.Target(id); d != nil {
		return d.zone
	}
	return ""
}

func (d *Target) isRetired() bool {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	return d.retired
}

// writeEntries writes the entries of all targets again, as heartbeats do.
func (g *Group) writeEntries() {
	for _, id := range g.IDs() {
		g.Target(id).WriteEntry()
	}
}

// join starts a target in the zone of another one, with a copy of its log. It has no entry until announce.
func (g *Group) join(id string, old *Target) (*Target, error) {
	g.mu.Lock()
	d := &Target{
		ID: id, group: g, zone: old.zone, slots: make(chan struct{}, cap(old.slots)), term: old.term, joining: true,
		log: slices.Clone(old.log), conns: map[net.Conn]struct{}{},
	}
	g.mu.Unlock()
	if err := d.Start(); err != nil {
		return nil, err
	}
	return d, nil
}

// receiveUnlisted makes a target that has joined a member of the group, which receives the log and has no entry yet.
func (d *Target) receiveUnlisted() {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	d.group.targets[d.ID] = d
	d.group.changed.Broadcast()
}

// announce makes a target that has joined a member of the group with an entry.
func (d *Target) announce() {
	d.receiveUnlisted()
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	d.joining = false
	d.writeEntry()
}

// retire ends a target for good and removes its entry.
func (d *Target) retire() {
	d.Crash()
	d.group.mu.Lock()
	d.retired, d.primary = true, false
	d.group.mu.Unlock()
	_ = d.group.store.Delete("servers", d.ID)
}

// reaches reports whether two targets reach each other. The caller holds the mutex of the group.
func (d *Target) reaches(other *Target) bool {
	g := d.group
	if g.cutTargets[d.ID] || g.cutTargets[other.ID] {
		return false
	}
	return d.zone == other.zone || !g.cutZones[d.zone] && !g.cutZones[other.zone]
}

// setZoneCut sets whether a zone is cut off from the others.
func (g *Group) setZoneCut(zone string, cut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cutZones[zone] = cut
	g.changed.Broadcast()
}

// SetTargetCut sets whether a target is cut off from the other targets.
func (g *Group) SetTargetCut(id string, cut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cutTargets[id] = cut
	g.changed.Broadcast()
}

// followPrimary makes an old primary a replica once it has reached one of a later term for hearingDelay, and the replicas
// that reach the primary follow its term and log. It returns the targets that have written no entry for entryLifetime.
func (g *Group) followPrimary(now time.Time) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var silent []string
	for id, d := range g.targets {
		isGone := d.retired && !g.store.Has("servers", id)
		switch {
		case d.up && !g.cutZones[d.zone], isGone:
			// The entry of a target that has left may be back after the store was restored from a copy.
			d.silentSince = time.Time{}
		case d.silentSince.IsZero():
			d.silentSince = now
		case now.Sub(d.silentSince) > entryLifetime:
			silent = append(silent, id)
		}
		leader := g.leaderOf(d)
		if leader == nil || !d.up || d.unresponsive {
			d.outrankedSince = time.Time{}
			continue
		}
		switch {
		case !d.primary:
			if d.follows(leader) {
				d.term = leader.term
				d.receive(leader.log)
			}
		case d.outrankedSince.IsZero():
			d.outrankedSince = now
		case now.Sub(d.outrankedSince) >= hearingDelay:
			d.primary, d.outrankedSince = false, time.Time{}
			d.writeEntry()
		}
	}
	g.changed.Broadcast()
	return silent
}

// leaderOf returns the primary of the latest term, not below its own, that a target reaches; nil if there is none. The caller
// holds the mutex of the group.
func (g *Group) leaderOf(d *Target) *Target {
	var leader *Target
	for _, other := range g.targets {
		if other != d && other.primary && other.up && !other.unresponsive && d.reaches(other) &&
			(other.term > d.term || other.term == d.term && !d.primary) && (leader == nil || other.term > leader.term) {
			leader = other
		}
	}
	return leader
}

// entryLifetime is the time without a heartbeat after which the store removes an entry.
const entryLifetime = 3 * heartbeatInterval

// nextID returns the id of the target that replaces another one.
func nextID(id string, generation uint64) string { return fmt.Sprintf("%.1s-r%d", id, generation) }
