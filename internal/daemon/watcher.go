package daemon

import (
	"context"
	"time"

	"github.com/papayacove/papayacove/internal/policy/placement"
	"github.com/papayacove/papayacove/internal/policy/promotion"
)

const (
	// watchersPerZone is the number of daemons of an availability zone that watch the configuration;
	// the others learn changes from peers. The platform counts a waiting watch as a call.
	watchersPerZone = 2
	// watcherInterval is the time between two looks whether this daemon has to watch.
	watcherInterval = 200 * time.Millisecond
	// maxWatchPause is the time after which a daemon watches once though others do. Peers that
	// started after a deletion don't know of it.
	maxWatchPause = time.Minute
)

// awaitWatch returns when this daemon has to watch the configuration.
func (d *Daemon) awaitWatch(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, maxWatchPause)
	defer cancel()
	ticker := time.NewTicker(watcherInterval)
	defer ticker.Stop()
	for !isWatcher(d.settings.Name, d.settings.Zone, d.controllers()) {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// controllers returns the live daemons with whether they reach the platform.
func (d *Daemon) controllers() []promotion.Controller {
	members := d.members.Members()
	list := make([]promotion.Controller, 0, len(members))
	for _, member := range members {
		list = append(list, promotion.Controller{Member: member, PlatformReached: d.members.ReachesPlatform(member.Name)})
	}
	return list
}

// isWatcher decides whether a daemon watches the configuration. It does unless enough others of its
// availability zone, which come before it in rendezvous order, reach the platform and stay.
func isWatcher(self, zone string, daemons []promotion.Controller) bool {
	reaches := make(map[string]bool, len(daemons))
	var members []placement.Member
	for _, daemon := range daemons {
		if daemon.Member.Zone == zone {
			members = append(members, daemon.Member)
			reaches[daemon.Member.Name] = daemon.PlatformReached
		}
	}
	before := 0
	for _, member := range placement.Order("configuration", members) {
		if member.Name == self {
			break
		}
		if reaches[member.Name] && !member.Leaving {
			before++
		}
	}
	return before < watchersPerZone
}
