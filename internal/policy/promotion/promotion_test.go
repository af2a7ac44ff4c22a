package promotion

import (
	"reflect"
	"testing"
	"time"

	"github.com/papayacove/papayacove/api"
)

var begin = time.Unix(1_000_000, 0)

// at returns the time that is the given number of milliseconds after the start of the promotion.
func at(milliseconds int) time.Time {
	return begin.Add(time.Duration(milliseconds) * time.Millisecond)
}

func pos(term, offset uint64) api.Position {
	return api.Position{Term: term, Offset: offset}
}

var config = Config{
	Group:    "rounds-db-1",
	Targets:  []string{"a", "b", "c"},
	Promoter: "entry-1",
	ChangeID: "change-1",
	Reason:   "primary_lost",
}

var oldRecord = api.TermRecord{Group: "rounds-db-1", Term: 4, Primary: "a", ChangeID: "change-0"}

// newPromotion returns a promotion that has handled events, one each millisecond.
func newPromotion(cfg Config, events ...Event) *Promotion {
	p, _ := New(cfg, oldRecord, 7, at(0))
	for i, e := range events {
		p.Handle(e, at(i))
	}
	return p
}

// withoutWakes returns the orders other than WakeAt.
func withoutWakes(all []Order) []Order {
	var kept []Order
	for _, o := range all {
		if _, ok := o.(WakeAt); !ok {
			kept = append(kept, o)
		}
	}
	return kept
}

// fenced returns the answer of a target that is fenced at the promotion's term.
func fenced(target string, received api.Position) FenceAnswered {
	return FenceAnswered{Target: target, Term: 5, Received: received}
}

// ownRecord returns the record that the promotion writes, without its reason.
func ownRecord(primary string) api.TermRecord {
	return api.TermRecord{Group: "rounds-db-1", Term: 5, Primary: primary, ChangeID: "change-1", Promoter: "entry-1"}
}

var (
	termOpened     = []Event{RecordWritten{Version: 8}}
	majorityFenced = append(termOpened[:1:1], fenced("b", pos(4, 10)), fenced("c", pos(4, 12)))
	promoted       = PromoteAnswered{Target: "c", Term: 5, IsPrimary: true, Start: pos(5, 13)}
	abandonedFor   = func(reason AbandonReason, step Step, fenced int) []Order {
		return []Order{Abandoned{Group: "rounds-db-1", Term: 5, Reason: reason, Step: step, Fenced: fenced, Needed: 2}}
	}
)

// promoting returns a promotion that has ordered to promote c and waits for the answer.
func promoting() *Promotion {
	p := newPromotion(config, majorityFenced...)
	p.Handle(Tick{}, at(200))
	return p
}

func TestPromotionFromStartToEnd(t *testing.T) {
	p, first := New(config, oldRecord, 7, at(0))
	want := api.TermRecord{Group: "rounds-db-1", Term: 5, Promoter: "entry-1", ChangeID: "change-1", Reason: "primary_lost"}
	steps := []struct {
		name  string
		event Event
		now   time.Time
		want  []Order
	}{
		{"record written", RecordWritten{Version: 8}, at(1), []Order{Fence{"a", 5}, Fence{"b", 5}, Fence{"c", 5}}},
		{"first fenced", fenced("b", pos(4, 10)), at(2), nil},
		{"majority fenced", fenced("c", pos(4, 12)), at(3), nil},
		{"before the validity ends", Tick{}, at(102), []Order{Fence{"a", 5}}},
		{"validity ended", Tick{}, at(103), []Order{Promote{"c", 5}}},
		{"promoted", promoted, at(110), []Order{
			WriteRecord{Record: withPrimary(want, "c", pos(5, 13)), Version: 8}, Follow{"a", 5, "c"}, Follow{"b", 5, "c"},
		}},
		{"first follows", FollowAnswered{Target: "b", Term: 5, IsFollowing: true}, at(112), nil},
		{"recorded", RecordWritten{Version: 9}, at(113), []Order{Finished{"rounds-db-1", 5, "c", pos(5, 13), 113 * time.Millisecond}}},
		{"late event", FollowAnswered{Target: "a", Term: 5, IsFollowing: true}, at(120), nil},
	}
	if got := withoutWakes(first); !reflect.DeepEqual(got, []Order{WriteRecord{Record: want, Version: 7}}) {
		t.Fatalf("first orders: got %+v, want the record written", got)
	}
	for _, s := range steps {
		if got := withoutWakes(p.Handle(s.event, s.now)); !reflect.DeepEqual(got, s.want) {
			t.Errorf("%s: got %+v, want %+v", s.name, got, s.want)
		}
	}
	if p.Step() != StepFinished || !p.IsDone() || p.Primary() != "c" {
		t.Errorf("at the end: got %v, want it finished with primary c", p.Fields())
	}
}

func withPrimary(r api.TermRecord, primary string, start api.Position) api.TermRecord {
	r.Primary, r.Start = primary, start
	return r
}

func TestPromotionFailures(t *testing.T) {
	read := []Order{ReadRecord{Group: "rounds-db-1"}}
	reading := []Event{RecordUnknown{}}
	cases := []struct {
		name   string
		before *Promotion
		event  Event
		want   []Order
		step   Step
	}{
		{"record is read after a conflict", newPromotion(config), RecordConflict{}, read, StepOpen},
		{"record is read after a lost answer", newPromotion(config), RecordUnknown{}, read, StepOpen},
		{"lost answer, change took effect", newPromotion(config, reading...), RecordRead{ownRecord(""), 8},
			[]Order{Fence{"a", 5}, Fence{"b", 5}, Fence{"c", 5}}, StepFence},
		{"lost answer, change did not take effect", newPromotion(config, reading...), RecordRead{oldRecord, 7},
			[]Order{WriteRecord{Record: withReason(ownRecord("")), Version: 7}}, StepOpen},
		{"another promoter was first", newPromotion(config, reading...), RecordRead{api.TermRecord{Term: 5, ChangeID: "other"}, 8},
			abandonedFor(AbandonRecordConflict, StepOpen, 0), StepAbandoned},
		{"refused fence of the own term completes the majority", newPromotion(config, majorityFenced[:2]...), fenced("a", pos(4, 3)), nil, StepAwaitExpiry},
		{"repeated fence answer is counted once", newPromotion(config, majorityFenced[:2]...), fenced("b", pos(4, 10)), nil, StepFence},
		{"fence answer of a lower term", newPromotion(config, majorityFenced[:2]...), FenceAnswered{Target: "a", Term: 4}, nil, StepFence},
		{"fence answer of a target outside the group", newPromotion(config, majorityFenced[:2]...), fenced("z", pos(4, 10)), nil, StepFence},
		{"fence answer of a later term", newPromotion(config, majorityFenced[:2]...), FenceAnswered{Target: "a", Term: 6},
			abandonedFor(AbandonLaterTerm, StepFence, 1), StepAbandoned},
		{"promotion refused for a later term", promoting(), PromoteAnswered{Target: "c", Term: 6},
			abandonedFor(AbandonLaterTerm, StepPromote, 2), StepAbandoned},
		{"promotion refused otherwise", promoting(), PromoteAnswered{Target: "c", Term: 5}, nil, StepPromote},
		{"fence answer after the choice", promoting(), fenced("a", pos(4, 99)), nil, StepPromote},
		{"promotion answer of another target", promoting(), PromoteAnswered{Target: "a", Term: 5, IsPrimary: true}, nil, StepPromote},
	}
	for _, c := range cases {
		got := withoutWakes(c.before.Handle(c.event, at(300)))
		if !reflect.DeepEqual(got, c.want) || c.before.Step() != c.step {
			t.Errorf("%s: got %+v in step %s, want %+v in step %s", c.name, got, c.before.Step(), c.want, c.step)
		}
	}
}

func withReason(r api.TermRecord) api.TermRecord {
	r.Reason = "primary_lost"
	return r
}

func TestUnansweredPromoteIsRepeatedAtTheSameTarget(t *testing.T) {
	p := promoting()
	for _, milliseconds := range []int{300, 400, 500} {
		if got := withoutWakes(p.Handle(Tick{}, at(milliseconds))); !reflect.DeepEqual(got, []Order{Promote{"c", 5}}) {
			t.Errorf("at %d ms: got %+v, want the promotion of c repeated", milliseconds, got)
		}
	}
	want := abandonedFor(AbandonTimeout, StepPromote, 2)
	if got := withoutWakes(p.Handle(Tick{}, begin.Add(DefaultTimeout))); !reflect.DeepEqual(got, want) {
		t.Errorf("after the timeout: got %+v, want it abandoned", got)
	}
}

func TestChoiceOfTarget(t *testing.T) {
	cases := []struct {
		name  string
		avoid []string
		b, c  api.Position
		want  string
	}{
		{"higher offset", nil, pos(4, 10), pos(4, 11), "c"},
		{"log term before offset", nil, pos(4, 10), pos(3, 99), "b"},
		{"avoided among equals", []string{"b"}, pos(4, 10), pos(4, 10), "c"},
		{"avoided with the highest position", []string{"b"}, pos(4, 11), pos(4, 10), "b"},
	}
	for _, c := range cases {
		cfg := config
		cfg.Avoid = c.avoid
		p := newPromotion(cfg, termOpened[0], fenced("b", c.b), fenced("c", c.c))
		if p.Handle(Tick{}, at(200)); p.Primary() != c.want {
			t.Errorf("%s: got target %q chosen, want the target of the case", c.name, p.Primary())
		}
	}
}

// TestWakeIsEarlierOfRetryAndExpiry expects the next Tick to be asked for at the retry or at the expiry of the
// confirmations, whichever comes first.
func TestWakeIsEarlierOfRetryAndExpiry(t *testing.T) {
	p := newPromotion(config, majorityFenced[:2]...)
	got := p.Handle(majorityFenced[2], at(50))
	if want := []Order{WakeAt{At: at(100)}}; !reflect.DeepEqual(got, want) {
		t.Errorf("before the retry: got %+v, want a wake at the retry", got)
	}
	got = p.Handle(Tick{}, at(100))
	if last := got[len(got)-1]; last != (WakeAt{At: at(150)}) {
		t.Errorf("after the retry: got %+v, want a wake at the expiry", last)
	}
}

func BenchmarkPromotion(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		p := newPromotion(config, majorityFenced...)
		p.Handle(Tick{}, at(200))
		p.Handle(promoted, at(201))
	}
}
