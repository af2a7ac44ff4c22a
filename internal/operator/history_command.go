package operator

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/papayacove/papayacove/api"
)

func historyCommand(kind string) *cli.Command {
	return &cli.Command{
		Name:      "history",
		Usage:     "show the last changes, newest first, also of a removed document",
		ArgsUsage: "NAME",
		Action: withStored(kind, func(cmd *cli.Command, stored Stored) error {
			history := stored.Document.Changes()
			return outputFromFlags(cmd).print(history, historyText(history))
		}),
	}
}

func historyText(history []api.ChangeRecord) string {
	var text strings.Builder
	for _, record := range history {
		when := time.UnixMilli(record.TimeMs).UTC().Format(time.RFC3339)
		base := "created"
		if record.BaseVersion != 0 {
			base = "from version " + strconv.FormatUint(record.BaseVersion, 10)
		}
		fmt.Fprintf(&text, "%s  %s  %s  %s\n", when, record.Author, base, record.ChangeID)
		if len(record.Changes) > 0 {
			text.WriteString(formatDifferences(record.Changes))
		}
	}
	return text.String()
}
