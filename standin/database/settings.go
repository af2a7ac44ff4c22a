package database

import (
	"maps"
	"strconv"
	"strings"
	"time"
)

// serverVersion is the PostgreSQL version that the stand-in reports.
const serverVersion = "16.4"

// Names of the settings that have an effect in the stand-in.
const (
	settingIdleSession     = "idle_session_timeout"
	settingIdleTransaction = "idle_in_transaction_session_timeout"
	settingStatement       = "statement_timeout"
	settingReadOnly        = "default_transaction_read_only"
)

// reportedSettings are sent to the client at start-up and when they change.
var reportedSettings = []string{
	"server_version", "server_encoding", "client_encoding", "standard_conforming_strings",
	"DateStyle", "TimeZone", "integer_datetimes", "IntervalStyle", "application_name",
}

// defaultSettings are the initial values of a new session.
var defaultSettings = map[string]string{
	"server_version": serverVersion, "server_encoding": "UTF8", "client_encoding": "UTF8",
	"standard_conforming_strings": "on", "datestyle": "ISO, MDY", "timezone": "UTC",
	"integer_datetimes": "on", "intervalstyle": "postgres", "application_name": "",
	settingIdleSession: "0", settingIdleTransaction: "0", settingStatement: "0",
	settingReadOnly: "off", "search_path": `"$user", public`,
}

// settings are the run-time parameters of a session.
type settings struct {
	values map[string]string
	// defaults holds the values that RESET restores.
	defaults map[string]string
	// beforeTransaction holds the values that a rollback restores; nil until the transaction changes one.
	beforeTransaction map[string]string
	// beforeLocal holds the values that a commit restores after SET LOCAL.
	beforeLocal map[string]string
}

func newSettings() *settings {
	return &settings{values: maps.Clone(defaultSettings), defaults: defaultSettings}
}

func (s *settings) get(name string) string {
	return s.values[strings.ToLower(name)]
}

// saveAsDefaults makes RESET restore the present values.
func (s *settings) saveAsDefaults() {
	s.defaults = maps.Clone(s.values)
}

// beginTransaction makes a rollback restore the present values.
func (s *settings) beginTransaction() {
	s.beforeTransaction = nil
	s.beforeLocal = nil
}

func (s *settings) set(name, value string, local, inTransaction bool) {
	if inTransaction && s.beforeTransaction == nil {
		s.beforeTransaction = maps.Clone(s.values)
	}
	if local {
		if s.beforeLocal == nil {
			s.beforeLocal = make(map[string]string)
		}
		if _, saved := s.beforeLocal[name]; !saved {
			s.beforeLocal[name] = s.values[name]
		}
	}
	s.values[name] = value
}

// reset restores the default of one setting, or of all if name is "all" or empty.
func (s *settings) reset(name string) {
	if name == "all" || name == "" {
		s.values = maps.Clone(s.defaults)
		return
	}
	s.values[name] = s.defaults[name]
}

// endTransaction ends the transaction for the settings. A commit keeps the values set in it, other
// than by SET LOCAL; a rollback restores the values from before it.
func (s *settings) endTransaction(committed bool) {
	if !committed && s.beforeTransaction != nil {
		s.values = s.beforeTransaction
	}
	if committed {
		maps.Copy(s.values, s.beforeLocal)
	}
	s.beforeTransaction = nil
	s.beforeLocal = nil
}

// duration returns the value of a timeout such as 500 (milliseconds), 500ms, 2s or 1min; 0 is no timeout.
func (s *settings) duration(name string) time.Duration {
	return parseDuration(s.get(name))
}

func parseDuration(text string) time.Duration {
	text = strings.ReplaceAll(strings.TrimSpace(text), " ", "")
	if ms, err := strconv.ParseInt(text, 10, 64); err == nil {
		return time.Duration(ms) * time.Millisecond
	}
	if number, ok := strings.CutSuffix(text, "min"); ok {
		text = number + "m"
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		return 0
	}
	return d
}
