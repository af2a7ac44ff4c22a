package operator

import (
	"bytes"
	"context"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"

	standin "github.com/papayacove/papayacove/standin/platform"
)

const kelani = "../../examples/kelani/"

// TestMain fixes the seed of the property tests, so that runs are reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "20261203"); err != nil {
		panic(err)
	}
	logrus.SetLevel(logrus.ErrorLevel)
	os.Exit(m.Run())
}

// startPlatform returns a stand-in for the platform that holds the objects of the Kelani example.
func startPlatform(t *testing.T) *standin.Server {
	t.Helper()
	server := standin.New(standin.Options{Seed: 1})
	content, err := os.Open(kelani + "platform.json")
	if err != nil {
		t.Fatal(err)
	}
	defer content.Close()
	if err := server.Load(content); err != nil {
		t.Fatal(err)
	}
	if err := server.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { server.Close() })
	return server
}

// run executes papayacovectl and returns its output and error.
func run(server *standin.Server, arguments ...string) (string, error) {
	var out bytes.Buffer
	command := NewCommand(strings.NewReader("crew\n"), &out)
	all := []string{"papayacovectl", "--author", "ana", "--timeout", "2s"}
	if server != nil {
		all = append(all, "--platform", server.URL())
	}
	err := command.Run(context.Background(), append(all, arguments...))
	return out.String(), err
}

// mustRun fails the test unless the command succeeds.
func mustRun(t *testing.T, server *standin.Server, arguments ...string) string {
	t.Helper()
	out, err := run(server, arguments...)
	if err != nil {
		t.Fatalf("papayacovectl %v: %v", arguments, err)
	}
	return out
}

// wantText reports an error for each piece that the text does not contain.
func wantText(t *testing.T, text string, pieces ...string) {
	t.Helper()
	for _, piece := range pieces {
		if !strings.Contains(text, piece) {
			t.Errorf("want %q in the text, got:\n%s", piece, text)
		}
	}
}

// writeFile writes a TOML file into a temporary directory and returns its path.
func writeFile(t *testing.T, content string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "edit.toml")
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// editedFile writes the stored workspace to a file, with the first old replaced, and returns the path of the file.
func editedFile(t *testing.T, server *standin.Server, old, replacement string) string {
	t.Helper()
	text := mustRun(t, server, "workspace", "get", "kelani")
	if !strings.Contains(text, old) {
		t.Fatalf("want %q in the stored workspace, got:\n%s", old, text)
	}
	return writeFile(t, strings.Replace(text, old, replacement, 1))
}
