package capacity

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/failover"
	"github.com/papayacove/papayacove/internal/observer"
	"github.com/papayacove/papayacove/internal/policy/placement"
	"github.com/papayacove/papayacove/internal/target"
	"github.com/papayacove/papayacove/internal/terms"
)

const (
	// controllerWindow is the time over which controllers are measured.
	controllerWindow = 2 * time.Second
	// controllerSettle is the time in which controllers start.
	controllerSettle = 500 * time.Millisecond
	// controlledGroups is the number of groups that are observed while the number of members varies.
	controlledGroups = 4
)

// errNoCall is returned for calls that the measured controllers must not make.
var errNoCall = errors.New("no call is expected")

// fleetView is a fixed membership in which the first member reaches the platform.
type fleetView struct {
	members []placement.Member
}

func newFleetView(count int) fleetView {
	view := fleetView{members: make([]placement.Member, count)}
	for i := range view.members {
		view.members[i] = placement.Member{Name: fmt.Sprintf("entry-%d", i), Zone: zoneName(i)}
	}
	return view
}

// Members returns all members.
func (v fleetView) Members() []placement.Member { return v.members }

// ReachesPlatform reports that each member reaches the platform.
func (v fleetView) ReachesPlatform(string) bool { return true }

// Changes reports that nothing changes.
func (v fleetView) Changes() uint64 { return 0 }

// Vantage fails.
func (v fleetView) Vantage(context.Context, string, *api.VantageRequest) (*api.VantageReply, error) {
	return nil, errNoCall
}

// Admission fails.
func (v fleetView) Admission(context.Context, string, *api.AdmissionRequest) (*api.AdmissionReply, error) {
	return nil, errNoCall
}

// Announce does nothing.
func (v fleetView) Announce(api.GroupTerm) {}

// measureControllers varies the number of groups, and the number of members for observed groups.
func measureControllers(ctx context.Context) ([]Result, error) {
	var results []Result
	for _, groups := range []int{10, 100, 600} {
		none := func(string) (*observer.Observer, bool) { return nil, false }
		rate, err := runControllers(ctx, groupSpecs(groups), newFleetView(fewMembers), none)
		if err != nil {
			return nil, err
		}
		name := fmt.Sprintf("controller_processor_%d_groups_none_observed", groups)
		results = append(results, Result{name, 100 * rate.Processor, "%core"})
	}
	for _, count := range []int{5, 60, 1000} {
		rate, err := measureObservedControllers(ctx, count)
		if err != nil {
			return nil, err
		}
		name := fmt.Sprintf("controller_processor_per_observed_group_%d_members", count)
		results = append(results, Result{name, 100 * rate.Processor / controlledGroups, "%core"})
	}
	return results, nil
}

// measureObservedControllers includes the status calls of the observed groups.
func measureObservedControllers(ctx context.Context, members int) (Rate, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	observers := make(map[string]*observer.Observer)
	var groups []api.GroupSpec
	for i := range controlledGroups {
		var addresses []string
		for range targetsPerGroup {
			a, err := newAnswerer(0)
			if err != nil {
				return Rate{}, err
			}
			defer a.close()
			addresses = append(addresses, a.listener.Addr().String())
		}
		group := groupSpec(i, addresses...)
		groups = append(groups, group)
		observers[group.Name] = observer.New(group, target.Options{User: "papayacove"})
		observers[group.Name].Run(ctx)
	}
	find := func(group string) (*observer.Observer, bool) { return observers[group], true }
	return runControllers(ctx, groups, newFleetView(members), find)
}

// runControllers measures the controllers of groups on a daemon that controls none of them.
func runControllers(ctx context.Context, groups []api.GroupSpec, view fleetView, find func(string) (*observer.Observer, bool)) (Rate, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	manager := failover.NewManager(failover.Options{
		Self: "none", Daemons: view, Terms: terms.NewTable(), Observer: find,
		Groups:          func() []api.GroupSpec { return groups },
		Holder:          func(string) string { return "" },
		IsLeaving:       func(string) bool { return false },
		PlatformReached: func() bool { return true },
	})
	go manager.Run(ctx)
	return measureRate(ctx, controllerSettle, controllerWindow)
}
