package capacity

import (
	"context"
	"fmt"
	"io"
)

// Result is one measured figure with its unit.
type Result struct {
	Name  string
	Value float64
	Unit  string
}

// String returns the result as a line of name, value and unit.
func (r Result) String() string {
	return fmt.Sprintf("%s %.4g %s", r.Name, r.Value, r.Unit)
}

// Part is a measurement of related figures that can be run alone.
type Part struct {
	Name    string
	Measure func(ctx context.Context) ([]Result, error)
}

// Parts returns all measurements in the order in which they run. start provides the options of the daemons that run as
// processes.
func Parts(start FleetOptionsFunc) []Part {
	return []Part{
		// The memory of connections is measured first, as memory that other measurements use and free would distort it.
		{Name: "connections", Measure: measureConnections},
		{Name: "members", Measure: measureMembers},
		{Name: "terms", Measure: measureTerms},
		{Name: "status", Measure: measureStatus},
		{Name: "controllers", Measure: measureControllers},
		{Name: "placement", Measure: measurePlacement},
		{Name: "catalog", Measure: measureCatalog},
		{Name: "platform", Measure: measurePlatform},
		{Name: "zone", Measure: measureZone},
		fleetPart(start),
	}
}

// Run measures the part called only, or all parts if only is empty, and prints the results of each to out when it is
// complete. It stops at the first part that fails.
func Run(ctx context.Context, only string, start FleetOptionsFunc, out io.Writer) error {
	for _, part := range Parts(start) {
		if only != "" && part.Name != only {
			continue
		}
		results, err := part.Measure(ctx)
		if err != nil {
			return fmt.Errorf("measure %s: %w", part.Name, err)
		}
		for _, result := range results {
			fmt.Fprintln(out, result)
		}
	}
	return nil
}
