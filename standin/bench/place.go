package bench

import (
	"fmt"

	"github.com/papayacove/papayacove/api"
)

// place is a target with the daemon that holds it and one that forwards to it.
type place struct {
	group    api.GroupSpec
	spec     api.TargetSpec
	holder   string
	forwards string
}

// holders returns the daemon that holds each target.
func (r *running) holders() (map[string]string, error) {
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

// find returns a place whose target matches, whose holder is in the zone of the target, and whose
// forwarding daemon is in that zone too, so that no latency between zones counts.
func (r *running) find(matches func(group api.GroupSpec, spec api.TargetSpec) bool) (place, error) {
	holders, err := r.holders()
	if err != nil {
		return place{}, err
	}
	for _, group := range r.Deployment.Groups {
		for _, spec := range group.Targets {
			holder := holders[spec.Name]
			if r.Settings(holder).Zone != spec.Zone || !matches(group, spec) {
				continue
			}
			for _, other := range r.Deployment.Settings {
				if other.Zone == spec.Zone && other.Name != holder {
					return place{group: group, spec: spec, holder: holder, forwards: other.Name}, nil
				}
			}
		}
	}
	return place{}, fmt.Errorf("no target with two daemons in its zone matches")
}

// primaryPlace finds a primary.
func (r *running) primaryPlace() (place, error) {
	return r.find(func(group api.GroupSpec, spec api.TargetSpec) bool {
		return r.Deployment.Terms[group.Name].Primary == spec.Name
	})
}

// replicaPlace finds a replica.
func (r *running) replicaPlace() (place, error) {
	return r.find(func(group api.GroupSpec, spec api.TargetSpec) bool {
		return r.Deployment.Terms[group.Name].Primary != spec.Name
	})
}
