package promotion

import (
	"flag"
	"os"
	"testing"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/policy/confirm"
	"pgregory.net/rapid"
)

// TestMain fixes the seed and the number of runs of the property tests, so that each run of the tests draws the same
// events.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "2000", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func drawEvent(t *rapid.T) Event {
	target := rapid.SampledFrom([]string{"a", "b", "c", "stranger"}).Draw(t, "target")
	// The term of the promotion is 5; later ones are rare because they end it.
	term := rapid.SampledFrom([]uint64{4, 5, 5, 5, 5, 5, 5, 6}).Draw(t, "term")
	version := rapid.Uint64Range(7, 9).Draw(t, "version")
	yes := rapid.Bool().Draw(t, "yes")
	switch rapid.IntRange(0, 9).Draw(t, "event") {
	case 0:
		return RecordWritten{Version: version}
	case 1:
		return RecordConflict{}
	case 2:
		return RecordUnknown{}
	case 3:
		record := rapid.SampledFrom([]api.TermRecord{oldRecord, ownRecord(""), ownRecord(target)}).Draw(t, "record")
		return RecordRead{Record: record, Version: version}
	case 4, 5:
		return FenceAnswered{Target: target, Term: term, Received: pos(rapid.Uint64Range(1, 4).Draw(t, "log_term"), version)}
	case 6:
		return PromoteAnswered{Target: target, Term: term, IsPrimary: yes}
	case 7:
		return FollowAnswered{Target: target, Term: term, IsFollowing: yes}
	default:
		return Tick{}
	}
}

// orderChecker checks the orders of a promotion against the events that it handled, independently of its state.
type orderChecker struct {
	fenced map[string]bool
	// majorityAt is the time at which a majority was fenced; zero before.
	majorityAt time.Time
	promoted   string
	following  map[string]bool
}

// record notes which targets an event shows as fenced or following.
func (c *orderChecker) record(e Event, now time.Time) {
	switch e := e.(type) {
	case FenceAnswered:
		if e.Term == 5 && e.Target != "stranger" {
			c.fenced[e.Target] = true
		}
		if len(c.fenced) == 2 && c.majorityAt.IsZero() {
			c.majorityAt = now
		}
	case FollowAnswered:
		if e.Term == 5 && e.IsFollowing && e.Target != "stranger" {
			c.following[e.Target] = true
		}
	}
}

// check fails the test if an order breaks a rule of promotions.
func (c *orderChecker) check(t *rapid.T, o Order, now time.Time) {
	switch o := o.(type) {
	case Promote:
		if c.promoted != "" && c.promoted != o.Target {
			t.Fatalf("got %s and %s promoted in one term, want one target", c.promoted, o.Target)
		}
		if c.promoted == "" && (c.majorityAt.IsZero() || now.Sub(c.majorityAt) < confirm.Validity) {
			t.Fatalf("got %s promoted at %v with a majority fenced at %v, want confirmations to expire first", o.Target, now, c.majorityAt)
		}
		if !c.fenced[o.Target] {
			t.Fatalf("got %s promoted, want a fenced target", o.Target)
		}
		c.promoted = o.Target
	case Follow:
		if o.Primary != c.promoted || o.Target == o.Primary || o.Target == "stranger" {
			t.Fatalf("got %+v with primary %s, want a target of the group to follow its primary", o, c.promoted)
		}
	case Finished:
		c.following[c.promoted] = true
		if o.Primary != c.promoted || len(c.following) < 2 {
			t.Fatalf("got %+v with followers %v, want the promoted target and a majority that follows it", o, c.following)
		}
	}
}

// TestOrdersAreSafeForAnyEvents feeds events to a promotion in random order, also ones that no promotion would get.
// Late, repeated or foreign answers must not lead to two primaries in a term or to a promotion without a fenced
// majority.
func TestOrdersAreSafeForAnyEvents(t *testing.T) {
	ended := map[Step]int{}
	rapid.Check(t, func(t *rapid.T) {
		now := at(0)
		p, _ := New(config, oldRecord, 7, now)
		checker := &orderChecker{fenced: map[string]bool{}, following: map[string]bool{}}
		for range rapid.IntRange(1, 80).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "ms")) * time.Millisecond)
			wasDone := p.IsDone()
			e := drawEvent(t)
			checker.record(e, now)
			orders := p.Handle(e, now)
			if wasDone && orders != nil {
				t.Fatalf("got orders %+v after the end, want none", orders)
			}
			for _, o := range orders {
				checker.check(t, o, now)
			}
		}
		ended[p.Step()]++
	})
	if ended[StepFinished] == 0 || ended[StepAbandoned] == 0 || ended[StepFollow] == 0 {
		t.Errorf("last steps of the runs: got %v, want finished, abandoned and follow each at least once", ended)
	}
}
