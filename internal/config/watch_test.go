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

// TestWatchAppliesValidChangesOnly sends signals after no change, an invalid change and a valid change of the file.
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
	// The channel is unbuffered, so the second signal is received only once the first has been handled. The file has
	// not changed, so it must not be applied.
	signals <- syscall.SIGHUP
	signals <- syscall.SIGHUP
	write("no settings at all")
	signals <- syscall.SIGHUP
	write(strings.Replace(string(content), "http://127.0.0.1:15400", "http://127.0.0.1:15401", 1))
	select {
	case signals <- syscall.SIGHUP:
		if got := <-applied; got.PlatformURL != "http://127.0.0.1:15401" {
			t.Errorf("applied platform_url %s, want http://127.0.0.1:15401", got.PlatformURL)
		}
	case got := <-applied:
		if got.PlatformURL != "http://127.0.0.1:15401" {
			t.Errorf("applied platform_url %s, want http://127.0.0.1:15401", got.PlatformURL)
		}
	}
	stop()
	<-ended
}
