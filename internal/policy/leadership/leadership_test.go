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

// TestProofNeedsThePrimaryAndAWitness checks which statuses prove that a leads in term 1 while the last proof is valid,
// and which of them do after a break of the chain.
func TestProofNeedsThePrimaryAndAWitness(t *testing.T) {
	members := []string{"a", "b", "d"}
	cases := []struct {
		name             string
		statuses         map[string]Status
		chained, started time.Duration
	}{
		{"the replica alone", map[string]Status{"b": follows(1, 0, late)}, 0, 0},
		{"the primary alone", map[string]Status{"a": leads(1, late)}, 0, 0},
		{"an old primary that has stepped down", map[string]Status{"a": follows(1, 2, late), "b": follows(1, 0, late)}, 0, 0},
		{"both, the primary before", map[string]Status{"a": leads(1, early), "b": follows(1, 0, late)}, early, 0},
		{"both, the replica before", map[string]Status{"a": leads(1, late), "b": follows(1, 0, early)}, early, 0},
		{"a paused replica", map[string]Status{"a": leads(1, late), "b": follows(1, 2, late)}, 0, 0},
		{"all", map[string]Status{"a": leads(1, late), "b": follows(1, 0, early), "d": follows(1, 0, late)}, late, early},
		{"all, the witness paused", map[string]Status{"a": leads(1, late), "b": follows(1, 2, early), "d": follows(1, 0, late)}, late, 0},
		{"all, one follows nobody yet", map[string]Status{"a": leads(1, late), "b": follows(1, 0, early), "d": follows(0, 0, late)}, early, early},
		{"all, one leads later", map[string]Status{"a": leads(1, late), "b": leads(2, early), "d": follows(1, 0, late)}, 0, 0},
		{"all, the witness busy", map[string]Status{"a": leads(1, late), "b": {AskedAt: late}, "d": follows(1, 0, late)}, late, 0},
		{"a replica that is no member", map[string]Status{"a": leads(1, late), "x": follows(1, 0, late)}, 0, 0},
	}
	for _, c := range cases {
		for basis, want := range map[string]struct {
			Basis
			at time.Duration
		}{
			"chained":                {Basis{Members: members, IsChained: true, NeedsReplica: true}, c.chained},
			"complete":               {Basis{Members: members, IsComplete: true, NeedsReplica: true}, c.started},
			"neither":                {Basis{Members: members, NeedsReplica: true}, 0},
			"complete, asynchronous": {Basis{Members: members, IsComplete: true}, c.started},
		} {
			proof, ok := ProvenAt(c.statuses, "a", 1, want.Basis)
			if ok != (want.at != 0) || ok && proof.At != want.at {
				t.Errorf("%s, %s: got a proof %+v, %t, want one of %s", c.name, basis, proof, ok, want.at)
			}
		}
	}
}

// TestTargetThatIsKnownAloneProvesItsTermOnlyWithoutReplicas guards against a daemon that has learned of an old primary
// only.
func TestTargetThatIsKnownAloneProvesItsTermOnlyWithoutReplicas(t *testing.T) {
	statuses := map[string]Status{"a": leads(1, late)}
	for _, c := range []struct {
		basis Basis
		want  bool
	}{
		{Basis{IsComplete: true}, true},
		{Basis{IsChained: true}, true},
		{Basis{}, false},
		{Basis{IsComplete: true, IsChained: true, NeedsReplica: true}, false},
	} {
		c.basis.Members = []string{"a"}
		if _, ok := ProvenAt(statuses, "a", 1, c.basis); ok != c.want {
			t.Errorf("%+v: got a proof %t, want %t", c.basis, ok, c.want)
		}
	}
}

// TestRecordOfThePromotionLockProvesItsTerm guards against a record of another term, and one that is newer than the
// status of a primary that has started again since.
func TestRecordOfThePromotionLockProvesItsTerm(t *testing.T) {
	for _, c := range []struct {
		name    string
		own     Status
		settled uint64
		at      time.Duration
	}{
		{"its term", leads(2, late), 2, late},
		{"its term, the primary asked before", leads(2, early), 2, early},
		{"a later term", leads(2, late), 3, 0},
		{"an earlier term", leads(2, late), 1, 0},
		{"no promotion yet", leads(2, late), NoPromotion, late},
		{"a primary that has stepped down", follows(2, 0, late), 2, 0},
		{"no status", Status{}, 2, 0},
	} {
		proof, ok := ProvenByRecord(c.own, "a", 2, c.settled, late)
		if ok != (c.at != 0) || ok && proof.At != c.at {
			t.Errorf("%s: got a proof %+v, %t, want one of %s", c.name, proof, ok, c.at)
		}
	}
}
