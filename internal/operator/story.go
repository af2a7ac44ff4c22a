package operator

import (
	"fmt"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/papayacove/papayacove/api"
)

// storyEvents are the log events that make up the stories that explain tells by name.
var storyEvents = map[string][]string{
	"promotion": {
		"primary_suspected", "failover_decision", "promotion_step", "promotion_not_started",
		"term_observed", "target_repaired", "target_repair_failed", "acknowledged_cut",
	},
	"read": {"batch_classified", "read_routed", "read_not_served", "batch_failed"},
	"write": {
		"batch_classified", "batch_ran", "commit_confirmed", "commit_fence_only", "commit_unconfirmed",
		"write_not_served", "transaction_rolled_back", "batch_failed", "acknowledged_cut",
	},
	"refusal": {
		"admission_refused", "batch_refused", "read_not_served", "write_not_served",
		"statement_refused", "caller_start_failed",
	},
}

// eventTexts say in words what a daemon did; other events are shown by name.
var eventTexts = map[string]string{
	"attempt_failed":          "is not served by one target",
	"statement_served":        "serves the statement",
	"isolation_changed":       "loses or regains most targets",
	"primary_changed":         "learns of another primary",
	"promotion_begun":         "begins a promotion",
	"promotion_choice":        "chooses the target to promote",
	"promotion_ordered":       "orders the promotion",
	"promotion_done":          "sees the promoted target lead",
	"promotion_given_up":      "gives a promotion up",
	"directory_not_settled":   "does not promote yet",
	"target_missing":          "misses the entry of a target",
	"target_gone":             "gives a target up",
	"witness_lost":            "loses a replica that may alone have commits",
	"acknowledged_cut":        "tells a session that writes it relied on were cut",
	"admission_refused":       "has no room for a batch",
	"batch_classified":        "tells reads from writes",
	"batch_failed":            "could not finish a batch",
	"batch_ran":               "ran a batch on a target",
	"batch_refused":           "refuses a batch at the gate",
	"caller_start_failed":     "refuses a connection",
	"commit_confirmed":        "confirms a commit by position",
	"commit_fence_only":       "acknowledges a commit by a fence check only",
	"commit_unconfirmed":      "could not confirm a commit",
	"failover_decision":       "decides on the primary",
	"primary_suspected":       "suspects the primary",
	"promotion_not_started":   "could not start a promotion",
	"promotion_step":          "takes a step of the promotion",
	"read_not_served":         "refuses a read",
	"read_routed":             "sends a read to a target",
	"statement_refused":       "refuses a statement",
	"target_repair_failed":    "could not make a target follow",
	"target_repaired":         "makes a target follow",
	"term_observed":           "learns of a term",
	"transaction_rolled_back": "rolls a transaction back",
	"write_not_served":        "did not get a write served",
}

// eventsOf returns the events to ask for: those of a story, the one that is named, or all.
func eventsOf(kind string) []string {
	if events, found := storyEvents[kind]; found {
		return events
	}
	return []string{kind}
}

// mergeDecisions joins the decisions of all daemons by time; those of one event and daemon stay
// in order.
func mergeDecisions(lists []api.DecisionList, limit int) api.DecisionList {
	merged := []api.Decision{}
	for _, list := range lists {
		merged = append(merged, list.Decisions...)
	}
	sort.SliceStable(merged, func(i, j int) bool { return merged[i].TimeMs < merged[j].TimeMs })
	if limit > 0 && len(merged) > limit {
		merged = merged[len(merged)-limit:]
	}
	return api.DecisionList{Decisions: merged}
}

// storyText prints one numbered line for each decision, with the time since the first.
func storyText(story api.DecisionList) string {
	if len(story.Decisions) == 0 {
		return "no decisions\n"
	}
	start := story.Decisions[0].TimeMs
	var rows [][]string
	for i, d := range story.Decisions {
		rows = append(rows, []string{
			strconv.Itoa(i + 1),
			fmt.Sprintf("+%d ms", d.TimeMs-start),
			d.Daemon,
			eventText(d.Event),
			fieldText(d.Fields),
		})
	}
	began := time.UnixMilli(start).UTC().Format(time.RFC3339Nano)
	heading := "began " + began + "; times are those of each daemon's own clock\n"
	return heading + table([]string{"STEP", "AFTER", "DAEMON", "WHAT", "DETAILS"}, rows)
}

func eventText(event string) string {
	if text, found := eventTexts[event]; found {
		return text
	}
	return strings.ReplaceAll(event, "_", " ")
}

func fieldText(fields []api.DecisionField) string {
	pairs := make([]string, 0, len(fields))
	for _, f := range fields {
		pairs = append(pairs, f.Key+"="+f.Value)
	}
	return strings.Join(pairs, " ")
}
