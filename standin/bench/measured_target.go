package bench

import (
	"fmt"

	"github.com/papayacove/papayacove/api"
)

// measuredTarget is a target with its holder, the daemon that has its gate, and a daemon that forwards to the holder.
type measuredTarget struct {
	group     api.GroupSpec
	spec      api.TargetSpec
	holder    string
	forwarder string
}

// holders returns the daemon that holds each target, by the name of the target.
func (r *runningFleet) holders() (map[string]string, error) {
	holders := make(map[string]string)
	for name := range r.Daemons {
		status, err := r.Status(name)
		if err != nil {
			return nil, err
		}
		for _, held := range status.Targets {
			holders[held.Target] = name
		}
	}
	return holders, nil
}

// findTarget returns a target that matches and has a holder and another daemon in its own availability zone, so that
// the latency between zones is not part of the figures. It fails if there is none.
func (r *runningFleet) findTarget(matches func(group api.GroupSpec, spec api.TargetSpec) bool) (measuredTarget, error) {
	holders, err := r.holders()
	if err != nil {
		return measuredTarget{}, err
	}
	for _, group := range r.Deployment.Groups {
		for _, spec := range group.Targets {
			holder := holders[spec.Name]
			if r.Settings(holder).Zone != spec.Zone || !matches(group, spec) {
				continue
			}
			for _, other := range r.Deployment.Settings {
				if other.Zone == spec.Zone && other.Name != holder {
					return measuredTarget{group: group, spec: spec, holder: holder, forwarder: other.Name}, nil
				}
			}
		}
	}
	return measuredTarget{}, fmt.Errorf("no matching target has its holder and another daemon in its zone")
}

// findPrimary returns a target as findTarget does that was a primary at the start of the fleet.
func (r *runningFleet) findPrimary() (measuredTarget, error) {
	return r.findTarget(func(group api.GroupSpec, spec api.TargetSpec) bool {
		return r.Deployment.Terms[group.Name].Primary == spec.Name
	})
}

// findReplica returns a target as findTarget does that was a replica at the start of the fleet.
func (r *runningFleet) findReplica() (measuredTarget, error) {
	return r.findTarget(func(group api.GroupSpec, spec api.TargetSpec) bool {
		return r.Deployment.Terms[group.Name].Primary != spec.Name
	})
}
