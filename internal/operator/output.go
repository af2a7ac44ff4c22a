package operator

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// The values of --output.
const (
	outputTable = "table"
	outputJSON  = "json"
)

const columnPadding = 2

// output prints results as a table or as JSON.
type output struct {
	writer io.Writer
	json   bool
}

// value prints v as JSON, or the text otherwise.
func (o output) value(v any, text string) error {
	if !o.json {
		_, err := io.WriteString(o.writer, text)
		return err
	}
	encoder := json.NewEncoder(o.writer)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}

// table lines rows up in columns.
func table(header []string, rows [][]string) string {
	var text strings.Builder
	writer := tabwriter.NewWriter(&text, 0, 0, columnPadding, ' ', 0)
	for _, row := range append([][]string{header}, rows...) {
		fmt.Fprintln(writer, strings.Join(row, "\t"))
	}
	// A strings.Builder does not fail.
	_ = writer.Flush()
	return text.String()
}

// reportText is the text form of what became of changes.
func reportText(reports []Report) string {
	var text strings.Builder
	for _, r := range reports {
		fmt.Fprintf(&text, "%s %s: %s, version %d", r.Kind, r.Name, strings.ReplaceAll(r.Outcome, "_", " "), r.Version)
		if r.ChangeID != "" {
			fmt.Fprintf(&text, ", change %s", r.ChangeID)
		}
		text.WriteString("\n")
		if len(r.Differences) > 0 {
			text.WriteString(formatDifferences(r.Differences))
		}
	}
	return text.String()
}
