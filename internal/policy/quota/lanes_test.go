package quota

import (
	"slices"
	"testing"
	"time"

	"github.com/papayacove/papayacove/internal/policy/placement"
)

// TestCandidatesBelongToTheirLane checks that the candidates of a lane are daemons of its zones, as many as may coordinate,
// that daemons are spread over the lanes where there are fewer zones, and that a single daemon coordinates nothing.
func TestCandidatesBelongToTheirLane(t *testing.T) {
	for _, c := range []struct{ zones, daemons, lanesOfAZone int }{{3, 30, 1}, {8, 80, 1}, {4, 26, 1}, {1, 12, Lanes}, {2, 12, Lanes}} {
		f := NewFleet(daemonName(0))
		f.Observe(members(&load{zones: c.zones, daemons: c.daemons}), 0)
		lanesOf := map[string]map[int]bool{}
		for lane, order := range f.Orders() {
			if len(order) != candidates {
				t.Errorf("%d zones, lane %d: got candidates %v, want %d", c.zones, lane, order, candidates)
			}
			for _, name := range order {
				if f.lanes[name] != lane {
					t.Errorf("%d zones: got candidate %s of lane %d in lane %d", c.zones, name, f.lanes[name], lane)
				}
			}
		}
		for name, lane := range f.lanes {
			if lanesOf[f.zones[name]] == nil {
				lanesOf[f.zones[name]] = map[int]bool{}
			}
			lanesOf[f.zones[name]][lane] = true
		}
		for zone, lanes := range lanesOf {
			if len(lanes) != c.lanesOfAZone {
				t.Errorf("%d zones: got the daemons of zone %s in %d lanes, want %d", c.zones, zone, len(lanes), c.lanesOfAZone)
			}
		}
	}
	f := NewFleet(daemonName(0))
	f.Observe(members(&load{zones: 3, daemons: 1}), 0)
	if orders := f.Orders(); len(orders[0]) != 0 {
		t.Errorf("got coordinators %v of a single daemon, want none", orders)
	}
}

// TestLanesStayWhileAZoneIsNotListed checks that the other zones keep their lanes while the entries of one have lapsed: a
// daemon that changes its lane has no rights until its loans end.
func TestLanesStayWhileAZoneIsNotListed(t *testing.T) {
	f := NewFleet(daemonName(1))
	all := members(&load{zones: 3, daemons: 9})
	f.Observe(all, 0)
	home := f.Home()
	f.Observe(slices.DeleteFunc(slices.Clone(all), func(m placement.Member) bool { return m.Zone == zoneName(0, 3) }), time.Minute)
	if got := f.Home(); got != home {
		t.Errorf("got lane %d without zone %s, want %d as before", got, zoneName(0, 3), home)
	}
}

// TestVersionsShareTheirFirstCoordinators checks that with three zones the first coordinators of both rules are the same daemons.
func TestVersionsShareTheirFirstCoordinators(t *testing.T) {
	f := NewFleet(daemonName(0))
	f.Observe(members(&load{zones: 3, daemons: 37}), 0)
	earlier := f.EarlierCandidates()
	for lane, order := range f.Orders() {
		if !slices.Contains([]string{earlier[0], earlier[candidates], earlier[2*candidates]}, order[0]) {
			t.Errorf("lane %d: got first coordinator %s, want one of the version before: %v", lane, order[0], earlier)
		}
	}
}
