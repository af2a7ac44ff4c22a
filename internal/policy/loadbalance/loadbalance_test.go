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
		"ejected last":                 {[]Candidate{with(idle("a"), func(c *Candidate) { c.Ejected, c.SameZone = true, true }), with(idle("b"), func(c *Candidate) { c.RecentlyFailed = true })}, "ba"},
		"trial first":                  {[]Candidate{with(idle("a"), func(c *Candidate) { c.SameZone = true }), with(idle("b"), func(c *Candidate) { c.Trial, c.InFlight = true, 50 })}, "ba"},
		"recently failed after behind": {[]Candidate{with(idle("a"), func(c *Candidate) { c.RecentlyFailed = true }), with(idle("b"), func(c *Candidate) { c.Behind = true })}, "ba"},
	}
	for name, test := range tests {
		Order(test.candidates)
		if got := names(test.candidates); got != test.want {
			t.Errorf("%s: got order %s, want %s", name, got, test.want)
		}
	}
}

// TestSlowTargetGetsFewReads lets one of three replicas take five times as long, with reads that arrive twice as fast as one
// target serves them: it gets its part by speed, not a third.
func TestSlowTargetGetsFewReads(t *testing.T) {
	const usual, every, reads = 20 * time.Millisecond, 10 * time.Millisecond, 1000
	took := map[string]time.Duration{"a": usual, "b": 5 * usual, "c": usual}
	ends := map[string][]time.Duration{}
	got := map[string]int{}
	for i := range reads {
		now := time.Duration(i) * every
		var candidates []Candidate
		for _, name := range []string{"a", "b", "c"} {
			running := 0
			for _, end := range ends[name] {
				if end > now {
					running++
				}
			}
			candidates = append(candidates, Candidate{Name: name, SameZone: true, InFlight: running, Slots: 4, ServiceTime: took[name]})
		}
		Order(candidates)
		name := candidates[0].Name
		got[name]++
		ends[name] = append(ends[name], now+took[name])
	}
	if got["b"] > reads/20 {
		t.Errorf("got reads at %v, want at most a twentieth at b, which is five times as slow", got)
	}
}
