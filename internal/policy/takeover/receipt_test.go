package takeover

import (
	"slices"
	"testing"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/policy/leadership"
)

// receiver returns a replica that follows a term and has received its log up to an offset.
func receiver(term, offset uint64) Receiver {
	return Receiver{Status: leadership.Status{Role: leadership.RoleReplica, Term: term, Received: api.Position{Term: term, Offset: offset}}}
}

// TestConfirmationNeedsAListedReplicaWithTheCommit covers whose receipt confirms a commit that ends at 2/7.
func TestConfirmationNeedsAListedReplicaWithTheCommit(t *testing.T) {
	leaving, silent := receiver(2, 7), receiver(2, 6)
	leaving.Leaving, silent.Silent = true, true
	promoted, otherLog := receiver(2, 7), receiver(2, 7)
	promoted.Status.Role = leadership.RolePrimary
	otherLog.Status.Received = api.Position{Term: 3, Offset: 8}
	for _, c := range []struct {
		name      string
		replicas  map[string]Receiver
		one, each bool
	}{
		{"none is listed", nil, false, false},
		{"none has it", map[string]Receiver{"b": receiver(2, 6), "c": receiver(2, 5)}, false, false},
		{"one has it", map[string]Receiver{"b": receiver(2, 6), "c": receiver(2, 7)}, true, false},
		{"both have it", map[string]Receiver{"b": receiver(2, 8), "c": receiver(2, 7)}, true, true},
		{"one of an earlier term is as long", map[string]Receiver{"b": receiver(1, 7)}, false, false},
		{"one of a later term is longer", map[string]Receiver{"b": receiver(3, 8)}, false, false},
		{"its log is of a later term than it follows", map[string]Receiver{"b": otherLog}, false, false},
		{"it leads", map[string]Receiver{"b": promoted}, false, false},
		{"only the one that leaves has it", map[string]Receiver{"b": receiver(2, 6), "c": leaving}, false, false},
		{"the one that leaves is alone", map[string]Receiver{"c": leaving}, true, true},
		{"the one that stays does not answer", map[string]Receiver{"b": silent, "c": leaving}, true, false},
	} {
		position := api.Position{Term: 2, Offset: 7}
		if got := IsConfirmed(c.replicas, 2, position, false); got != c.one {
			t.Errorf("%s: got confirmed %t, want %t", c.name, got, c.one)
		}
		if got := IsConfirmed(c.replicas, 2, position, true); got != c.each {
			t.Errorf("%s, all are needed: got confirmed %t, want %t", c.name, got, c.each)
		}
		if IsConfirmed(c.replicas, 2, api.Position{}, false) {
			t.Errorf("%s: got a commit without a position confirmed", c.name)
		}
	}
}

// TestLeavingReplicaConfirmsOnlyWhileNoOtherAnswers guards against the success of a commit whose only other copy goes
// with a replica that leaves.
func TestLeavingReplicaConfirmsOnlyWhileNoOtherAnswers(t *testing.T) {
	for _, c := range []struct {
		staysSilent bool
		want        []string
	}{{false, []string{"b"}}, {true, []string{"b", "c"}}} {
		got := Confirming(map[string]Receiver{"b": {Silent: c.staysSilent}, "c": {Leaving: true}})
		if slices.Sort(got); !slices.Equal(got, c.want) {
			t.Errorf("b stays, silent %t: got %v, want %v", c.staysSilent, got, c.want)
		}
	}
}
