package staleness

import (
	"flag"
	"os"
	"testing"
	"time"

	"github.com/papayacove/papayacove/api"
	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func sample(milliseconds int, term, offset uint64) Sample {
	return Sample{AskedAt: start.Add(time.Duration(milliseconds) * time.Millisecond), Position: api.Position{Term: term, Offset: offset}}
}

// TestBound checks the age at 100 ms after start; an age of -1 means unknown.
func TestBound(t *testing.T) {
	cases := []struct {
		name    string
		samples []Sample
		applied api.Position
		age     int
		reason  Reason
	}{
		{"no samples", nil, api.Position{Term: 1, Offset: 9}, -1, ReasonNoSamples},
		{"behind all samples", []Sample{sample(10, 1, 5)}, api.Position{Term: 1, Offset: 4}, -1, ReasonBehindAll},
		{"newest applied", []Sample{sample(10, 1, 5), sample(60, 1, 8)}, api.Position{Term: 1, Offset: 8}, 40, ReasonSample},
		{"between two", []Sample{sample(10, 1, 5), sample(60, 1, 8)}, api.Position{Term: 1, Offset: 7}, 90, ReasonSample},
		{"primary without writes", []Sample{sample(10, 1, 5), sample(60, 1, 5)}, api.Position{Term: 1, Offset: 5}, 40, ReasonSample},
		{"delayed sample", []Sample{sample(60, 1, 8), sample(10, 1, 9)}, api.Position{Term: 1, Offset: 8}, 40, ReasonSample},
		{"sample of a replaced primary", []Sample{sample(10, 2, 5), sample(60, 1, 99)}, api.Position{Term: 1, Offset: 99}, -1, ReasonBehindAll},
		{"sample of an earlier term", []Sample{sample(10, 1, 99), sample(60, 2, 7)}, api.Position{Term: 2, Offset: 6}, 90, ReasonSample},
	}
	for _, c := range cases {
		h := NewHistory(0)
		for _, s := range c.samples {
			h.Add(s)
		}
		b := h.Bound(c.applied, start.Add(100*time.Millisecond))
		if b.Reason != c.reason || b.Known != (c.age >= 0) || b.Known && b.Age != time.Duration(c.age)*time.Millisecond {
			t.Errorf("%s: got %v, want the age and reason of the case", c.name, b.Fields())
		}
	}
}

// TestBoundIsConservative checks that the bound is not below the true age: the time since the primary
// last held no more than the replica has applied.
func TestBoundIsConservative(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := NewHistory(rapid.IntRange(1, 16).Draw(t, "capacity"))
		now, offset := 0, uint64(1)
		// ends holds the time at which the primary wrote the record after each offset.
		ends := map[uint64]int{}
		for range rapid.IntRange(1, 200).Draw(t, "samples") {
			h.Add(sample(now, 1, offset))
			now += rapid.IntRange(1, 20).Draw(t, "interval")
			for range rapid.IntRange(0, 3).Draw(t, "writes") {
				ends[offset] = now
				offset++
			}
		}
		applied := rapid.Uint64Range(0, offset).Draw(t, "applied")
		b := h.Bound(api.Position{Term: 1, Offset: applied}, start.Add(time.Duration(now)*time.Millisecond))
		end, behind := ends[applied]
		if !b.Known || !behind {
			return
		}
		if trueAge := time.Duration(now-end) * time.Millisecond; b.Age < trueAge {
			t.Fatalf("got bound %s, want at least the true age %s", b.Age, trueAge)
		}
	})
}

func TestThinningReachesFurtherBack(t *testing.T) {
	h := NewHistory(16)
	for i := range 200 {
		h.Add(sample(i, 1, uint64(i+1)))
	}
	now := start.Add(200 * time.Millisecond)
	if b := h.Bound(api.Position{Term: 1, Offset: 100}, now); !b.Known || b.Age < 101*time.Millisecond {
		t.Errorf("position 100 of 200: got %v, want a known age of at least 101 ms", b.Fields())
	}
	if b := h.Bound(api.Position{Term: 1, Offset: 200}, now); b.Age != time.Millisecond || b.Lag != 0 {
		t.Errorf("newest position: got %v, want age 1 ms and lag 0", b.Fields())
	}
}

func BenchmarkBound(b *testing.B) {
	h := NewHistory(0)
	for i := range DefaultCapacity {
		h.Add(sample(i, 1, uint64(i)))
	}
	applied := api.Position{Term: 1, Offset: 60}
	b.ReportAllocs()
	for b.Loop() {
		h.Bound(applied, start)
	}
}
