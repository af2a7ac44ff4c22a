package capacity

import (
	"context"
	"fmt"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/gate"
	"github.com/papayacove/papayacove/internal/policy/placement"
	"github.com/papayacove/papayacove/internal/terms"
)

const (
	// placementGroups is the number of groups that are placed.
	placementGroups = 600
	// placementRounds is the number of placements over which the time of one is averaged.
	placementRounds = 5
)

// measurePlacement measures the placement of all targets while the number of members varies.
func measurePlacement(context.Context) ([]Result, error) {
	var results []Result
	groups := groupSpecs(placementGroups)
	for _, count := range []int{5, 60, 1000} {
		members := make([]placement.Member, count)
		for i := range members {
			members[i] = placement.Member{Name: fmt.Sprintf("entry-%d", i), Zone: zoneName(i)}
		}
		// The measured daemon is not among the members, so it becomes the holder of no target and opens no gate.
		manager := gate.NewManager(gate.ManagerOptions{
			Self: "none", Terms: terms.NewTable(),
			Members: func() []placement.Member { return members },
			Groups:  func() []api.GroupSpec { return groups },
		})
		manager.Refresh()
		used, err := processorTimeOf(func() {
			for range placementRounds {
				manager.Refresh()
			}
		})
		if err != nil {
			return nil, err
		}
		name := fmt.Sprintf("placement_%d_members_%d_groups", count, placementGroups)
		results = append(results, Result{name, milliseconds(used) / placementRounds, "ms"})
	}
	return results, nil
}
