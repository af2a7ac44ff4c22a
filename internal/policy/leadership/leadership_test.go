package leadership

import (
	"testing"
	"time"
)

const (
	early = 10 * time.Second
	late  = 11 * time.Second
)

func leads(term uint64, at time.Duration) Status {
	return Status{Role: RolePrimary, Term: term, AskedAt: at}
}

func follows(term, paused uint64, at time.Duration) Status {
	return Status{Role: RoleReplica, Term: term, PausedTerm: paused, AskedAt: at}
}

// TestProofNeedsThePrimaryAndAWitness checks which statuses prove that a leads in term 1, in a group of which b is a witness
// and d has joined.
func TestProofNeedsThePrimaryAndAWitness(t *testing.T) {
	members := map[string]bool{"a": true, "b": true, "d": false}
	cases := []struct {
		name     string
		statuses map[string]Status
		at       time.Duration
	}{
		{"the replica alone", map[string]Status{"b": follows(1, 0, late)}, 0},
		{"the primary alone", map[string]Status{"a": leads(1, late)}, 0},
		{"an old primary that has stepped down", map[string]Status{"a": follows(1, 2, late), "b": follows(1, 0, late)}, 0},
		{"both, the primary before", map[string]Status{"a": leads(1, early), "b": follows(1, 0, late)}, early},
		{"both, the replica before", map[string]Status{"a": leads(1, late), "b": follows(1, 0, early)}, early},
		{"a paused replica", map[string]Status{"a": leads(1, late), "b": follows(1, 2, late)}, 0},
		{"a replica that joined after a promotion", map[string]Status{"a": leads(1, late), "d": follows(1, 0, late)}, 0},
		{"the same, and the witness before", map[string]Status{"a": leads(1, late), "b": follows(1, 0, early), "d": follows(1, 0, late)}, early},
		{"all, the witness paused", map[string]Status{"a": leads(1, late), "b": follows(1, 2, early), "d": follows(1, 0, late)}, early},
		{"all, the witness leads later", map[string]Status{"a": leads(1, late), "b": leads(2, early), "d": follows(1, 0, late)}, 0},
		{"all, the witness busy", map[string]Status{"a": leads(1, late), "b": {AskedAt: late}, "d": follows(1, 0, late)}, 0},
		{"a replica that is no member", map[string]Status{"a": leads(1, late), "x": follows(1, 0, late)}, 0},
	}
	for _, c := range cases {
		proof, ok := ProvenAt(c.statuses, "a", 1, members)
		if ok != (c.at != 0) || ok && proof.At != c.at {
			t.Errorf("%s: got a proof %+v, %t, want one of %s", c.name, proof, ok, c.at)
		}
	}
	if _, ok := ProvenAt(map[string]Status{"a": leads(1, late)}, "a", 1, map[string]bool{"a": false}); !ok {
		t.Error("a group of one target: got no proof, want one")
	}
}
