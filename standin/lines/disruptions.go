package lines

import (
	"sync"
	"time"

	"github.com/papayacove/papayacove/standin/netfault"
)

const (
	// leaveDelay is the time between the start of a new target and the report of the old one that it leaves, endDelay the
	// time for which the old one goes on after its drain timeout.
	leaveDelay = 700 * time.Millisecond
	endDelay   = 500 * time.Millisecond
	// followInterval is the time between two checks of which primary a target follows.
	followInterval = 50 * time.Millisecond
)

// drainTimeout is the time for which leaving targets serve. It is short where targets are replaced often.
func (f *Fleet) drainTimeout() time.Duration {
	if f.Options.Sessions+f.Options.Stubborn > 0 {
		return 3 * time.Second
	}
	return 7 * time.Second
}

// Replace starts a target with a copy of another one's log, which then announces that it leaves and ends after its drain
// timeout. It returns once the old one has announced this.
func (f *Fleet) Replace(g *Group, id string) error { return f.ReplaceListedLate(g, id, 0) }

// ReplaceListedLate does what Replace does while the store carries out the first write of the new target's entry late
// by entryDelay: the target receives the log before it is listed.
func (f *Fleet) ReplaceListedLate(g *Group, id string, entryDelay time.Duration) error {
	old := g.Target(id)
	if old.isRetired() {
		return nil
	}
	d, err := g.join(nextID(id, lastSerial.Add(1)), old)
	if err != nil {
		return err
	}
	if err := f.relayTarget(d); err != nil {
		return err
	}
	ended := f.Planned.replace(id)
	if entryDelay > 0 {
		d.receiveUnlisted()
		f.releases.Go(func() { time.Sleep(entryDelay); d.announce() })
	} else {
		d.announce()
	}
	time.Sleep(leaveDelay)
	old.Leave()
	f.releases.Go(func() {
		time.Sleep(f.drainTimeout() + endDelay)
		old.retire()
		ended()
	})
	return nil
}

// Release replaces targets one after the other with a pause between them, while the caller goes on.
func (f *Fleet) Release(g *Group, ids []string, pause time.Duration) {
	f.releases.Go(func() {
		for _, id := range ids {
			if err := f.Replace(g, id); err != nil {
				return
			}
			time.Sleep(pause)
		}
	})
}

// ReleaseNow replaces targets at the same time, and returns once all of them have announced that they leave.
func (f *Fleet) ReleaseNow(g *Group, ids []string) {
	var announced sync.WaitGroup
	for _, id := range ids {
		announced.Go(func() { _ = f.Replace(g, id) })
	}
	announced.Wait()
}

// AwaitReleases waits until all targets that are being replaced have ended.
func (f *Fleet) AwaitReleases() { f.releases.Wait() }

// followPrimaries lets targets follow their primaries, and the store remove the entries of silent targets, until the fleet is
// closed.
func (f *Fleet) followPrimaries() {
	for ticker := time.NewTicker(followInterval); ; {
		select {
		case <-f.stop:
			ticker.Stop()
			return
		case now := <-ticker.C:
			for _, g := range f.Groups {
				for _, id := range g.followPrimary(now) {
					_ = f.Store.Delete("servers", id)
				}
			}
		}
	}
}

// OnNextPause calls a function with the daemon that sends the next PAUSE to a target of a group; nil ends that.
func (f *Fleet) OnNextPause(g *Group, do func(*Daemon)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pauseWatcher = f.withDaemon(do)
}

// OnNextOrder calls a function with the daemon that sends the next order to promote a target of a group, when the order
// has arrived; nil ends that.
func (f *Fleet) OnNextOrder(g *Group, do func(*Daemon)) {
	f.Provider.onNextOrder(g.Name, f.withDaemon(do))
}

func (f *Fleet) withDaemon(do func(*Daemon)) func(source string) {
	if do == nil {
		return nil
	}
	return func(source string) {
		if d := f.daemonAt(source); d != nil {
			go do(d)
		}
	}
}

// Holder returns the daemon that the last statement of the primary of a group came from; nil if there was none.
func (f *Fleet) Holder(g *Group) *Daemon {
	primary := g.Primary()
	g.mu.Lock()
	defer g.mu.Unlock()
	d := g.targets[primary]
	if d == nil || len(d.executed) == 0 {
		return nil
	}
	return f.daemonAt(d.executed[len(d.executed)-1].Source)
}

func (f *Fleet) daemonAt(source string) *Daemon {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, d := range f.Daemons {
		if d.Source == source {
			return d
		}
	}
	return nil
}

// zoneOf returns the zone of the daemon with an IP address; empty if there is none.
func (f *Fleet) zoneOf(source string) string {
	if d := f.daemonAt(source); d != nil {
		return d.Zone
	}
	return ""
}

func (f *Fleet) isCut(zone, other string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return zone != other && (f.cutZones[zone] || f.cutZones[other])
}

// SetZoneCut cuts a zone off from the other zones and from the platform, or ends that: its daemons and targets reach each
// other and their callers.
func (f *Fleet) SetZoneCut(zone string, cut bool) {
	f.mu.Lock()
	f.cutZones[zone] = cut
	f.mu.Unlock()
	for _, g := range f.Groups {
		g.setZoneCut(zone, cut)
	}
	for _, d := range f.Daemons {
		for _, g := range f.Groups {
			for _, id := range g.IDs() {
				f.TargetLink(id).SetPathFaults(d.Source, netfault.PathFaults{Partitioned: f.isCut(d.Zone, g.ZoneOf(id))})
			}
		}
		for _, other := range f.Daemons {
			other.PeerLink.SetPathFaults(d.Source, netfault.PathFaults{Partitioned: f.isCut(d.Zone, other.Zone)})
		}
		if d.Zone != zone {
			continue
		}
		d.StoreLink.SetFaults(netfault.Faults{Partitioned: cut})
		if cut {
			f.Provider.cut.Store(d.Source, true)
		} else {
			f.Provider.cut.Delete(d.Source)
		}
	}
}
