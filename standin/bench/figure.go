package bench

import (
	"fmt"
	"io"
	"strconv"
	"time"
)

// Figure is one measured value.
type Figure struct {
	Name  string
	Value float64
	Unit  string
	Bound Bound
}

// Bound limits a figure. The zero value limits nothing.
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

// Unbounded limits nothing.
var Unbounded = Bound{}

// AtMost is an upper bound.
func AtMost(limit float64) Bound {
	return Bound{kind: boundAtMost, limit: limit}
}

// AtLeast is a lower bound.
func AtLeast(limit float64) Bound {
	return Bound{kind: boundAtLeast, limit: limit}
}

// Holds reports whether a value keeps the bound.
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

// String returns the bound as it is printed.
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

// String returns the line of the figure: name, value, unit and bound.
func (f Figure) String() string {
	line := fmt.Sprintf("%s %s %s %s", f.Name, strconv.FormatFloat(f.Value, 'f', 3, 64), f.Unit, f.Bound)
	if !f.Bound.Holds(f.Value) {
		line += " BROKEN"
	}
	return line
}

// Report collects figures and prints each as it comes in.
type Report struct {
	out    io.Writer
	broken []Figure
}

// NewReport returns a report that prints to out.
func NewReport(out io.Writer) *Report {
	return &Report{out: out}
}

// Add prints a figure.
func (r *Report) Add(name string, value float64, unit string, bound Bound) {
	figure := Figure{Name: name, Value: value, Unit: unit, Bound: bound}
	fmt.Fprintln(r.out, figure)
	if !bound.Holds(value) {
		r.broken = append(r.broken, figure)
	}
}

// AddDuration prints a duration in milliseconds.
func (r *Report) AddDuration(name string, value time.Duration, bound Bound) {
	r.Add(name, milliseconds(value), "ms", bound)
}

// Broken returns the figures that broke their bounds.
func (r *Report) Broken() []Figure {
	return r.broken
}

func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}
