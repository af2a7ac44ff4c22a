package daemon

import (
	"context"
	"time"

	"github.com/papayacove/papayacove/internal/policy/placement"
	"github.com/papayacove/papayacove/internal/policy/promotion"
)

const (
	// watchersPerZone is the number of daemons of an availability zone that watch the configuration at the platform;
	// the others fetch changes from peers, because the platform counts each pending watch as a call.
	watchersPerZone = 2
	// watcherCheckInterval is the time between checks whether this daemon has to watch.
	watcherCheckInterval = 200 * time.Millisecond
	// maxTimeWithoutWatch is the time after which a daemon watches once although enough others do, because peers that
	// started after a deletion cannot report it.
	maxTimeWithoutWatch = time.Minute
)

// awaitWatch blocks until this daemon is one of the watchers of the configuration, maxTimeWithoutWatch has passed or
// ctx ends.
func (d *Daemon) awaitWatch(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, maxTimeWithoutWatch)
	defer cancel()
	ticker := time.NewTicker(watcherCheckInterval)
	defer ticker.Stop()
	for !isWatcher(d.settings.Name, d.settings.Zone, d.controllers()) {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// controllers returns the live daemons, including this one, and whether the others reach the platform.
func (d *Daemon) controllers() []promotion.Controller {
	members := d.members.Members()
	list := make([]promotion.Controller, 0, len(members))
	for _, member := range members {
		list = append(list, promotion.Controller{Member: member, PlatformReached: d.members.ReachesPlatform(member.Name)})
	}
	return list
}

// isWatcher reports whether a daemon watches the configuration. It does unless watchersPerZone other daemons of its
// availability zone precede it in rendezvous order, reach the platform and are not leaving.
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
