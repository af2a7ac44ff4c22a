package operator

import (
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/papayacove/papayacove/api"
)

// startDaemon returns the admin address of a daemon that returns a fixed status, and fixed decisions filtered by
// kind. It rejects a query for another group or limit than those that the tests use.
func startDaemon(t *testing.T, status api.DaemonStatus, decisions []api.Decision) string {
	t.Helper()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(status)
	})
	mux.HandleFunc("GET /decisions", func(w http.ResponseWriter, r *http.Request) {
		if r.FormValue("group") != "rounds-db-1" || r.FormValue("limit") != "100" {
			http.Error(w, "unexpected query", http.StatusBadRequest)
			return
		}
		var chosen []api.Decision
		for _, d := range decisions {
			if r.FormValue("kind") == "" || r.FormValue("kind") == d.Event {
				chosen = append(chosen, d)
			}
		}
		_ = json.NewEncoder(w).Encode(api.DecisionList{Decisions: chosen})
	})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func TestStatusOfAllDaemons(t *testing.T) {
	server := startPlatform(t)
	first := startDaemon(t, api.DaemonStatus{
		Name: "entry-1", Zone: "colombo", ConfigRevision: 1, PlatformReached: true,
		Targets: []api.HeldTargetStatus{{Target: "t1", Group: "rounds-db-1", Role: "primary", Term: 2, Slots: 5, SlotsInUse: 3}},
		Groups:  []api.GroupTerm{{Group: "rounds-db-1", Term: 2}},
	}, nil)
	second := startDaemon(t, api.DaemonStatus{
		Name: "entry-2", Zone: "gampaha", ConfigRevision: 99,
		Targets: []api.HeldTargetStatus{
			{Target: "t1", Group: "rounds-db-1", AgeMs: -1},
			{Target: "t2", Group: "rounds-db-1", Role: "primary", Term: 1},
			{Target: "t3", Group: "rounds-db-1", Role: "replica", Term: 2, AgeMs: 60_000},
		},
		Groups: []api.GroupTerm{{Group: "rounds-db-1", Term: 2, Primary: "t1"}},
	}, nil)
	server.SetVMs([]api.VM{
		{Name: "entry-1", Role: api.VMRoleEntry, AdminAddress: first},
		{Name: "entry-2", Role: api.VMRoleEntry, AdminAddress: second},
		{Name: "entry-3", Role: api.VMRoleEntry, AdminAddress: "127.0.0.1:1"},
		{Name: "t1", Role: api.VMRoleTarget},
	}, 0)
	wantText(t, mustRun(t, server, "status"),
		"rounds-db-1  2     t1", "3/5", "unknown",
		"daemon entry-3: no answer",
		"daemon entry-1: configuration 1, the platform has",
		"daemon entry-2: does not reach the platform",
		"target t1: silent",
		"target t2: at term 1, group rounds-db-1 is at term 2",
		"target t3: its data is 60000 ms old",
		"target t1: held by entry-1 and entry-2")
}

func TestStatusOfOneDaemonNeedsNoPlatform(t *testing.T) {
	address := startDaemon(t, api.DaemonStatus{Name: "entry-1", PlatformReached: true}, nil)
	out := mustRun(t, nil, "--output", "json", "--daemon", address, "status")
	var fleet FleetStatus
	if err := json.Unmarshal([]byte(out), &fleet); err != nil || len(fleet.Daemons) != 1 || len(fleet.Problems) != 0 {
		t.Errorf("status = %s, %v, want one daemon and no problems", out, err)
	}
}

func TestExplainMergesByTime(t *testing.T) {
	field := func(key, value string) []api.DecisionField {
		return []api.DecisionField{{Key: key, Value: value}}
	}
	first := startDaemon(t, api.DaemonStatus{}, []api.Decision{
		{TimeMs: 1000, Daemon: "entry-1", Event: "primary_suspected", Fields: field("silence_ms", "900")},
		{TimeMs: 1200, Daemon: "entry-1", Event: "read_routed"},
		{TimeMs: 1300, Daemon: "entry-1", Event: "promotion_step", Fields: field("step", "promote")},
	})
	second := startDaemon(t, api.DaemonStatus{}, []api.Decision{
		{TimeMs: 1100, Daemon: "entry-2", Event: "term_observed", Fields: field("term", "2")},
	})
	arguments := []string{"--daemon", first, "--daemon", second, "explain", "--group", "rounds-db-1"}
	rows := strings.Split(strings.TrimSpace(mustRun(t, nil, append(arguments, "--kind", "promotion")...)), "\n")
	if len(rows) != 5 {
		t.Fatalf("explain printed %q, want 5 rows", rows)
	}
	wantText(t, rows[2], "1", "+0 ms", "suspects the primary", "silence_ms=900")
	wantText(t, rows[3], "2", "+100 ms", "entry-2", "learns of a term", "term=2")
	wantText(t, rows[4], "3", "+300 ms", "takes a step of the promotion", "step=promote")
	wantText(t, mustRun(t, nil, arguments...), "sends a read to a target")
}

func TestCertificatesAreSignedByTheAuthority(t *testing.T) {
	directory := filepath.Join(t.TempDir(), "keys")
	arguments := []string{"keys", "certificates", "--directory", directory, "entry-1=127.0.0.1", "entry-2=127.0.0.2"}
	mustRun(t, nil, arguments...)
	if _, err := run(nil, arguments...); err == nil {
		t.Error("keys certificates over existing files: got no error, want one")
	}
	authority, err := os.ReadFile(filepath.Join(directory, "authority.pem"))
	if err != nil {
		t.Fatal(err)
	}
	roots := x509.NewCertPool()
	roots.AppendCertsFromPEM(authority)
	for name, address := range map[string]string{"entry-1": "127.0.0.1", "caller": "127.0.0.2"} {
		pair, err := tls.LoadX509KeyPair(filepath.Join(directory, name+".pem"), filepath.Join(directory, name+".key"))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := pair.Leaf.Verify(x509.VerifyOptions{Roots: roots, DNSName: address}); err != nil {
			t.Errorf("certificate %s: Verify = %v, want no error", name, err)
		}
	}
}

func TestVerifier(t *testing.T) {
	wantText(t, mustRun(t, nil, "keys", "verifier"), "SCRAM-SHA-256$4096:")
}
