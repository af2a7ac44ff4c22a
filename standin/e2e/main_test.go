package e2e

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/result"
	"github.com/papayacove/papayacove/standin/fleet"
	"github.com/papayacove/papayacove/standin/workload"
)

const (
	// firstNetwork and lastNetwork bound the numbers of the loopback networks that the shared fleet may use.
	firstNetwork = 100
	lastNetwork  = 120
	// lockPort is a port that a run listens on to reserve its network, so that concurrent runs use different ones.
	lockPort = 15399
	// eventTimeout is the longest time that a test waits for an event.
	eventTimeout = 20 * time.Second
	// group is the group of most tests; the primary of failoverGroup is killed in one of them.
	group         = "rounds-db-1"
	failoverGroup = "rounds-db-3"
	// staleReadUser is a user whose reads may return data up to a maximum age.
	staleReadUser = "map"
)

// programs are the packages of the programs that a fleet runs.
var programs = []string{
	"github.com/papayacove/papayacove/cmd/papayacove",
	"github.com/papayacove/papayacove/standin/cmd/standin-platform",
	"github.com/papayacove/papayacove/standin/cmd/standin-database",
}

// shared is the fleet that the tests of the package share.
var shared *fleet.Fleet

func TestMain(m *testing.M) {
	code, err := runWithFleet(m)
	if err != nil {
		fmt.Fprintln(os.Stderr, "fleet:", err)
		code = 1
	}
	os.Exit(code)
}

func runWithFleet(m *testing.M) (int, error) {
	folder, err := os.MkdirTemp("", "papayacove-e2e-")
	if err != nil {
		return 0, err
	}
	defer os.RemoveAll(folder)
	binaries := filepath.Join(folder, "bin")
	build := exec.Command("go", append([]string{"build", "-o", binaries + "/"}, programs...)...)
	if output, err := build.CombinedOutput(); err != nil {
		return 0, fmt.Errorf("build: %w: %s", err, output)
	}
	network, lock, err := reserveNetwork()
	if err != nil {
		return 0, err
	}
	defer lock.Close()
	shared, err = fleet.Start(context.Background(), fleet.Options{
		Directory: "../../examples/kelani", BinaryDirectory: binaries, WorkDirectory: filepath.Join(folder, "work"),
		Network: network, Lag: 20 * time.Millisecond, ConnectDelay: 10 * time.Millisecond,
	})
	if err != nil {
		return 0, err
	}
	defer shared.Close()
	return m.Run(), nil
}

// reserveNetwork returns the number of a network that no other run uses, and the listener that reserves it until it
// is closed.
func reserveNetwork() (int, net.Listener, error) {
	for network := firstNetwork; network <= lastNetwork; network++ {
		lock, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.1:%d", network, lockPort))
		if err == nil {
			return network, lock, nil
		}
	}
	return 0, nil, errors.New("all loopback networks for fleets are in use")
}

func testContext(t testing.TB) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), eventTimeout)
	t.Cleanup(cancel)
	return ctx
}

// connectURL returns the connection URL of a user of the workspace kelani. The password of each example user is its
// name.
func connectURL(daemon, group, user string) string {
	return shared.ConnectURL(daemon, "kelani", group, user, user)
}

// connect opens a pgx connection with default settings as the user crew, whose reads are never stale.
func connect(t testing.TB, daemon, group string) *pgx.Conn {
	t.Helper()
	return connectAs(t, daemon, group, "crew")
}

func connectAs(t testing.TB, daemon, group, user string) *pgx.Conn {
	t.Helper()
	conn, err := pgx.Connect(testContext(t), connectURL(daemon, group, user))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close(context.Background()) })
	return conn
}

func mustExec(t testing.TB, conn *pgx.Conn, sql string, arguments ...any) {
	t.Helper()
	if _, err := conn.Exec(testContext(t), sql, arguments...); err != nil {
		t.Fatalf("%s: %v", sql, err)
	}
}

func mustQuery[T any](t testing.TB, conn *pgx.Conn, sql string, arguments ...any) T {
	t.Helper()
	var value T
	if err := conn.QueryRow(testContext(t), sql, arguments...).Scan(&value); err != nil {
		t.Fatalf("%s: %v", sql, err)
	}
	return value
}

// wantCode fails the test unless err carries the result code.
func wantCode(t testing.TB, err error, code result.Code) {
	t.Helper()
	if workload.CodeOf(err) != code {
		t.Fatalf("want code %d, got %v", code, err)
	}
}

// createTable creates an empty table for one test and returns its name.
func createTable(t testing.TB, name, columns string) string {
	t.Helper()
	conn := connect(t, daemonNames()[0], group)
	mustExec(t, conn, "CREATE TABLE "+name+" ("+columns+")")
	return name
}

func daemonNames() []string {
	var names []string
	for _, settings := range shared.Deployment.Settings {
		names = append(names, settings.Name)
	}
	return names
}

// throughEachDaemon runs a subtest for each daemon.
func throughEachDaemon(t *testing.T, test func(t *testing.T, daemon string)) {
	for _, daemon := range daemonNames() {
		t.Run(daemon, func(t *testing.T) { test(t, daemon) })
	}
}

func groupSpec(name string) (api.GroupSpec, bool) {
	for _, spec := range shared.Deployment.Groups {
		if spec.Name == name {
			return spec, true
		}
	}
	return api.GroupSpec{}, false
}
