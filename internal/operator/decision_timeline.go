package operator

import (
	"fmt"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/logevent"
)

// timelineEvents are the log events in the timelines that explain --kind selects by name.
var timelineEvents = map[string][]string{
	"promotion": {
		logevent.PrimarySuspected, logevent.FailoverDecision, logevent.PromotionStep, logevent.PromotionNotStarted,
		logevent.TermObserved, logevent.TargetRepaired, logevent.TargetRepairFailed, logevent.AcknowledgedCut,
	},
	"read": {logevent.BatchClassified, logevent.ReadRouted, logevent.ReadNotServed, logevent.BatchFailed},
	"write": {
		logevent.BatchClassified, logevent.BatchRan, logevent.CommitConfirmed, logevent.CommitFenceOnly, logevent.CommitUnconfirmed,
		logevent.WriteNotServed, logevent.TransactionRolledBack, logevent.BatchFailed, logevent.AcknowledgedCut,
	},
	"refusal": {
		logevent.AdmissionRefused, logevent.BatchRefused, logevent.ReadNotServed, logevent.WriteNotServed,
		logevent.StatementRefused, logevent.CallerStartFailed,
	},
}

// eventTexts describe what the daemon that logged an event did; an event without a text is shown by its name.
var eventTexts = map[string]string{
	logevent.AttemptFailed:         "could not serve the statement on one target",
	logevent.StatementServed:       "serves the statement",
	logevent.IsolationChanged:      "loses or regains contact with most targets",
	logevent.PrimaryChanged:        "learns of another primary or term",
	logevent.PromotionBegun:        "begins a promotion",
	logevent.PromotionChoice:       "chooses the target to promote",
	logevent.PromotionOrdered:      "orders the promotion",
	logevent.PromotionDone:         "observes the promoted target as primary",
	logevent.PromotionGivenUp:      "abandons a promotion",
	logevent.DirectoryNotSettled:   "does not promote yet: entries of targets may be missing",
	logevent.TargetMissing:         "finds the entry of a target missing",
	logevent.TargetGone:            "removes a target whose entry is missing",
	logevent.WitnessLost:           "loses a replica that may alone hold an acknowledged commit",
	logevent.AcknowledgedCut:       "reports to a session that writes it relied on were truncated",
	logevent.AdmissionRefused:      "refuses admission to a batch",
	logevent.BatchClassified:       "classifies a batch as read or write",
	logevent.BatchFailed:           "could not finish a batch",
	logevent.BatchRan:              "ran a batch on a target",
	logevent.BatchRefused:          "refuses a batch at the gate",
	logevent.CallerStartFailed:     "refuses a connection",
	logevent.CommitConfirmed:       "confirms a commit by position",
	logevent.CommitFenceOnly:       "acknowledges a commit by a fence check only",
	logevent.CommitUnconfirmed:     "could not confirm a commit",
	logevent.FailoverDecision:      "decides on the primary",
	logevent.PrimarySuspected:      "suspects the primary",
	logevent.PromotionNotStarted:   "could not start a promotion",
	logevent.PromotionStep:         "takes a step of the promotion",
	logevent.ReadNotServed:         "refuses a read",
	logevent.ReadRouted:            "sends a read to a target",
	logevent.StatementRefused:      "refuses a statement",
	logevent.TargetRepairFailed:    "could not make a target follow the primary",
	logevent.TargetRepaired:        "makes a target follow the primary",
	logevent.TermObserved:          "learns of a term",
	logevent.TransactionRolledBack: "rolls a transaction back",
	logevent.WriteNotServed:        "could not serve a write",
}

// eventsForKind returns the events to query: those of the timeline named kind or, if there is none, the event
// named kind. The empty name stands for all events.
func eventsForKind(kind string) []string {
	if events, found := timelineEvents[kind]; found {
		return events
	}
	return []string{kind}
}

// mergeDecisions merges the decisions of all daemons by time and keeps the newest limit of them, or
// all if limit is 0. Decisions on one event that one daemon made keep their order.
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

// timelineText returns one numbered line for each decision, with the time in ms since the first.
func timelineText(timeline api.DecisionList) string {
	if len(timeline.Decisions) == 0 {
		return "no decisions\n"
	}
	start := timeline.Decisions[0].TimeMs
	var rows [][]string
	for i, d := range timeline.Decisions {
		rows = append(rows, []string{
			strconv.Itoa(i + 1),
			fmt.Sprintf("+%d ms", d.TimeMs-start),
			d.Daemon,
			eventText(d.Event),
			joinFields(d.Fields),
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

func joinFields(fields []api.DecisionField) string {
	pairs := make([]string, 0, len(fields))
	for _, f := range fields {
		pairs = append(pairs, f.Key+"="+f.Value)
	}
	return strings.Join(pairs, " ")
}
