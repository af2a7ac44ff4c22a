package bench

import (
	"fmt"
	"io"
	"strconv"
	"time"
)

// Figure is one measured value with its unit and its bound.
type Figure struct {
	Name  string
	Value float64
	Unit  string
	Bound Bound
}

// Bound is a limit for the value of a figure, in the unit of the figure. The zero value is no limit.
type Bound struct {
	kind  boundKind
	limit float64
}

type boundKind int

const (
	boundNone boundKind = iota
	boundAtMost
	boundAtLeast
)

// Unbounded holds for any value.
var Unbounded = Bound{}

// AtMost returns a bound that holds for values up to limit.
func AtMost(limit float64) Bound {
	return Bound{kind: boundAtMost, limit: limit}
}

// AtLeast returns a bound that holds for values of at least limit.
func AtLeast(limit float64) Bound {
	return Bound{kind: boundAtLeast, limit: limit}
}

// Holds reports whether value is within the bound.
func (b Bound) Holds(value float64) bool {
	switch b.kind {
	case boundAtMost:
		return value <= b.limit
	case boundAtLeast:
		return value >= b.limit
	default:
		return true
	}
}

// String returns the bound as "<=limit", ">=limit" or, without a limit, "-".
func (b Bound) String() string {
	limit := strconv.FormatFloat(b.limit, 'f', -1, 64)
	switch b.kind {
	case boundAtMost:
		return "<=" + limit
	case boundAtLeast:
		return ">=" + limit
	default:
		return "-"
	}
}

// String returns the figure as a line of name, value, unit and bound, followed by "BROKEN" when the value is
// outside the bound.
func (f Figure) String() string {
	line := fmt.Sprintf("%s %s %s %s", f.Name, strconv.FormatFloat(f.Value, 'f', 3, 64), f.Unit, f.Bound)
	if !f.Bound.Holds(f.Value) {
		line += " BROKEN"
	}
	return line
}

// Report prints figures as they are added, and collects those that are outside their bounds. It is not safe for
// concurrent use.
type Report struct {
	out    io.Writer
	broken []Figure
}

// NewReport returns a report that prints to out.
func NewReport(out io.Writer) *Report {
	return &Report{out: out}
}

// Add prints a figure and records it if its value is outside the bound.
func (r *Report) Add(name string, value float64, unit string, bound Bound) {
	figure := Figure{Name: name, Value: value, Unit: unit, Bound: bound}
	fmt.Fprintln(r.out, figure)
	if !bound.Holds(value) {
		r.broken = append(r.broken, figure)
	}
}

// AddDuration adds a figure in milliseconds. The bound is in milliseconds too.
func (r *Report) AddDuration(name string, value time.Duration, bound Bound) {
	r.Add(name, milliseconds(value), "ms", bound)
}

// Broken returns the figures that are outside their bounds, in the order in which they were added.
func (r *Report) Broken() []Figure {
	return r.broken
}

func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}
