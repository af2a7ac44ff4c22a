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

const defaultDecisions = 100

// Names of the flags of explain, which are also the names in the query.
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
		Usage: "tell step by step how a promotion, a read, a write or a refusal was decided",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagGroup, Usage: "only decisions on this `GROUP`"},
			&cli.StringFlag{Name: flagSession, Usage: "only decisions for this `SESSION`"},
			&cli.StringFlag{Name: flagKind, Usage: "only promotion, read, write or refusal, or one log `EVENT`"},
			&cli.StringFlag{Name: flagRequest, Usage: "tell the story of this request `ID` from the logs in the files that follow, or from standard input"},
			&cli.IntFlag{Name: flagLimit, Value: defaultDecisions, Usage: "newest decisions to show"},
		},
		Action: explain,
	}
}

func explain(ctx context.Context, cmd *cli.Command) error {
	if request := cmd.String(flagRequest); request != "" {
		return explainRequest(cmd, request)
	}
	daemons, err := daemonsOf(ctx, cmd)
	if err != nil {
		return err
	}
	var lists []api.DecisionList
	var last []answer[api.DecisionList]
	for _, event := range eventsOf(cmd.String(flagKind)) {
		last, err = askAll[api.DecisionList](ctx, daemons, "/decisions?"+decisionQuery(cmd, event))
		if err != nil {
			return err
		}
		lists = append(lists, answered(last)...)
	}
	story := mergeDecisions(lists, cmd.Int(flagLimit))
	return outputOf(cmd).value(story, storyText(story)+missingText(last))
}

// explainRequest tells the story of one request from logs.
func explainRequest(cmd *cli.Command, request string) error {
	lines, err := readLogs(cmd.Args().Slice(), os.Stdin)
	if err != nil {
		return err
	}
	_, err = fmt.Fprint(cmd.Root().Writer, requestStoryText(requestStory(lines, request)))
	return err
}

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

// answered returns what the daemons said that did answer.
func answered(answers []answer[api.DecisionList]) []api.DecisionList {
	var lists []api.DecisionList
	for _, a := range answers {
		if a.err == nil {
			lists = append(lists, a.value)
		}
	}
	return lists
}

// missingText names the daemons whose decisions are not in the story.
func missingText(answers []answer[api.DecisionList]) string {
	var text strings.Builder
	for _, a := range answers {
		if a.err != nil {
			fmt.Fprintf(&text, "daemon %s: no answer: %s\n", a.daemon.name, a.err)
		}
	}
	return text.String()
}
