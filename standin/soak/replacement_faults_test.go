package soak

import (
	"slices"
	"testing"

	"github.com/papayacove/papayacove/standin/lines"
)

// TestFaultsOfReplacementsAreDrawnByNameOnly guards against seeds without names that draw other faults than before, and
// against names that are used twice.
func TestFaultsOfReplacementsAreDrawnByNameOnly(t *testing.T) {
	all, err := SelectLines(nil)
	if err != nil || len(all) != len(LinesFaults) {
		t.Fatalf("without names: got %d faults, %v, want the %d of LinesFaults", len(all), err, len(LinesFaults))
	}
	for _, fault := range ReplacementFaults {
		if slices.ContainsFunc(all, func(other FaultOf[*lines.Fleet]) bool { return other.Name == fault.Name }) {
			t.Errorf("%s: drawn without its name", fault.Name)
		}
		if named, err := SelectLines([]string{fault.Name, "primary_crashed"}); err != nil || len(named) != 2 || named[0].Name != fault.Name {
			t.Errorf("%s: got %d faults, %v, want it and primary_crashed", fault.Name, len(named), err)
		}
	}
}

// TestUndoneFaultBeginsNoPart guards against a fault that begins a part after its end, which nothing would heal.
func TestUndoneFaultBeginsNoPart(t *testing.T) {
	var u undo
	var steps []string
	part := func(name string) func() func() {
		return func() func() {
			steps = append(steps, name)
			return func() { steps = append(steps, "end "+name) }
		}
	}
	u.add(part("1"))
	u.add(part("2"))
	u.end()
	u.add(part("3"))
	u.end()
	if want := []string{"1", "2", "end 2", "end 1"}; !slices.Equal(steps, want) {
		t.Errorf("got %v, want %v", steps, want)
	}
}
