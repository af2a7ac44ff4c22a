package frontend

import (
	"slices"
	"strings"

	"github.com/papayacove/papayacove/internal/result"
)

// parameter describes a run-time parameter that is applied to every connection that the session uses.
type parameter struct {
	// reportedName is the name in ParameterStatus; empty when changes are not reported.
	reportedName string
	// accepted are the allowed values in lower case; when it is empty, every value is allowed.
	accepted []string
}

var booleanOn = []string{"on", "true", "yes", "1"}

// parameters are the run-time parameters that a session may set, by their name in lower case.
var parameters = map[string]parameter{
	"application_name":                    {reportedName: "application_name"},
	"client_encoding":                     {reportedName: "client_encoding", accepted: []string{"utf8", "utf-8", "unicode"}},
	"datestyle":                           {reportedName: "DateStyle"},
	"intervalstyle":                       {reportedName: "IntervalStyle"},
	"timezone":                            {reportedName: "TimeZone"},
	"standard_conforming_strings":         {accepted: booleanOn},
	"default_transaction_read_only":       {reportedName: "default_transaction_read_only"},
	"search_path":                         {},
	"array_nulls":                         {},
	"bytea_output":                        {},
	"client_min_messages":                 {},
	"constraint_exclusion":                {},
	"cursor_tuple_fraction":               {},
	"default_text_search_config":          {},
	"default_transaction_deferrable":      {},
	"default_transaction_isolation":       {},
	"enable_bitmapscan":                   {},
	"enable_hashagg":                      {},
	"enable_hashjoin":                     {},
	"enable_indexonlyscan":                {},
	"enable_indexscan":                    {},
	"enable_mergejoin":                    {},
	"enable_nestloop":                     {},
	"enable_seqscan":                      {},
	"enable_sort":                         {},
	"extra_float_digits":                  {},
	"from_collapse_limit":                 {},
	"geqo":                                {},
	"idle_in_transaction_session_timeout": {},
	"jit":                                 {},
	"join_collapse_limit":                 {},
	"lc_monetary":                         {},
	"lc_numeric":                          {},
	"lc_time":                             {},
	"lock_timeout":                        {},
	"max_parallel_workers_per_gather":     {},
	"plan_cache_mode":                     {},
	"quote_all_identifiers":               {},
	"random_page_cost":                    {},
	"row_security":                        {},
	"seq_page_cost":                       {},
	"statement_timeout":                   {},
	"work_mem":                            {},
	"xmloption":                           {},
}

// isListParameter reports whether a parameter takes a list of values.
func isListParameter(name string) bool {
	return name == "search_path" || name == "datestyle"
}

// checkParameter returns Unsupported for a parameter or value that cannot be applied to every connection of the
// session, and ProtocolViolation for a value with a zero byte. Names with a prefix, such as app.user_id, are
// parameters of the application and allowed.
func checkParameter(name, value string) *result.Error {
	known, ok := parameters[name]
	if !ok && !strings.Contains(name, ".") {
		return result.Errorf(result.Unsupported, "parameter %q cannot be set: it would stay with one connection", name)
	}
	if len(known.accepted) > 0 && !slices.Contains(known.accepted, strings.ToLower(value)) {
		return result.Errorf(result.Unsupported, "parameter %q can only be %s", name, known.accepted[0])
	}
	if strings.ContainsRune(value, 0) {
		return result.Errorf(result.ProtocolViolation, "the value of %q holds a zero byte", name)
	}
	return nil
}

// reportedValue returns a value in the form in which PostgreSQL reports it in ParameterStatus.
func reportedValue(name, value string) string {
	switch name {
	case "client_encoding":
		return "UTF8"
	case "datestyle":
		return reportedDateStyle(value)
	case "default_transaction_read_only":
		if isOn(value) {
			return "on"
		}
		return "off"
	}
	return value
}

// reportedDateStyle returns the full form of a DateStyle: "German, DMY" for "german".
func reportedDateStyle(value string) string {
	style, order := "ISO", "MDY"
	for _, item := range strings.Split(strings.ToLower(value), ",") {
		switch strings.TrimSpace(item) {
		case "sql":
			style = "SQL"
		case "postgres":
			style = "Postgres"
		case "german":
			style, order = "German", "DMY"
		case "dmy", "euro", "european":
			order = "DMY"
		case "ymd":
			order = "YMD"
		}
	}
	return style + ", " + order
}

// isOn reports whether the value of a boolean parameter is true.
func isOn(value string) bool {
	return slices.Contains(booleanOn, strings.ToLower(value))
}
