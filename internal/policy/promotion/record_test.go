package promotion

import (
	"testing"

	"github.com/papayacove/papayacove/api"
)

func TestDecideRecord(t *testing.T) {
	cases := []struct {
		name   string
		known  api.GroupTerm
		record api.TermRecord
		action RecordAction
		reason RecordReason
	}{
		{"no record", api.GroupTerm{}, api.TermRecord{}, RecordOpenNext, RecordAsKnown},
		{"as known", api.GroupTerm{Term: 4, Primary: "a"}, api.TermRecord{Term: 4, Primary: "a"}, RecordOpenNext, RecordAsKnown},
		{"later term", api.GroupTerm{Term: 4, Primary: "a"}, api.TermRecord{Term: 5}, RecordAdopt, RecordLaterTerm},
		{"primary recorded meanwhile", api.GroupTerm{Term: 4}, api.TermRecord{Term: 4, Primary: "a"}, RecordAdopt, RecordNewPrimary},
		{"primary announced and never recorded", api.GroupTerm{Term: 4, Primary: "a"}, api.TermRecord{Term: 4}, RecordOpenNext, RecordOpenTerm},
		{"earlier term", api.GroupTerm{Term: 4, Primary: "a"}, api.TermRecord{Term: 3, Primary: "b"}, RecordRefuse, RecordEarlierTerm},
		{"record gone", api.GroupTerm{Term: 4, Primary: "a"}, api.TermRecord{}, RecordRefuse, RecordEarlierTerm},
	}
	for _, c := range cases {
		if d := DecideRecord(c.known, c.record); d.Action != c.action || d.Reason != c.reason {
			t.Errorf("%s: got %v, want the action and reason of the case", c.name, d.Fields())
		}
	}
}

func TestCompleteRecord(t *testing.T) {
	known := api.GroupTerm{Term: 5, Primary: "c", Start: pos(5, 13)}
	order, ok := CompleteRecord(known, ownRecord(""), 8)
	if !ok || order.Version != 8 || order.Record != withPrimary(ownRecord(""), "c", pos(5, 13)) {
		t.Errorf("open record: got %+v %t, want the record with primary c and start 5/13, at version 8", order, ok)
	}
	for name, record := range map[string]api.TermRecord{"recorded": ownRecord("c"), "other term": oldRecord} {
		if _, ok := CompleteRecord(known, record, 8); ok {
			t.Errorf("%s: got an update, want none", name)
		}
	}
	p := promoting()
	p.Handle(promoted, at(210))
	p.Handle(RecordConflict{}, at(220))
	p.Handle(RecordRead{Record: order.Record, Version: 9}, at(230))
	p.Handle(FollowAnswered{Target: "b", Term: 5, IsFollowing: true}, at(240))
	if p.Step() != StepFinished {
		t.Errorf("promoter whose record was completed: got step %s, want finished", p.Step())
	}
}
