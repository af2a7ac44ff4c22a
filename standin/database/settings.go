package database

import (
	"maps"
	"strconv"
	"strings"
	"time"
)

// serverVersion is what the stand-in claims to be.
const serverVersion = "16.4"

// Names of the settings that the stand-in honours.
const (
	settingIdleSession     = "idle_session_timeout"
	settingIdleTransaction = "idle_in_transaction_session_timeout"
	settingStatement       = "statement_timeout"
	settingReadOnly        = "default_transaction_read_only"
)

// reportedSettings are sent to the client when they change.
var reportedSettings = []string{
	"server_version", "server_encoding", "client_encoding", "standard_conforming_strings",
	"DateStyle", "TimeZone", "integer_datetimes", "IntervalStyle", "application_name",
}

// defaultSettings are the values of a new session.
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
	// start holds the values that RESET goes back to.
	start map[string]string
	// saved holds the values before the transaction, once it has changed one.
	saved map[string]string
	// local holds the values from before SET LOCAL.
	local map[string]string
}

func newSettings() *settings {
	return &settings{values: maps.Clone(defaultSettings), start: defaultSettings}
}

func (s *settings) get(name string) string {
	return s.values[strings.ToLower(name)]
}

// keepAsStart makes the present values those that RESET goes back to.
func (s *settings) keepAsStart() {
	s.start = maps.Clone(s.values)
}

// begin keeps the values that a rollback goes back to.
func (s *settings) begin() {
	s.saved = nil
	s.local = nil
}

func (s *settings) set(name, value string, local, inTransaction bool) {
	if inTransaction && s.saved == nil {
		s.saved = maps.Clone(s.values)
	}
	if local {
		if s.local == nil {
			s.local = make(map[string]string)
		}
		if _, kept := s.local[name]; !kept {
			s.local[name] = s.values[name]
		}
	}
	s.values[name] = value
}

// reset gives one setting, or all of them, the value of the start.
func (s *settings) reset(name string) {
	if name == "all" || name == "" {
		s.values = maps.Clone(s.start)
		return
	}
	s.values[name] = s.start[name]
}

// end makes the values of the transaction those of the session, or drops them.
func (s *settings) end(committed bool) {
	if !committed && s.saved != nil {
		s.values = s.saved
	}
	if committed {
		maps.Copy(s.values, s.local)
	}
	s.saved = nil
	s.local = nil
}

// duration reads a setting such as 500, 500ms, 2s or 1min; 0 is none.
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
