package security

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/operator"
	"github.com/papayacove/papayacove/internal/result"
	"github.com/papayacove/papayacove/standin/fleet"
	"github.com/papayacove/papayacove/standin/workload"
)

const (
	// network is the number of the loopback network of the fleet.
	network = 161
	// eventTimeout is the longest time that a test waits for an event.
	eventTimeout = 20 * time.Second
	examples     = "../../examples/kelani"
	// group is shared by the workspaces kelani and north in all tests; only kelani has otherGroup.
	group      = "rounds-db-1"
	otherGroup = "rounds-db-2"
	// revokedGroup is a group of both workspaces that is removed from north in a test.
	revokedGroup = "rounds-db-3"
)

var programs = []string{
	"github.com/papayacove/papayacove/cmd/papayacove",
	"github.com/papayacove/papayacove/standin/cmd/standin-platform",
	"github.com/papayacove/papayacove/standin/cmd/standin-database",
}

// shared is the fleet that all tests share; workFolder holds its logs and settings.
var (
	shared     *fleet.Fleet
	workFolder string
)

func TestMain(m *testing.M) {
	code, err := runWithFleet(m)
	if err != nil {
		fmt.Fprintln(os.Stderr, "fleet:", err)
		code = 1
	}
	os.Exit(code)
}

func runWithFleet(m *testing.M) (int, error) {
	folder, err := os.MkdirTemp("", "papayacove-security-")
	if err != nil {
		return 0, err
	}
	defer os.RemoveAll(folder)
	binaries, keys := filepath.Join(folder, "bin"), filepath.Join(folder, "keys")
	build := exec.Command("go", append([]string{"build", "-o", binaries + "/"}, programs...)...)
	if output, err := build.CombinedOutput(); err != nil {
		return 0, fmt.Errorf("build: %w: %s", err, output)
	}
	if err := makeCertificates(keys); err != nil {
		return 0, err
	}
	workFolder = filepath.Join(folder, "work")
	shared, err = fleet.Start(context.Background(), fleet.Options{
		Directory: examples, BinaryDirectory: binaries, WorkDirectory: workFolder, Network: network, LogLevel: "debug",
		Adjust: func(settings *api.Settings) { enableTLS(settings, keys) },
	})
	if err != nil {
		return 0, err
	}
	defer shared.Close()
	if err := addWorkspace(folder); err != nil {
		return 0, err
	}
	return m.Run(), nil
}

func runCommand(arguments ...string) error {
	return operator.NewCommand(strings.NewReader(""), io.Discard).Run(context.Background(), append([]string{"papayacovectl"}, arguments...))
}

// makeCertificates creates the certificates and keys of all daemons of the deployment in a directory.
func makeCertificates(directory string) error {
	deployment, err := fleet.LoadDeployment(examples, network)
	if err != nil {
		return err
	}
	arguments := []string{"keys", "certificates", "--directory", directory}
	for _, settings := range deployment.Settings {
		host, _, _ := net.SplitHostPort(settings.PeerAddress)
		arguments = append(arguments, settings.Name+"="+host)
	}
	return runCommand(arguments...)
}

// enableTLS sets up TLS between daemons and requires it of callers.
func enableTLS(settings *api.Settings, keys string) {
	file := func(name string) string { return filepath.Join(keys, name) }
	settings.TLS.CallerCertificate, settings.TLS.CallerKey = file("caller.pem"), file("caller.key")
	settings.TLS.PeerCertificate, settings.TLS.PeerKey = file(settings.Name+".pem"), file(settings.Name+".key")
	settings.TLS.PeerAuthority = file("authority.pem")
	settings.TLS.RequireCallerTLS = true
}

// addWorkspace stores the workspace north, a copy of the example workspace with group and revokedGroup as its groups,
// and with 5 connections in place of 105.
func addWorkspace(folder string) error {
	content, err := os.ReadFile(filepath.Join(examples, "workspace.toml"))
	if err != nil {
		return err
	}
	text := strings.Replace(string(content), `name = "kelani"`, `name = "north"`, 1)
	text = strings.Replace(text, `groups = ["rounds-db-1", "rounds-db-2", "rounds-db-3"]`, `groups = ["`+group+`", "`+revokedGroup+`"]`, 1)
	text = strings.Replace(text, "connections = 105", "connections = 5", 1)
	path := filepath.Join(folder, "north.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	return runCommand("--platform", shared.Deployment.Settings[0].PlatformURL, "--author", "ana", "workspace", "apply", path)
}

func testContext(t testing.TB) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), eventTimeout)
	t.Cleanup(cancel)
	return ctx
}

// daemonName returns the name of the daemon with an index in the deployment.
func daemonName(i int) string {
	return shared.Deployment.Settings[i].Name
}

func dial(t testing.TB, at, workspace, group, user, password string) (*pgx.Conn, error) {
	t.Helper()
	url := shared.ConnectURL(at, workspace, group, user, password)
	conn, err := pgx.Connect(testContext(t), strings.Replace(url, "sslmode=disable", "sslmode=require", 1))
	if err == nil {
		t.Cleanup(func() { _ = conn.Close(context.Background()) })
	}
	return conn, err
}

// connect opens a session of the user crew for group; the password of each example user is its name. It
// retries while the daemon does not know the workspace yet.
func connect(t testing.TB, at, workspace string) *pgx.Conn {
	t.Helper()
	deadline := time.Now().Add(eventTimeout)
	for {
		conn, err := dial(t, at, workspace, group, "crew", "crew")
		if err == nil {
			return conn
		}
		if workload.CodeOf(err) != result.UnknownWorkspace || time.Now().After(deadline) {
			t.Fatal(err)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func mustExec(t testing.TB, conn *pgx.Conn, sql string, arguments ...any) {
	t.Helper()
	if _, err := conn.Exec(testContext(t), sql, arguments...); err != nil {
		t.Fatalf("%s: %v", sql, err)
	}
}

func mustQuery(t testing.TB, conn *pgx.Conn, sql string) string {
	t.Helper()
	var value string
	if err := conn.QueryRow(testContext(t), sql).Scan(&value); err != nil {
		t.Fatalf("%s: %v", sql, err)
	}
	return value
}

func wantCode(t testing.TB, err error, code result.Code) {
	t.Helper()
	if workload.CodeOf(err) != code {
		t.Errorf("want code %d, got %v", code, err)
	}
}
