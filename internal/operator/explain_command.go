package operator

import (
	"context"
	"fmt"
	"net/url"
	"os"
	"strconv"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/papayacove/papayacove/api"
)

const defaultDecisionLimit = 100

// Names of the flags of explain. Except for flagRequest, they are also parameter names in the query to a daemon.
const (
	flagGroup   = "group"
	flagSession = "session"
	flagKind    = "kind"
	flagLimit   = "limit"
	flagRequest = "request"
)

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:  "explain",
		Usage: "show step by step how a promotion, a read, a write or a refusal was decided",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagGroup, Usage: "only decisions on this `GROUP`"},
			&cli.StringFlag{Name: flagSession, Usage: "only decisions for this `SESSION`"},
			&cli.StringFlag{Name: flagKind, Usage: "only promotion, read, write or refusal, or one log `EVENT`"},
			&cli.StringFlag{Name: flagRequest, Usage: "show the timeline of this request `ID` from the log files given as arguments, or from standard input"},
			&cli.IntFlag{Name: flagLimit, Value: defaultDecisionLimit, Usage: "maximum number of decisions to show; the newest are kept"},
		},
		Action: explain,
	}
}

func explain(ctx context.Context, cmd *cli.Command) error {
	if request := cmd.String(flagRequest); request != "" {
		return explainRequest(cmd, request)
	}
	daemons, err := daemonsFromFlags(ctx, cmd)
	if err != nil {
		return err
	}
	var lists []api.DecisionList
	var lastResponses []daemonResponse[api.DecisionList]
	for _, event := range eventsForKind(cmd.String(flagKind)) {
		lastResponses, err = queryAll[api.DecisionList](ctx, daemons, "/decisions?"+decisionQuery(cmd, event))
		if err != nil {
			return err
		}
		lists = append(lists, decisionLists(lastResponses)...)
	}
	timeline := mergeDecisions(lists, cmd.Int(flagLimit))
	return outputFromFlags(cmd).print(timeline, timelineText(timeline)+missingText(lastResponses))
}

// explainRequest prints the timeline of one request from logs.
func explainRequest(cmd *cli.Command, request string) error {
	lines, err := readLogs(cmd.Args().Slice(), os.Stdin)
	if err != nil {
		return err
	}
	_, err = fmt.Fprint(cmd.Root().Writer, requestTimelineText(requestTimeline(lines, request)))
	return err
}

// decisionQuery returns the URL query for the decisions on one event, or on all events if event is empty.
func decisionQuery(cmd *cli.Command, event string) string {
	query := url.Values{flagLimit: {strconv.Itoa(cmd.Int(flagLimit))}}
	for _, name := range []string{flagGroup, flagSession} {
		if text := cmd.String(name); text != "" {
			query.Set(name, text)
		}
	}
	if event != "" {
		query.Set(flagKind, event)
	}
	return query.Encode()
}

// decisionLists returns the decisions of the daemons that responded.
func decisionLists(responses []daemonResponse[api.DecisionList]) []api.DecisionList {
	var lists []api.DecisionList
	for _, r := range responses {
		if r.err == nil {
			lists = append(lists, r.value)
		}
	}
	return lists
}

// missingText returns one line for each daemon whose decisions are missing from the timeline, with the error.
func missingText(responses []daemonResponse[api.DecisionList]) string {
	var text strings.Builder
	for _, r := range responses {
		if r.err != nil {
			fmt.Fprintf(&text, "daemon %s: no answer: %s\n", r.daemon.name, r.err)
		}
	}
	return text.String()
}
