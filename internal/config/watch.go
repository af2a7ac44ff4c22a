package config

import (
	"bytes"
	"context"
	"os"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayacove/papayacove/api"
)

// pollInterval is the time between two looks at the settings file, which may change without a signal.
const pollInterval = time.Second

// Watch reads the settings file again at each signal and whenever its content has changed, until ctx ends. It gives
// valid settings to apply; settings that are not valid leave the old ones in force.
func Watch(ctx context.Context, path string, signals <-chan os.Signal, apply func(api.Settings)) {
	w := &watcher{path: path, apply: apply}
	w.content, _ = os.ReadFile(path)
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
			logrus.WithField("path", path).Info("reload_requested")
			w.read()
		case <-ticker.C:
			w.read()
		}
	}
}

// watcher remembers the content that was read last.
type watcher struct {
	path    string
	content []byte
	apply   func(api.Settings)
}

func (w *watcher) read() {
	content, err := os.ReadFile(w.path)
	if err != nil {
		logrus.WithFields(logrus.Fields{"path": w.path, "error": err}).Warn("settings_unreadable")
		return
	}
	if bytes.Equal(content, w.content) {
		return
	}
	w.content = content
	settings, err := Load(w.path)
	if err != nil {
		logrus.WithFields(logrus.Fields{"path": w.path, "error": err}).Error("settings_refused")
		return
	}
	logrus.WithField("path", w.path).Info("settings_reloaded")
	w.apply(settings)
}
