package terms

import (
	"testing"

	"github.com/papayacove/papayacove/api"
)

func TestObserveKeepsTheNewestTerm(t *testing.T) {
	steps := []struct {
		name     string
		observed api.GroupTerm
		newer    bool
	}{
		{"first", api.GroupTerm{Group: "g", Term: 1, Primary: "a"}, true},
		{"repeated", api.GroupTerm{Group: "g", Term: 1, Primary: "a"}, false},
		{"open promotion", api.GroupTerm{Group: "g", Term: 2}, true},
		{"older term after a newer one", api.GroupTerm{Group: "g", Term: 1, Primary: "a"}, false},
		{"primary recorded", api.GroupTerm{Group: "g", Term: 2, Primary: "b"}, true},
		{"open form after the recorded one", api.GroupTerm{Group: "g", Term: 2}, false},
	}
	table := NewTable()
	for _, step := range steps {
		if newer := table.Observe(step.observed); newer != step.newer {
			t.Errorf("%s: got newer = %v, want %v", step.name, newer, step.newer)
		}
	}
	if current, _ := table.Current("g"); current.Primary != "b" {
		t.Errorf("got primary %q, want b", current.Primary)
	}
}
