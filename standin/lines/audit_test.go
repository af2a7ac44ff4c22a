package lines

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// TestAuditFindsEachBreach gives the audit one history for each rule of keys and limits, and the same history without the
// breach.
func TestAuditFindsEachBreach(t *testing.T) {
	start := time.Now()
	at := func(d time.Duration) time.Time { return start.Add(d) }
	bounds := Bounds{Revoke: 3 * time.Second, ConfigApply: 3 * time.Second, Window: 2 * time.Second, Overage: 0.1, Slack: 10}
	// A window allows (10 x 2 + 5) x 1.1 + 10 = 37.5 operations of "one".
	both := []Workspace{{Name: "one", Keys: []string{"k1", "k2"}, RatePerS: 10, Burst: 5}, {Name: "two", Keys: []string{"k3"}, RatePerS: 1000, Burst: 5}}
	withdrawn := []Workspace{{Name: "one", Keys: []string{"k2"}, RatePerS: 10, Burst: 5}, both[1]}
	lowered := []Workspace{{Name: "one", Keys: []string{"k1", "k2"}, RatePerS: 1, Burst: 0}, both[1]}
	runs := func(key, workspace string, count int, first, travel time.Duration) Audit {
		a := Audit{Bounds: bounds, sent: map[string]sent{}, versions: []workspaceVersion{{start, both}}}
		for i := range count {
			id := fmt.Sprint(i)
			a.sent[id] = sent{key: key, at: at(first)}
			a.executions = append(a.executions, Execution{ID: id, Workspace: workspace, ArrivedAt: at(first + travel), BeginsOperation: true})
		}
		return a
	}
	with := func(a Audit, version time.Duration, workspaces []Workspace) Audit {
		a.versions = append(a.versions, workspaceVersion{at(version), workspaces})
		return a
	}
	cases := []struct {
		name   string
		audit  Audit
		breach string
	}{
		{"own workspace", runs("k1", "one", 1, 0, 0), ""},
		{"workspace of another", runs("k1", "two", 1, 0, 0), "workspace of another caller"},
		{"no workspace", runs("k1", "papayacove", 1, 0, 0), "workspace of another caller"},
		{"unknown key", runs("k9", "one", 1, 0, 0), "key that no configuration held"},
		{"route open to all", runs("", "papayacove", 1, 0, 0), ""},
		{"withdrawn key, within the bound", with(runs("k1", "one", 1, 3900*time.Millisecond, 0), time.Second, withdrawn), ""},
		{"withdrawn key, after it", with(runs("k1", "one", 1, 4100*time.Millisecond, 0), time.Second, withdrawn), "withdrawn key"},
		{"withdrawn key, given again", with(with(runs("k1", "one", 1, 4100*time.Millisecond, 0), time.Second, withdrawn), 2*time.Second, both), ""},
		{"as many as allowed", runs("k1", "one", 37, 0, 0), ""},
		{"one more", runs("k1", "one", 38, 0, 0), "limit of a workspace"},
		{"one more, not all arrive within the window", runs("k1", "one", 38, 0, 2100*time.Millisecond), ""},
		{"lowered limit, before it binds", with(runs("k1", "one", 30, 5900*time.Millisecond, 0), time.Second, lowered), ""},
		{"lowered limit, after it binds", with(runs("k1", "one", 30, 6100*time.Millisecond, 0), time.Second, lowered), "limit of a workspace"},
	}
	for _, c := range cases {
		got := c.audit.Breaches()
		if c.breach == "" && len(got) > 0 || c.breach != "" && (len(got) == 0 || !strings.HasPrefix(got[0], c.breach)) {
			t.Errorf("%s: got breaches %v, want %q", c.name, got, c.breach)
		}
	}
}

// TestAuditCountsWrongRefusals covers which refusals over a quota count as wrong.
func TestAuditCountsWrongRefusals(t *testing.T) {
	start := time.Now()
	w := Workspace{Name: "one", Keys: []string{"k1"}, RatePerS: 2}
	for name, c := range map[string]struct {
		interval time.Duration
		want     int
	}{"at half of the rate": {time.Second, 10}, "at five times the rate": {100 * time.Millisecond, 4}} {
		a := Audit{Bounds: Bounds{Window: 2 * time.Second}, sent: map[string]sent{}, versions: []workspaceVersion{{start, []Workspace{w}}}}
		for i := range 10 {
			a.sent[fmt.Sprint(i)] = sent{key: "k1", at: start.Add(time.Duration(i) * c.interval), refusedOverQuota: true}
		}
		if refused, asked := a.WronglyRefused(w, start); refused != c.want || asked != 10 {
			t.Errorf("%s: got %d wrong refusals of %d, want %d of 10", name, refused, asked, c.want)
		}
	}
}

// TestStoreRestoreUndoesWithdrawals covers that a withdrawal counts from when the operator has written it again.
func TestStoreRestoreUndoesWithdrawals(t *testing.T) {
	var log OperatorLog
	now := time.Now()
	log.record(now.Add(-10*time.Second), []Workspace{{Name: "one", Keys: []string{"k1"}}})
	log.record(now.Add(-time.Second), []Workspace{{Name: "one"}})
	log.recordRestore(now.Add(-2 * time.Second))
	if at, withdrawn := (Audit{versions: log.versions}).withdrawnAt("k1"); withdrawn {
		t.Errorf("withdrawal that the restored store lacks: got one at %v, want none", at)
	}
	log.record(now.Add(time.Second), []Workspace{{Name: "one"}})
	if at, withdrawn := (Audit{versions: log.versions}).withdrawnAt("k1"); !withdrawn || !at.Equal(now.Add(time.Second)) {
		t.Errorf("withdrawal that the operator wrote again: got %v, %t, want %v", at, withdrawn, now.Add(time.Second))
	}
}
