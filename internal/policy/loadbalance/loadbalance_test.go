package loadbalance

import (
	"testing"
	"time"
)

func names(candidates []Candidate) string {
	text := ""
	for _, c := range candidates {
		text += c.Name
	}
	return text
}

// TestOrder orders two candidates that are idle but for the properties that the case changes.
func TestOrder(t *testing.T) {
	idle := func(name string) Candidate {
		return Candidate{Name: name, Slots: 5, ServiceTime: 30 * time.Millisecond}
	}
	with := func(c Candidate, change func(*Candidate)) Candidate { change(&c); return c }
	tests := map[string]struct {
		candidates []Candidate
		want       string
	}{
		"own zone first":               {[]Candidate{idle("a"), with(idle("b"), func(c *Candidate) { c.SameZone = true })}, "ba"},
		"replica before primary":       {[]Candidate{with(idle("a"), func(c *Candidate) { c.Primary = true }), idle("b")}, "ba"},
		"other zone when own is busy":  {[]Candidate{with(idle("a"), func(c *Candidate) { c.SameZone, c.InFlight = true, 9 }), idle("b")}, "ba"},
		"own zone when slightly busy":  {[]Candidate{with(idle("a"), func(c *Candidate) { c.SameZone, c.InFlight = true, 3 }), idle("b")}, "ab"},
		"behind after busy":            {[]Candidate{with(idle("a"), func(c *Candidate) { c.Behind = true }), with(idle("b"), func(c *Candidate) { c.InFlight = 50 })}, "ba"},
		"recently failed after behind": {[]Candidate{with(idle("a"), func(c *Candidate) { c.RecentlyFailed = true }), with(idle("b"), func(c *Candidate) { c.Behind = true })}, "ba"},
	}
	for name, test := range tests {
		Order(test.candidates)
		if got := names(test.candidates); got != test.want {
			t.Errorf("%s: got order %s, want %s", name, got, test.want)
		}
	}
}
