package connections

import (
	"slices"
	"testing"
	"time"
)

var start = time.Unix(1_000_000, 0)

func after(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// used returns the use of a target by each workspace, the given number of times in the second before start.
func used(times map[string]int) *Usage {
	u := NewUsage()
	for workspace, n := range times {
		for range n {
			u.Began(workspace, start)
			u.Ended(workspace, start)
		}
	}
	return u
}

// TestWaitingStatementNeverWaitsForIdleConnections covers the ways to a connection: while any is unused, one is used again
// or closed for the statement.
func TestWaitingStatementNeverWaitsForIdleConnections(t *testing.T) {
	u := used(map[string]int{"often": 9, "seldom": 1, "now": 1})
	u.Began("now", start)
	often, seldom := Idle{"often", after(0)}, Idle{"seldom", after(1)}
	cases := []struct {
		name      string
		workspace string
		state     State
		want      Decision
	}{
		{"own one is unused", "often", State{Idle: []Idle{seldom, often}, Busy: 1, Limit: 3}, Decision{Action: Reuse}},
		{"room left", "new", State{Idle: []Idle{often}, Busy: 1, Limit: 3}, Decision{Action: Open, Reason: ReasonFirst}},
		{"room left, own in use", "now", State{Idle: []Idle{often}, Busy: 1, Limit: 3}, Decision{Action: Open, Reason: ReasonAllInUse}},
		{"limit may grow", "new", State{Idle: []Idle{often, seldom}, Busy: 1, Limit: 3, MayGrow: true}, Decision{Action: Open, Reason: ReasonFirst, Grow: true}},
		{"all idle ones are of others", "new", State{Idle: []Idle{often, seldom}, Busy: 1, Limit: 3}, Decision{Action: Evict, Reason: ReasonFirst, Victim: 1}},
		{"all in use or closing", "new", State{Busy: 3, Limit: 3}, Decision{Action: Await}},
	}
	for _, c := range cases {
		got := u.Choose(c.workspace, c.state, start)
		got.ExpectedUse = 0
		if got != c.want {
			t.Errorf("%s: got %+v, want %+v", c.name, got, c.want)
		}
	}
}

// TestSecondConnectionIsWorthItsOwnUse closes the second connection of a workspace that is used all the time but never
// twice at once, rather than the only one of a workspace that is used now and then.
func TestSecondConnectionIsWorthItsOwnUse(t *testing.T) {
	u := used(map[string]int{"often": 50, "seldom": 2})
	idle := []Idle{{"often", after(0)}, {"often", after(0)}, {"seldom", after(-5)}}
	if i, _ := u.LeastExpected(idle, start); idle[i].Workspace != "often" {
		t.Errorf("got a connection of %s closed, want one of the two of the workspace that uses one at a time", idle[i].Workspace)
	}
}

// TestUnwanted covers what is closed after the idle timeout of 3 s.
func TestUnwanted(t *testing.T) {
	idle := []Idle{{"forgotten", after(-200)}, {"often", after(-4)}, {"often", after(-4)}, {"new", after(-1)}}
	u := used(map[string]int{"often": 20, "new": 1})
	cases := []struct {
		name      string
		keepsUsed bool
		at        float64
		want      []int
	}{
		{"kept while expected to be used", true, 0, []int{2, 0}},
		{"turns are taken", false, 0, []int{2, 1, 0}},
		{"the daemon does not use the target", true, 4, []int{3, 2, 1, 0}},
	}
	for _, c := range cases {
		if got := u.Unwanted(idle, 3*time.Second, c.keepsUsed, after(c.at)); !slices.Equal(got, c.want) {
			t.Errorf("%s: got %v closed, want %v", c.name, got, c.want)
		}
	}
}

// TestTransactionsOfOneWorkspaceLeaveRoom bounds the transactions of one workspace.
func TestTransactionsOfOneWorkspaceLeaveRoom(t *testing.T) {
	for transactions, want := range map[int]int{0: 1, 1: 1, 2: 1, 34: 17} {
		if got := MaxTransactions(transactions); got != want {
			t.Errorf("%d transactions: got %d for one workspace, want %d", transactions, got, want)
		}
	}
}

// TestMemoryIsBounded lets more workspaces come and go than are remembered.
func TestMemoryIsBounded(t *testing.T) {
	u := NewUsage()
	for i := range 5 * maxWorkspaces {
		now := after(float64(i))
		name := now.String()
		u.Began(name, now)
		u.Ended(name, now)
	}
	if len(u.workspaces) > maxWorkspaces {
		t.Errorf("got %d workspaces remembered, want at most %d", len(u.workspaces), maxWorkspaces)
	}
}
