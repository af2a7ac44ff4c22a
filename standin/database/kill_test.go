package database

import (
	"bufio"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"strings"
	"testing"

	"github.com/jackc/pgx/v5"
)

// childDirectoryVariable is the environment variable that makes the test binary run a target in the
// data directory that it names, instead of the tests.
const childDirectoryVariable = "STANDIN_DATABASE_CHILD"

func TestMain(m *testing.M) {
	if directory := os.Getenv(childDirectoryVariable); directory != "" {
		runChild(directory)
	}
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// runChild runs a target until the process is killed.
func runChild(directory string) {
	s, err := New(Options{Name: "child", DataDirectory: directory})
	if err != nil {
		panic(err)
	}
	if err := s.Start(); err != nil {
		panic(err)
	}
	fmt.Println(s.Address())
	select {}
}

// startChild runs a target in a child process and returns the process and the address of the target.
func startChild(t *testing.T, directory string) (*exec.Cmd, string) {
	t.Helper()
	child := exec.Command(os.Args[0])
	child.Env = append(os.Environ(), childDirectoryVariable+"="+directory)
	output, err := child.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := child.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		child.Process.Kill()
		child.Wait()
	})
	address, err := bufio.NewReader(output).ReadString('\n')
	if err != nil {
		t.Fatal(err)
	}
	return child, strings.TrimSpace(address)
}

func TestKilledTargetKeepsAcknowledgedRows(t *testing.T) {
	directory := t.TempDir()
	child, address := startChild(t, directory)
	conn, err := pgx.Connect(testContext(t), fmt.Sprintf("postgres://tester@%s/rounds?sslmode=disable", address))
	if err != nil {
		t.Fatal(err)
	}
	mustExec(t, conn, "CREATE TABLE t (id bigint PRIMARY KEY)")
	const rows = 100
	for i := range rows {
		mustExec(t, conn, "INSERT INTO t (id) VALUES ($1)", i)
	}
	mustExec(t, conn, "BEGIN")
	mustExec(t, conn, "INSERT INTO t (id) VALUES (1000)")
	child.Process.Kill()
	child.Wait()
	s := startTarget(t, Options{DataDirectory: directory})
	dump, err := s.Dump("t")
	if err != nil || len(dump.Rows) != rows {
		t.Fatalf("rows after the kill: got %d, %v, want 100", len(dump.Rows), err)
	}
	if status := s.Status(); status.Received != rows+1 || status.Applied != rows+1 {
		t.Fatalf("status after the kill: got %+v, want received and applied offset 101", status)
	}
}
