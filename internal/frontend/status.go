package frontend

import (
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
)

// serverVersion is reported to callers. Clients derive from it which system catalogs they can query.
const serverVersion = "16.4 (papayacove)"

// defaultStatuses are the parameters that are reported to callers, with their default values.
var defaultStatuses = []pgproto3.ParameterStatus{
	{Name: "server_version", Value: serverVersion},
	{Name: "server_encoding", Value: "UTF8"},
	{Name: "client_encoding", Value: "UTF8"},
	{Name: "application_name"},
	{Name: "is_superuser", Value: "off"},
	{Name: "DateStyle", Value: "ISO, MDY"},
	{Name: "IntervalStyle", Value: "postgres"},
	{Name: "TimeZone", Value: "UTC"},
	{Name: "integer_datetimes", Value: "on"},
	{Name: "standard_conforming_strings", Value: "on"},
	{Name: "default_transaction_read_only", Value: "off"},
	{Name: "in_hot_standby", Value: "off"},
}

// statuses returns the reported parameters with their current values, always in the same order.
func (s *session) statuses() []pgproto3.ParameterStatus {
	statuses := make([]pgproto3.ParameterStatus, 0, len(defaultStatuses)+1)
	for _, status := range defaultStatuses {
		name := strings.ToLower(status.Name)
		if value, ok := settingValue(s.settings.current, name); ok {
			status.Value = reportedValue(name, value)
		}
		statuses = append(statuses, status)
	}
	return append(statuses, pgproto3.ParameterStatus{Name: "session_authorization", Value: s.info.User})
}

// changedStatuses returns the reported parameters whose values differ from those in before, a result of statuses.
func (s *session) changedStatuses(before []pgproto3.ParameterStatus) []pgproto3.ParameterStatus {
	var changed []pgproto3.ParameterStatus
	for i, status := range s.statuses() {
		if status != before[i] {
			changed = append(changed, status)
		}
	}
	return changed
}
