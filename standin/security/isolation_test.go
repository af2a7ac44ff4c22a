package security

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/papayacove/papayacove/internal/result"
)

func TestCallersNeedTLS(t *testing.T) {
	conn, err := pgx.Connect(testContext(t), shared.ConnectURL(daemon(0), "kelani", group, "crew", "crew"))
	if err == nil {
		conn.Close(testContext(t))
		t.Error("a session in the clear was admitted")
	}
}

func TestGroupsOfOtherWorkspacesAreUnknown(t *testing.T) {
	connect(t, daemon(0), "north")
	_, err := dial(t, daemon(0), "north", otherGroup, "crew", "crew")
	wantCode(t, err, result.UnknownGroup)
	_, err = dial(t, daemon(0), "kelani", otherGroup, "crew", "map")
	wantCode(t, err, result.AuthenticationFailed)
}

func TestOperationKeysOfOtherWorkspaces(t *testing.T) {
	kelani, north := connect(t, daemon(0), "kelani"), connect(t, daemon(1), "north")
	mustExec(t, kelani, "CREATE TABLE claims (id int)")
	mustExec(t, kelani, "/* papayacove operation_key=round-7 */ INSERT INTO claims VALUES (1)")
	if got := mustQuery(t, kelani, "SELECT papayacove_outcome('round-7')"); got != "committed" {
		t.Errorf("own key = %s", got)
	}
	if got := mustQuery(t, north, "SELECT papayacove_outcome('round-7')"); got != "not committed" {
		t.Errorf("the key of another workspace = %s", got)
	}
	mustExec(t, north, "/* papayacove operation_key=round-7 */ INSERT INTO claims VALUES (2)")
	_, err := kelani.Exec(testContext(t), "/* papayacove operation_key=round-7 */ INSERT INTO claims VALUES (3)")
	wantCode(t, err, result.AlreadyRan)
	for _, text := range []string{"SELECT * FROM papayacove_operation", `DELETE FROM "papayacove_operation"`} {
		_, err := north.Exec(testContext(t), text, pgx.QueryExecModeSimpleProtocol)
		wantCode(t, err, result.Unsupported)
	}
}

// TestKeysAreNoSQL uses keys that would end the text of the gate's own statement.
func TestKeysAreNoSQL(t *testing.T) {
	conn := connect(t, daemon(0), "kelani")
	mustExec(t, conn, "CREATE TABLE injected (id int)")
	for i, key := range []string{`a', 's', now()); DELETE FROM injected; --`, `b\`, `c\'); DROP TABLE injected; --`, `"d"$$`} {
		mustExec(t, conn, "SET papayacove.operation_key = '"+strings.ReplaceAll(key, "'", "''")+"'")
		mustExec(t, conn, fmt.Sprintf("INSERT INTO injected VALUES (%d)", i), pgx.QueryExecModeSimpleProtocol)
		if got := mustQuery(t, conn, "SELECT count(*)::text FROM injected"); got != fmt.Sprint(i+1) {
			t.Errorf("after key %s there are %s rows", key, got)
		}
		asked := "SELECT papayacove_outcome('" + strings.ReplaceAll(key, "'", "''") + "')"
		if got := mustQuery(t, conn, asked); got != "committed" {
			t.Errorf("key %s is %s", key, got)
		}
	}
}

// TestSessionStateStaysBehind runs sessions of both workspaces in turn over the few connections of
// the primary and looks for settings of the other one.
func TestSessionStateStaysBehind(t *testing.T) {
	for round := range 10 {
		kelani := connect(t, daemon(round%2), "kelani")
		mustExec(t, kelani, "SET kelani.secret = 'mine'")
		mustExec(t, kelani, "SET search_path = 'kelani'")
		mustExec(t, kelani, "BEGIN")
		mustExec(t, kelani, "SET LOCAL kelani.inner = 'mine'")
		mustExec(t, kelani, "COMMIT")
		north := connect(t, daemon((round+1)%2), "north")
		mustExec(t, north, "BEGIN")
		if got := mustQuery(t, north, "SHOW search_path"); strings.Contains(got, "kelani") {
			t.Errorf("search_path of another workspace: %s", got)
		}
		for _, name := range []string{"kelani.secret", "kelani.inner"} {
			var value string
			err := north.QueryRow(testContext(t), "SHOW "+name).Scan(&value)
			if err == nil && value == "mine" {
				t.Errorf("%s leaked", name)
			}
			mustExec(t, north, "ROLLBACK")
			mustExec(t, north, "BEGIN")
		}
		mustExec(t, north, "ROLLBACK")
	}
}

// TestRevokedGroupIsRefused takes a group from a workspace while a session uses it.
func TestRevokedGroupIsRefused(t *testing.T) {
	connect(t, daemon(0), "north")
	conn, err := dial(t, daemon(0), "north", revokedGroup, "crew", "crew")
	if err != nil {
		t.Fatal(err)
	}
	mustExec(t, conn, "SELECT 1")
	platform := shared.Deployment.Settings[0].PlatformURL
	if err := runCommand("--platform", platform, "--author", "ana", "workspace", "set", "north", "groups="+group); err != nil {
		t.Fatal(err)
	}
	deadline := time.Now().Add(eventually)
	for err == nil && time.Now().Before(deadline) {
		_, err = conn.Exec(testContext(t), "SELECT 1")
	}
	wantCode(t, err, result.UnknownGroup)
}

// TestCallersGiveNoOrders asks for what only the failover may do.
func TestCallersGiveNoOrders(t *testing.T) {
	conn := connect(t, daemon(0), "kelani")
	before := mustQuery(t, conn, "SHOW papayacove.position")
	for _, order := range []string{
		"SELECT * FROM target_fence(900)", "SELECT * FROM target_promote(900)",
		"SELECT * FROM target_follow(900, '127.0.0.1:1')", `SELECT * FROM "target_fence"(900)`,
	} {
		_, err := conn.Exec(testContext(t), order, pgx.QueryExecModeSimpleProtocol)
		wantCode(t, err, result.Unsupported)
	}
	if after := mustQuery(t, conn, "SHOW papayacove.position"); after != before {
		t.Errorf("position %s became %s", before, after)
	}
}

// TestWorkspacesPrepareTheSameText lets sessions of both workspaces use one statement in turn, which
// has one name on the target connections that they share.
func TestWorkspacesPrepareTheSameText(t *testing.T) {
	kelani, north := connect(t, daemon(0), "kelani"), connect(t, daemon(1), "north")
	mustExec(t, kelani, "CREATE TABLE prepared_rows (id int PRIMARY KEY, v int)")
	mustExec(t, kelani, "INSERT INTO prepared_rows VALUES (1, 0)")
	const rounds = 20
	for range rounds {
		for _, conn := range []*pgx.Conn{kelani, north} {
			mustExec(t, conn, "UPDATE prepared_rows SET v = v + $1 WHERE id = $2", 1, 1)
		}
	}
	if got := mustQuery(t, north, "SELECT v::text FROM prepared_rows"); got != fmt.Sprint(2*rounds) {
		t.Errorf("%s updates, want %d", got, 2*rounds)
	}
}
