package result

import (
	"fmt"
	"os"
	"strings"
	"testing"
)

func TestDefinitionsAscendAndAreUnique(t *testing.T) {
	for i := 1; i < len(Definitions); i++ {
		if Definitions[i].Code <= Definitions[i-1].Code {
			t.Errorf("code %d comes after code %d, want ascending codes", Definitions[i].Code, Definitions[i-1].Code)
		}
	}
}

func TestDocumentationListsEachCode(t *testing.T) {
	page, err := os.ReadFile("../../docs/ERRORS.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, d := range Definitions {
		row := fmt.Sprintf("| %d | %s | %s | %s |", int(d.Code), d.Name, d.SQLState, d.Meaning)
		if !strings.Contains(string(page), row) {
			t.Errorf("docs/ERRORS.md lacks the row %q", row)
		}
	}
}

func TestCodeOfWrappedError(t *testing.T) {
	err := fmt.Errorf("read: %w", Errorf(NotRunBehind, "replica at 1/2"))
	if got := CodeOf(err); got != NotRunBehind {
		t.Errorf("CodeOf = %v, want %v", got, NotRunBehind)
	}
}
