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

// storyEvents are the log events that make up the stories that explain tells by name.
var storyEvents = map[string][]string{
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

// eventTexts say in words what a daemon did; other events are shown by name.
var eventTexts = map[string]string{
	logevent.AttemptFailed:         "is not served by one target",
	logevent.StatementServed:       "serves the statement",
	logevent.IsolationChanged:      "loses or regains most targets",
	logevent.PrimaryChanged:        "learns of another primary",
	logevent.PromotionBegun:        "begins a promotion",
	logevent.PromotionChoice:       "chooses the target to promote",
	logevent.PromotionOrdered:      "orders the promotion",
	logevent.PromotionDone:         "sees the promoted target lead",
	logevent.PromotionGivenUp:      "gives a promotion up",
	logevent.DirectoryNotSettled:   "does not promote yet",
	logevent.TargetMissing:         "misses the entry of a target",
	logevent.TargetGone:            "gives a target up",
	logevent.WitnessLost:           "loses a replica that may alone have commits",
	logevent.AcknowledgedCut:       "tells a session that writes it relied on were cut",
	logevent.AdmissionRefused:      "has no room for a batch",
	logevent.BatchClassified:       "tells reads from writes",
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
	logevent.TargetRepairFailed:    "could not make a target follow",
	logevent.TargetRepaired:        "makes a target follow",
	logevent.TermObserved:          "learns of a term",
	logevent.TransactionRolledBack: "rolls a transaction back",
	logevent.WriteNotServed:        "did not get a write served",
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
