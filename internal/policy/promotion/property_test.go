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

// witness keeps what the events and orders of a promotion show, apart from its own state.
type witness struct {
	fenced     map[string]bool
	majorityAt time.Time
	promoted   string
	following  map[string]bool
}

func (w *witness) see(e Event, now time.Time) {
	switch e := e.(type) {
	case FenceAnswered:
		if e.Term == 5 && e.Target != "stranger" {
			w.fenced[e.Target] = true
		}
		if len(w.fenced) == 2 && w.majorityAt.IsZero() {
			w.majorityAt = now
		}
	case FollowAnswered:
		if e.Term == 5 && e.IsFollowing && e.Target != "stranger" {
			w.following[e.Target] = true
		}
	}
}

func (w *witness) check(t *rapid.T, o Order, now time.Time) {
	switch o := o.(type) {
	case Promote:
		if w.promoted != "" && w.promoted != o.Target {
			t.Fatalf("term promotes %s and %s", w.promoted, o.Target)
		}
		if w.promoted == "" && (w.majorityAt.IsZero() || now.Sub(w.majorityAt) < confirm.Validity) {
			t.Fatalf("promotes %s at %v, majority fenced at %v", o.Target, now, w.majorityAt)
		}
		if !w.fenced[o.Target] {
			t.Fatalf("promotes %s, which is not fenced", o.Target)
		}
		w.promoted = o.Target
	case Follow:
		if o.Primary != w.promoted || o.Target == o.Primary || o.Target == "stranger" {
			t.Fatalf("orders %+v with primary %s", o, w.promoted)
		}
	case Finished:
		w.following[w.promoted] = true
		if o.Primary != w.promoted || len(w.following) < 2 {
			t.Fatalf("finished %+v with followers %v", o, w.following)
		}
	}
}

// TestAnyEventsKeepTheRules feeds a promotion events in any order, also impossible ones.
func TestAnyEventsKeepTheRules(t *testing.T) {
	ended := map[Step]int{}
	rapid.Check(t, func(t *rapid.T) {
		now := at(0)
		p, _ := New(config, oldRecord, 7, now)
		w := &witness{fenced: map[string]bool{}, following: map[string]bool{}}
		for range rapid.IntRange(1, 80).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "ms")) * time.Millisecond)
			wasDone := p.IsDone()
			e := drawEvent(t)
			w.see(e, now)
			orders := p.Handle(e, now)
			if wasDone && orders != nil {
				t.Fatalf("orders %+v after the end", orders)
			}
			for _, o := range orders {
				w.check(t, o, now)
			}
		}
		ended[p.Step()]++
	})
	if ended[StepFinished] == 0 || ended[StepAbandoned] == 0 || ended[StepFollow] == 0 {
		t.Errorf("the runs leave something out: %v", ended)
	}
}
