package config

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/papayacove/papayacove/api"
)

// TestWatchAppliesValidChangesOnly changes the settings file and sends signals.
func TestWatchAppliesValidChangesOnly(t *testing.T) {
	content, err := os.ReadFile("../../examples/kelani/entry-1.toml")
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "settings.toml")
	write := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(string(content))
	ctx, stop := context.WithCancel(context.Background())
	signals, applied, ended := make(chan os.Signal), make(chan api.Settings), make(chan struct{})
	go func() {
		defer close(ended)
		Watch(ctx, path, signals, func(s api.Settings) { applied <- s })
	}()
	// The second signal is taken after the first is done with: a file that has not changed is not applied.
	signals <- syscall.SIGHUP
	signals <- syscall.SIGHUP
	write("no settings at all")
	signals <- syscall.SIGHUP
	write(strings.Replace(string(content), "http://127.0.0.1:15400", "http://127.0.0.1:15401", 1))
	select {
	case signals <- syscall.SIGHUP:
		if got := <-applied; got.PlatformURL != "http://127.0.0.1:15401" {
			t.Errorf("applied %s", got.PlatformURL)
		}
	case got := <-applied:
		if got.PlatformURL != "http://127.0.0.1:15401" {
			t.Errorf("applied %s", got.PlatformURL)
		}
	}
	stop()
	<-ended
}
