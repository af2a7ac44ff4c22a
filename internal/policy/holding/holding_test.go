package holding

import (
	"testing"

	"pgregory.net/rapid"
)

// TestHoldersAreUsedWhereDaemonsShare decides for deployments of different sizes: one queue orders the load of a target
// wherever several daemons share its connections.
func TestHoldersAreUsedWhereDaemonsShare(t *testing.T) {
	cases := []struct {
		limits Limits
		want   bool
	}{
		{Limits{Connections: 0, Slots: 3, Daemons: 100}, false},
		{Limits{Connections: 1, Slots: 1, Daemons: 1}, false},
		{Limits{Connections: 34, Slots: 5, Daemons: 0}, false},
		{Limits{Connections: 34, Slots: 5, Daemons: 4}, true},
		{Limits{Connections: 30, Slots: 2, Daemons: 10}, true},
		{Limits{Connections: 30, Slots: 2, Daemons: 11}, true},
		{Limits{Connections: 60, Slots: 6, Daemons: 25}, true},
		{Limits{Connections: 50, Slots: 3, Daemons: 1000}, true},
		{Limits{Connections: 50, Slots: 0, Daemons: 26}, true},
	}
	for _, c := range cases {
		if got := NeedsHolders(c.limits); got != c.want {
			t.Errorf("%+v: got holders %t, want %t", c.limits, got, c.want)
		}
	}
}

// TestHolderShareFitsTheTarget checks that open transactions leave connections for statements, and that a holder does
// not use up the connections of the target.
func TestHolderShareFitsTheTarget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := Limits{Connections: rapid.IntRange(2, 500).Draw(t, "connections"), Slots: rapid.IntRange(0, 20).Draw(t, "slots"), Daemons: 40}
		s := HolderShare(l)
		if s.Connections >= l.Connections || s.Statements < 1 || s.Transactions < 1 {
			t.Fatalf("%+v: got share %+v, want part of the connections and at least one statement and transaction", l, s)
		}
		if s.Connections > 1 && s.Statements+s.Transactions > s.Connections {
			t.Fatalf("%+v: got share %+v, want statements and transactions to fit the connections", l, s)
		}
	})
}
