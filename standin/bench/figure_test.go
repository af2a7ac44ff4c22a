package bench

import (
	"strings"
	"testing"
)

func TestReportCollectsFiguresOutsideBounds(t *testing.T) {
	var out strings.Builder
	report := NewReport(&out)
	report.Add("a", 1, "ms", AtMost(1))
	report.Add("b", 1.5, "ms", AtMost(1))
	report.Add("c", 94, "%", AtLeast(95))
	report.Add("d", 7, "ms", Unbounded)
	want := "a 1.000 ms <=1\nb 1.500 ms <=1 BROKEN\nc 94.000 % >=95 BROKEN\nd 7.000 ms -\n"
	if out.String() != want {
		t.Errorf("report printed %q, want %q", out.String(), want)
	}
	if len(report.Broken()) != 2 {
		t.Errorf("figures outside their bounds: got %v, want b and c", report.Broken())
	}
}
