package config

import (
	"bytes"
	"context"
	"os"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/logevent"
	"github.com/papayacove/papayacove/internal/logfield"
)

// pollInterval is the time between checks of the settings file, which may change without a signal.
const pollInterval = time.Second

// Watch reads the settings file at each signal and every pollInterval until ctx ends. It calls apply with the settings
// when the content has changed and is valid; invalid settings are logged, and the previous ones stay in force.
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
			logrus.WithField(logfield.Path, path).Info(logevent.ReloadRequested)
			w.reloadIfChanged()
		case <-ticker.C:
			w.reloadIfChanged()
		}
	}
}

// watcher reloads a settings file when it differs from the content that was read last.
type watcher struct {
	path    string
	content []byte
	apply   func(api.Settings)
}

func (w *watcher) reloadIfChanged() {
	content, err := os.ReadFile(w.path)
	if err != nil {
		logrus.WithFields(logrus.Fields{logfield.Path: w.path, logfield.Error: err}).Warn(logevent.SettingsUnreadable)
		return
	}
	if bytes.Equal(content, w.content) {
		return
	}
	w.content = content
	settings, err := Load(w.path)
	if err != nil {
		logrus.WithFields(logrus.Fields{logfield.Path: w.path, logfield.Error: err}).Error(logevent.SettingsRefused)
		return
	}
	logrus.WithField(logfield.Path, w.path).Info(logevent.SettingsReloaded)
	w.apply(settings)
}
