package telemetry

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// eventPattern finds the names of events in source text.
var eventPattern = regexp.MustCompile(`(?:\.(?:Debug|Info|Warn|Error)|Trace)\("([a-z_]+)"`)

// TestEventsAreDocumented compares the names in the source with docs/EVENTS.md, both ways.
func TestEventsAreDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/EVENTS.md")
	if err != nil {
		t.Fatal(err)
	}
	logged := make(map[string]bool)
	walk := func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		content, err := os.ReadFile(path)
		for _, match := range eventPattern.FindAllStringSubmatch(string(content), -1) {
			logged[match[1]] = true
		}
		return err
	}
	for _, tree := range []string{"..", "../../platform", "../../cmd"} {
		if err := filepath.WalkDir(tree, walk); err != nil {
			t.Fatal(err)
		}
	}
	for name := range logged {
		if !strings.Contains(string(page), "`"+name+"`") {
			t.Errorf("event %s is not documented", name)
		}
	}
	for _, row := range strings.Split(string(page), "\n| `")[1:] {
		names, _, _ := strings.Cut(row, " | ")
		for _, name := range strings.Split(strings.ReplaceAll(names, "`", ""), ", ") {
			if !logged[name] {
				t.Errorf("event %s is documented and not logged", name)
			}
		}
	}
}
