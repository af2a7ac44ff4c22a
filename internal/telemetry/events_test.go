package telemetry

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

var (
	// constantPattern matches the constants that logevent and logfield declare.
	constantPattern = regexp.MustCompile(`(?m)^\t(\w+) += "([a-z0-9_]+)"$`)
	// usePattern matches uses of these constants.
	usePattern = regexp.MustCompile(`\b(logevent|logfield)\.(\w+)`)
	// literalPattern matches names of events and fields that are string literals instead of constants.
	literalPattern = regexp.MustCompile(`(?:\.(?:Debug|Info|Warn|Error|WithField)|\bTrace)\("[a-z0-9_]+"[,)]|logrus\.Fields\{(?:[^{}"]|"[^"]*"[^:])*"[a-z0-9_]+":`)
)

// constantsOf returns the texts of the constants that a package declares, by constant name.
func constantsOf(t *testing.T, name string) map[string]string {
	t.Helper()
	source, err := os.ReadFile(filepath.Join("..", name, name+".go"))
	if err != nil {
		t.Fatal(err)
	}
	constants := make(map[string]string)
	for _, match := range constantPattern.FindAllStringSubmatch(string(source), -1) {
		constants[match[1]] = match[2]
	}
	if len(constants) == 0 {
		t.Fatalf("package %s: found no constants", name)
	}
	return constants
}

// TestEventsAndFieldsAreDocumented checks that each event and field is used and listed in docs/EVENTS.md, and that
// the page lists no event that does not exist.
func TestEventsAndFieldsAreDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/EVENTS.md")
	if err != nil {
		t.Fatal(err)
	}
	declared := map[string]map[string]string{"logevent": constantsOf(t, "logevent"), "logfield": constantsOf(t, "logfield")}
	uses := usesInSource(t)
	for name, constants := range declared {
		for constant, text := range constants {
			if !uses[name+"."+constant] {
				t.Errorf("constant %s.%s is not used", name, constant)
			}
			if !regexp.MustCompile(`\b` + text + `\b`).Match(page) {
				t.Errorf("constant %s.%s (%q) is missing in docs/EVENTS.md", name, constant, text)
			}
		}
	}
	events := make(map[string]bool)
	for _, text := range declared["logevent"] {
		events[text] = true
		if !strings.Contains(string(page), "`"+text+"`") {
			t.Errorf("event `%s` is missing in docs/EVENTS.md", text)
		}
	}
	for _, row := range strings.Split(string(page), "\n| `")[1:] {
		names, _, _ := strings.Cut(row, " | ")
		for _, name := range strings.Split(strings.ReplaceAll(names, "`", ""), ", ") {
			if !events[name] {
				t.Errorf("docs/EVENTS.md lists event %s, which does not exist", name)
			}
		}
	}
}

// usesInSource returns the constants that the source uses, and fails the test on names that are literals.
func usesInSource(t *testing.T) map[string]bool {
	t.Helper()
	uses := make(map[string]bool)
	walk := func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		content, err := os.ReadFile(path)
		for _, match := range usePattern.FindAllStringSubmatch(string(content), -1) {
			uses[match[1]+"."+match[2]] = true
		}
		for _, literal := range literalPattern.FindAllString(string(content), -1) {
			t.Errorf("%s: name of an event or field is a literal, want a constant: %s", path, literal)
		}
		return err
	}
	for _, tree := range []string{"..", "../../platform", "../../cmd"} {
		if err := filepath.WalkDir(tree, walk); err != nil {
			t.Fatal(err)
		}
	}
	return uses
}
