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
	// controllerWindow is how long controllers are measured.
	controllerWindow = 2 * time.Second
	// controllerSettle is the wait for the controllers to start before they are measured.
	controllerSettle = 500 * time.Millisecond
	// controlledGroups is the number of groups that are observed while the number of members varies.
	controlledGroups = 4
)

// errNoCall is returned by calls to other daemons, which the measured controllers must not make.
var errNoCall = errors.New("unexpected call to another daemon")

// fixedMembership is a membership that does not change and in which all members reach the platform.
type fixedMembership struct {
	members []placement.Member
}

func newFixedMembership(count int) fixedMembership {
	membership := fixedMembership{members: make([]placement.Member, count)}
	for i := range membership.members {
		membership.members[i] = placement.Member{Name: fmt.Sprintf("entry-%d", i), Zone: zoneName(i)}
	}
	return membership
}

// Members returns all members.
func (m fixedMembership) Members() []placement.Member { return m.members }

// ReachesPlatform reports that each member reaches the platform.
func (m fixedMembership) ReachesPlatform(string) bool { return true }

// Changes returns 0, as nothing changes.
func (m fixedMembership) Changes() uint64 { return 0 }

// Vantage returns errNoCall.
func (m fixedMembership) Vantage(context.Context, string, *api.VantageRequest) (*api.VantageReply, error) {
	return nil, errNoCall
}

// Admission returns errNoCall.
func (m fixedMembership) Admission(context.Context, string, *api.AdmissionRequest) (*api.AdmissionReply, error) {
	return nil, errNoCall
}

// Announce does nothing.
func (m fixedMembership) Announce(api.GroupTerm) {}

// measureControllers measures the failover controllers on a daemon that controls no group: those of groups that it does
// not observe while the number of groups varies, and those of observed groups while the number of members varies.
func measureControllers(ctx context.Context) ([]Result, error) {
	var results []Result
	for _, groups := range []int{10, 100, 600} {
		findNone := func(string) (*observer.Observer, bool) { return nil, false }
		rate, err := runControllers(ctx, groupSpecs(groups), newFixedMembership(fewMembers), findNone)
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

// measureObservedControllers measures the controllers of observed groups. The figures include the status calls of the
// observers.
func measureObservedControllers(ctx context.Context, members int) (Rate, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	observers := make(map[string]*observer.Observer)
	var groups []api.GroupSpec
	for i := range controlledGroups {
		var addresses []string
		for range targetsPerGroup {
			fake, err := newFakeTarget(0)
			if err != nil {
				return Rate{}, err
			}
			defer fake.close()
			addresses = append(addresses, fake.listener.Addr().String())
		}
		group := groupSpec(i, addresses...)
		groups = append(groups, group)
		observers[group.Name] = observer.New(group, target.Options{User: "papayacove"})
		observers[group.Name].Run(ctx)
	}
	findObserver := func(group string) (*observer.Observer, bool) { return observers[group], true }
	return runControllers(ctx, groups, newFixedMembership(members), findObserver)
}

// runControllers measures the controllers of groups on a daemon that is not a member and controls no group.
// findObserver returns the observer of a group, if the daemon observes it.
func runControllers(ctx context.Context, groups []api.GroupSpec, membership fixedMembership, findObserver func(string) (*observer.Observer, bool)) (Rate, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	manager := failover.NewManager(failover.Options{
		Self: "none", Daemons: membership, Terms: terms.NewTable(), Observer: findObserver,
		Groups:          func() []api.GroupSpec { return groups },
		Holder:          func(string) string { return "" },
		IsLeaving:       func(string) bool { return false },
		PlatformReached: func() bool { return true },
	})
	go manager.Run(ctx)
	return measureRate(ctx, controllerSettle, controllerWindow)
}
