// Package config loads and checks the settings of a daemon.
package config

import (
	"fmt"
	"os"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/result"
)

// Default values of the [limits] settings.
const (
	DefaultCallerConnections          = 2000
	DefaultUnauthenticatedConnections = 200
	DefaultMessageBytes               = 16 << 20
	DefaultStatementTimeoutMs         = 30_000
	DefaultIdleTransactionTimeoutMs   = 10_000
	DefaultQueueLength                = 200
)

// Default returns the settings that apply to keys absent from a settings file.
func Default() api.Settings {
	return api.Settings{
		CallerAddress: "127.0.0.1:5432",
		PeerAddress:   "127.0.0.1:5532",
		AdminAddress:  "127.0.0.1:5632",
		PlatformURL:   "http://127.0.0.1:5400",
		Peers:         []string{},
		LogLevel:      api.SettingsLogLevelInfo,
		Protocol:      api.SettingsProtocolPostgresql,
		Limits: api.LimitSettings{
			MaxCallerConnections:          DefaultCallerConnections,
			MaxUnauthenticatedConnections: DefaultUnauthenticatedConnections,
			MaxMessageBytes:               DefaultMessageBytes,
			StatementTimeoutMs:            DefaultStatementTimeoutMs,
			IdleTransactionTimeoutMs:      DefaultIdleTransactionTimeoutMs,
			QueueLength:                   DefaultQueueLength,
		},
		Target: api.TargetSettings{User: "papayacove", Database: "postgres"},
	}
}

// Load reads the TOML file at path over the defaults and checks the result.
// The error carries SettingsInvalid and names the file and, where there is one, the key and the line.
func Load(path string) (api.Settings, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		reason := result.Errorf(result.SettingsInvalid, "%s", err)
		return api.Settings{}, fmt.Errorf("read settings: %w", reason)
	}
	settings := Default()
	if err := Decode(path, content, &settings); err != nil {
		return api.Settings{}, fmt.Errorf("decode settings: %w", err)
	}
	if err := check(path, settings).Err(result.SettingsInvalid); err != nil {
		return api.Settings{}, fmt.Errorf("check settings: %w", err)
	}
	return settings, nil
}

// Check returns nil for valid settings, and otherwise a SettingsInvalid error that lists each
// problem with key, value and bound. The error contains no secrets.
func Check(s api.Settings) error {
	return check("settings", s).Err(result.SettingsInvalid)
}
