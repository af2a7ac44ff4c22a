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
	conn, err := pgx.Connect(testContext(t), shared.ConnectURL(daemonName(0), "kelani", group, "crew", "crew"))
	if err == nil {
		conn.Close(testContext(t))
		t.Error("connect without TLS succeeded, want an error")
	}
}

func TestGroupsOfOtherWorkspacesAreUnknown(t *testing.T) {
	connect(t, daemonName(0), "north")
	_, err := dial(t, daemonName(0), "north", otherGroup, "crew", "crew")
	wantCode(t, err, result.UnknownGroup)
	_, err = dial(t, daemonName(0), "kelani", otherGroup, "crew", "map")
	wantCode(t, err, result.AuthenticationFailed)
}

func TestOperationKeysOfOtherWorkspaces(t *testing.T) {
	kelani, north := connect(t, daemonName(0), "kelani"), connect(t, daemonName(1), "north")
	mustExec(t, kelani, "CREATE TABLE claims (id int)")
	mustExec(t, kelani, "/* papayacove operation_key=round-7 */ INSERT INTO claims VALUES (1)")
	if got := mustQuery(t, kelani, "SELECT papayacove_outcome('round-7')"); got != "committed" {
		t.Errorf("outcome of the own key: got %s, want committed", got)
	}
	if got := mustQuery(t, north, "SELECT papayacove_outcome('round-7')"); got != "not committed" {
		t.Errorf("outcome of the key of another workspace: got %s, want not committed", got)
	}
	mustExec(t, north, "/* papayacove operation_key=round-7 */ INSERT INTO claims VALUES (2)")
	_, err := kelani.Exec(testContext(t), "/* papayacove operation_key=round-7 */ INSERT INTO claims VALUES (3)")
	wantCode(t, err, result.AlreadyRan)
	for _, text := range []string{"SELECT * FROM papayacove_operation", `DELETE FROM "papayacove_operation"`} {
		_, err := north.Exec(testContext(t), text, pgx.QueryExecModeSimpleProtocol)
		wantCode(t, err, result.Unsupported)
	}
}

// TestOperationKeysCannotInjectSQL uses operation keys that would end the string literal in a statement of the gate if
// they were not quoted.
func TestOperationKeysCannotInjectSQL(t *testing.T) {
	conn := connect(t, daemonName(0), "kelani")
	mustExec(t, conn, "CREATE TABLE injected (id int)")
	for i, key := range []string{`a', 's', now()); DELETE FROM injected; --`, `b\`, `c\'); DROP TABLE injected; --`, `"d"$$`} {
		mustExec(t, conn, "SET papayacove.operation_key = '"+strings.ReplaceAll(key, "'", "''")+"'")
		mustExec(t, conn, fmt.Sprintf("INSERT INTO injected VALUES (%d)", i), pgx.QueryExecModeSimpleProtocol)
		if got := mustQuery(t, conn, "SELECT count(*)::text FROM injected"); got != fmt.Sprint(i+1) {
			t.Errorf("after key %s: got %s rows, want one for each key so far", key, got)
		}
		query := "SELECT papayacove_outcome('" + strings.ReplaceAll(key, "'", "''") + "')"
		if got := mustQuery(t, conn, query); got != "committed" {
			t.Errorf("outcome of key %s: got %s, want committed", key, got)
		}
	}
}

// TestSessionStateIsNotSharedBetweenWorkspaces alternates sessions of two workspaces on the few connections of the
// primary. The sessions of one must not see the settings of the other.
func TestSessionStateIsNotSharedBetweenWorkspaces(t *testing.T) {
	for round := range 10 {
		kelani := connect(t, daemonName(round%2), "kelani")
		mustExec(t, kelani, "SET kelani.secret = 'mine'")
		mustExec(t, kelani, "SET search_path = 'kelani'")
		mustExec(t, kelani, "BEGIN")
		mustExec(t, kelani, "SET LOCAL kelani.inner = 'mine'")
		mustExec(t, kelani, "COMMIT")
		north := connect(t, daemonName((round+1)%2), "north")
		mustExec(t, north, "BEGIN")
		if got := mustQuery(t, north, "SHOW search_path"); strings.Contains(got, "kelani") {
			t.Errorf("got the search_path %s of another workspace", got)
		}
		for _, name := range []string{"kelani.secret", "kelani.inner"} {
			var value string
			err := north.QueryRow(testContext(t), "SHOW "+name).Scan(&value)
			if err == nil && value == "mine" {
				t.Errorf("got the value of %s of another workspace", name)
			}
			mustExec(t, north, "ROLLBACK")
			mustExec(t, north, "BEGIN")
		}
		mustExec(t, north, "ROLLBACK")
	}
}

// TestRevokedGroupIsRefused removes a group from a workspace while a session uses it. The session must be refused as
// for an unknown group.
func TestRevokedGroupIsRefused(t *testing.T) {
	connect(t, daemonName(0), "north")
	conn, err := dial(t, daemonName(0), "north", revokedGroup, "crew", "crew")
	if err != nil {
		t.Fatal(err)
	}
	mustExec(t, conn, "SELECT 1")
	platform := shared.Deployment.Settings[0].PlatformURL
	if err := runCommand("--platform", platform, "--author", "ana", "workspace", "set", "north", "groups="+group); err != nil {
		t.Fatal(err)
	}
	deadline := time.Now().Add(eventTimeout)
	for err == nil && time.Now().Before(deadline) {
		_, err = conn.Exec(testContext(t), "SELECT 1")
	}
	wantCode(t, err, result.UnknownGroup)
}

// TestCallersCannotRunTargetFunctions calls the functions of a target that only a failover may call. They must be
// refused, and the position must not change.
func TestCallersCannotRunTargetFunctions(t *testing.T) {
	conn := connect(t, daemonName(0), "kelani")
	before := mustQuery(t, conn, "SHOW papayacove.position")
	for _, statement := range []string{
		"SELECT * FROM target_fence(900)", "SELECT * FROM target_promote(900)",
		"SELECT * FROM target_follow(900, '127.0.0.1:1')", `SELECT * FROM "target_fence"(900)`,
	} {
		_, err := conn.Exec(testContext(t), statement, pgx.QueryExecModeSimpleProtocol)
		wantCode(t, err, result.Unsupported)
	}
	if after := mustQuery(t, conn, "SHOW papayacove.position"); after != before {
		t.Errorf("position changed from %s to %s, want no change", before, after)
	}
}

// TestWorkspacesPrepareTheSameText alternates sessions of two workspaces that execute the same statement. It has the
// same name on the target connections that they share, and each execution must succeed.
func TestWorkspacesPrepareTheSameText(t *testing.T) {
	kelani, north := connect(t, daemonName(0), "kelani"), connect(t, daemonName(1), "north")
	mustExec(t, kelani, "CREATE TABLE prepared_rows (id int PRIMARY KEY, v int)")
	mustExec(t, kelani, "INSERT INTO prepared_rows VALUES (1, 0)")
	const rounds = 20
	for range rounds {
		for _, conn := range []*pgx.Conn{kelani, north} {
			mustExec(t, conn, "UPDATE prepared_rows SET v = v + $1 WHERE id = $2", 1, 1)
		}
	}
	if got := mustQuery(t, north, "SELECT v::text FROM prepared_rows"); got != fmt.Sprint(2*rounds) {
		t.Errorf("got %s updates, want %d", got, 2*rounds)
	}
}
