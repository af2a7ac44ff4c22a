package promotion

import (
	"reflect"
	"testing"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/policy/confirm"
	"github.com/papayacove/papayacove/internal/policy/placement"
)

func TestSuspicion(t *testing.T) {
	answered := (*Suspicion).RecordAnswer
	missed := (*Suspicion).RecordMiss
	refused := (*Suspicion).RecordRefusal
	notPrimary := (*Suspicion).RecordNotPrimary
	type call = func(*Suspicion, time.Time) SuspicionDecision
	cases := []struct {
		name      string
		calls     []call
		suspected bool
		reason    SuspicionReason
	}{
		{"two missed", []call{missed, missed}, false, SuspicionFewMissed},
		{"three missed", []call{missed, missed, missed}, true, SuspicionManyMissed},
		{"an answer between", []call{missed, missed, answered, missed}, false, SuspicionFewMissed},
		{"refused once", []call{answered, refused}, false, SuspicionRefused},
		{"refused twice", []call{refused, refused}, true, SuspicionRefused},
		{"answers without the role", []call{answered, notPrimary}, true, SuspicionNotPrimary},
		{"answers again", []call{missed, missed, missed, answered}, false, SuspicionAnswered},
	}
	for _, c := range cases {
		var s Suspicion
		var d SuspicionDecision
		for i, next := range c.calls {
			d = next(&s, at(i))
		}
		if d.Suspected != c.suspected || d.Reason != c.reason {
			t.Errorf("%s: got %v, want the decision and reason of the case", c.name, d.Fields())
		}
	}
}

func TestDecidePrimaryLost(t *testing.T) {
	lost := DetectorReport{Answered: true, Term: 4}
	reached := DetectorReport{Answered: true, Reached: true, Term: 4}
	unanswered := DetectorReport{}
	cases := []struct {
		name    string
		reports []DetectorReport
		lost    bool
		reason  DetectorReason
	}{
		{"no detector answers", []DetectorReport{unanswered, unanswered}, false, DetectorTooFew},
		{"own report alone of two live detectors", []DetectorReport{lost, unanswered}, false, DetectorTooFew},
		{"own report alone of one live detector", []DetectorReport{lost}, true, DetectorMajorityLost},
		{"two of two", []DetectorReport{lost, lost}, true, DetectorMajorityLost},
		{"one of two reaches it", []DetectorReport{lost, reached}, false, DetectorPrimaryReached},
		{"two of three", []DetectorReport{lost, lost, reached}, true, DetectorMajorityLost},
		{"two of four", []DetectorReport{lost, lost, reached, reached}, false, DetectorPrimaryReached},
		{"a detector without an answer is left out", []DetectorReport{lost, lost, reached, unanswered}, true, DetectorMajorityLost},
		{"a later term is known", []DetectorReport{lost, lost, {Answered: true, Term: 5}}, false, DetectorLaterTerm},
	}
	for _, c := range cases {
		v := DecidePrimaryLost(c.reports, 4, DetectorQuorum(len(c.reports)))
		if v.Lost != c.lost || v.Reason != c.reason {
			t.Errorf("%s: got %v, want the verdict and reason of the case", c.name, v.Fields())
		}
	}
}

// state returns the state of a healthy group, as its controller knows it, after a change.
func state(change func(s *GroupState)) GroupState {
	s := GroupState{Group: "g", Term: 4, Primary: "a", TermAge: time.Hour, IsController: true, Members: 3, Reached: 2}
	change(&s)
	return s
}

func TestTrigger(t *testing.T) {
	lost := DetectorVerdict{Lost: true}
	leaving := LeavingState{PrimaryLeaving: true, Replacements: 1}
	stopped := LeavingState{PrimaryLeaving: true, Replacements: 1, AdmissionStopped: true}
	cases := []struct {
		name   string
		change func(s *GroupState)
		action Action
		reason TriggerReason
	}{
		{"healthy", func(*GroupState) {}, ActionNone, TriggerHealthy},
		{"not the controller", func(s *GroupState) { s.IsController, s.Detectors = false, lost }, ActionNone, TriggerNotController},
		{"lost", func(s *GroupState) { s.Detectors = lost }, ActionPromote, TriggerPrimaryLost},
		{"lost, no majority of targets", func(s *GroupState) { s.Detectors, s.Reached = lost, 1 }, ActionNone, TriggerNoMajorityReached},
		{"lost within the hold time", func(s *GroupState) { s.Detectors, s.TermAge = lost, 9*time.Second }, ActionNone, TriggerHold},
		{"certainly lost within the hold time", func(s *GroupState) { s.CertainlyLost, s.TermAge = true, time.Second }, ActionPromote, TriggerPrimaryLost},
		{"no record", func(s *GroupState) { s.Term, s.Primary = 0, "" }, ActionPromote, TriggerNoRecord},
		{"term open", func(s *GroupState) { s.Primary, s.TermAge = "", time.Second }, ActionNone, TriggerOpenTerm},
		{"open term abandoned", func(s *GroupState) { s.Primary = "" }, ActionPromote, TriggerOpenTermAbandoned},
		{"leaving", func(s *GroupState) { s.Leaving = leaving }, ActionStopAdmission, TriggerLeaving},
		{"leaving without replacement", func(s *GroupState) { s.Leaving.PrimaryLeaving = true }, ActionNone, TriggerNoReplacement},
		{"replacement lost", func(s *GroupState) { s.Leaving = stopped; s.Leaving.Replacements = 0 }, ActionResumeAdmission, TriggerNoReplacement},
		{"catching up", func(s *GroupState) { s.Leaving = stopped }, ActionNone, TriggerCatchUp},
		{"caught up", func(s *GroupState) { s.Leaving = stopped; s.Leaving.CaughtUp = true }, ActionPromote, TriggerCaughtUp},
		{"not caught up in time", func(s *GroupState) { s.Leaving = stopped; s.Leaving.StoppedFor = DefaultCatchUpTimeout }, ActionResumeAdmission, TriggerCatchUpTimeout},
		{"aborted a short time ago", func(s *GroupState) { s.Leaving = leaving; s.Leaving.SinceAborted = time.Second }, ActionNone, TriggerSwitchoverCooldown},
		{"aborted a long time ago", func(s *GroupState) { s.Leaving = leaving; s.Leaving.SinceAborted = time.Minute }, ActionStopAdmission, TriggerLeaving},
		{"no longer leaving", func(s *GroupState) { s.Leaving.AdmissionStopped = true }, ActionResumeAdmission, TriggerHealthy},
	}
	for _, c := range cases {
		d := Trigger{}.Decide(state(c.change))
		if d.Action != c.action || d.Reason != c.reason {
			t.Errorf("%s: got %v, want the action and reason of the case", c.name, d.Fields())
		}
	}
}

func TestControllerOf(t *testing.T) {
	daemons := []Controller{
		{placement.Member{Name: "entry-1"}, true},
		{placement.Member{Name: "entry-2"}, true},
		{placement.Member{Name: "entry-3"}, true},
	}
	first, ok := ControllerOf("g", daemons)
	if !ok {
		t.Fatal("got no controller, want one")
	}
	for i := range daemons {
		if daemons[i].Name == first {
			daemons[i].PlatformReached = false
		}
	}
	second, _ := ControllerOf("g", daemons)
	if second == first || second == "" {
		t.Errorf("after controller %q lost the platform: got %q, want another", first, second)
	}
	if _, ok := ControllerOf("g", nil); ok {
		t.Error("got a controller without daemons, want none")
	}
}

func TestRepair(t *testing.T) {
	record := api.TermRecord{Term: 4, Primary: "a"}
	states := []TargetState{
		{Target: "a", Term: 4, Role: confirm.RolePrimary},
		{Target: "follows", Term: 4, Role: confirm.RoleReplica, Follows: "a"},
		{Target: "behind", Term: 3, Role: confirm.RoleReplica, Follows: "a"},
		{Target: "fenced", Term: 4, Role: confirm.RoleReplica},
		{Target: "replaced", Term: 3, Role: confirm.RolePrimary},
		{Target: "ahead", Term: 5, Role: confirm.RoleReplica},
	}
	want := []Follow{{"behind", 4, "a"}, {"fenced", 4, "a"}, {"replaced", 4, "a"}}
	if got := Repair(record, states); !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want behind, fenced and replaced to follow a", got)
	}
	if got := Repair(api.TermRecord{Term: 5}, states); got != nil {
		t.Errorf("open term: got %+v, want none", got)
	}
}
