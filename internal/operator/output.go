package operator

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// Values of --output.
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

// print writes v as JSON with --output json, and text otherwise.
func (o output) print(v any, text string) error {
	if !o.json {
		_, err := io.WriteString(o.writer, text)
		return err
	}
	encoder := json.NewEncoder(o.writer)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}

// table returns a header and rows as text with aligned columns.
func table(header []string, rows [][]string) string {
	var text strings.Builder
	writer := tabwriter.NewWriter(&text, 0, 0, columnPadding, ' ', 0)
	for _, row := range append([][]string{header}, rows...) {
		fmt.Fprintln(writer, strings.Join(row, "\t"))
	}
	// Writing to a strings.Builder never fails.
	_ = writer.Flush()
	return text.String()
}

// reportText returns one line for each report, followed by its differences.
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
