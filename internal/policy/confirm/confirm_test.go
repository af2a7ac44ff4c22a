package confirm

import (
	"testing"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/result"
)

var start = time.Unix(1_000_000, 0)

// at returns the time that is the given number of milliseconds after start.
func at(milliseconds int) time.Time {
	return start.Add(time.Duration(milliseconds) * time.Millisecond)
}

func pos(term, offset uint64) api.Position {
	return api.Position{Term: term, Offset: offset}
}

func status(target string, askedAt int, term uint64, role Role, received api.Position) Status {
	return Status{Target: target, AskedAt: at(askedAt), Term: term, Role: role, Received: received}
}

// TestDecide decides at 100 ms on the commit 3/10, whose reply arrived at 10 ms.
func TestDecide(t *testing.T) {
	primary := status("p", 50, 3, RolePrimary, pos(3, 10))
	holding := status("a", 50, 3, RoleReplica, pos(3, 10))
	cases := []struct {
		name     string
		members  int
		primary  Status
		replicas []Status
		want     Outcome
		reason   Reason
	}{
		{"replica holds", 3, primary, []Status{holding}, Confirmed, ReasonMajorityHolds},
		{"no answers", 3, Status{}, nil, Wait, ReasonPrimaryUnseen},
		{"primary alone", 3, primary, nil, Wait, ReasonTooFewReplicas},
		{"one of one", 1, primary, nil, Confirmed, ReasonMajorityHolds},
		{"one replica of five", 5, primary, []Status{holding}, Wait, ReasonTooFewReplicas},
		{"one replica of five reported twice", 5, primary, []Status{holding, holding}, Wait, ReasonTooFewReplicas},
		{"primary reported as replica", 3, primary, []Status{status("p", 50, 3, RolePrimary, pos(3, 10))}, Wait, ReasonTooFewReplicas},
		{"replica behind", 3, primary, []Status{status("a", 50, 3, RoleReplica, pos(3, 9))}, FenceOnly, ReasonMajorityFollows},
		{"divergent record at the offset", 3, primary, []Status{status("a", 50, 3, RoleReplica, pos(2, 12))}, FenceOnly, ReasonMajorityFollows},
		{"replica of an earlier term", 3, primary, []Status{status("a", 50, 2, RoleReplica, pos(2, 12))}, Wait, ReasonTooFewReplicas},
		{"fence check before the commit", 3, status("p", 10, 3, RolePrimary, pos(3, 10)), []Status{status("a", 50, 3, RoleReplica, pos(3, 9))}, Wait, ReasonTooFewReplicas},
		{"replica answer expired", 3, primary, []Status{status("a", 0, 3, RoleReplica, pos(3, 10))}, Wait, ReasonTooFewReplicas},
		{"primary answer expired", 3, status("p", 0, 3, RolePrimary, pos(3, 10)), []Status{holding}, Wait, ReasonPrimaryUnseen},
		{"primary replaced", 3, status("p", 50, 4, RoleReplica, pos(3, 10)), []Status{holding}, Refused, ReasonPrimaryReplaced},
		{"primary replaced, expired answer", 3, status("p", 0, 4, RoleReplica, pos(3, 10)), []Status{holding}, Refused, ReasonPrimaryReplaced},
		{"primary lost its role", 3, status("p", 50, 3, RoleReplica, pos(3, 10)), []Status{holding}, Refused, ReasonPrimaryDemoted},
		{"majority replaced", 3, primary, []Status{status("a", 50, 4, RoleReplica, pos(3, 10)), status("b", 50, 4, RoleReplica, pos(3, 9))}, Refused, ReasonMajorityReplaced},
		{"one fenced, another holds", 3, primary, []Status{holding, status("b", 50, 4, RoleReplica, pos(3, 9))}, Confirmed, ReasonMajorityHolds},
	}
	for _, c := range cases {
		evidence := Evidence{CommittedAt: at(10), Primary: c.primary, Replicas: c.replicas}
		d := Decide(pos(3, 10), evidence, at(100), c.members, Validity)
		if d.Outcome != c.want || d.Reason != c.reason {
			t.Errorf("%s: got %v, want the outcome and reason of the case", c.name, d.Fields())
		}
	}
}

// trackerAt returns a Tracker of the primary p in term 3, with answers of p and the replica a.
func trackerAt(askedAt int, received uint64) *Tracker {
	t := NewTracker("p", 3, 3, Validity)
	t.Observe(status("p", askedAt, 3, RolePrimary, pos(3, received)))
	t.Observe(status("a", askedAt, 3, RoleReplica, pos(3, received)))
	return t
}

func TestTrackerConfirmsEarlierPositionsAtOnce(t *testing.T) {
	tracker := trackerAt(0, 10)
	if d := tracker.Decide(pos(3, 10), at(0), at(20)); d.Outcome != Confirmed || !d.ValidUntil.Equal(at(100)) {
		t.Fatalf("first decision: got %v, want confirmed until 100 ms", d.Fields())
	}
	tracker.Observe(status("a", 30, 3, RoleReplica, pos(2, 1)))
	if d := tracker.Decide(pos(3, 9), at(0), at(99)); d.Outcome != Confirmed {
		t.Errorf("earlier position within the validity: got %v, want confirmed", d.Fields())
	}
	if d := tracker.Decide(pos(3, 11), at(0), at(99)); d.Outcome == Confirmed {
		t.Errorf("later position: got %v, want not confirmed", d.Fields())
	}
	if d := tracker.Decide(pos(3, 9), at(0), at(100)); d.Outcome == Confirmed {
		t.Errorf("after the validity: got %v, want not confirmed", d.Fields())
	}
	if got := tracker.Confirmed(); got != pos(3, 10) {
		t.Errorf("highest confirmed position: got %s, want 3/10", got)
	}
}

func TestTrackerDropsAnswersAskedEarlier(t *testing.T) {
	tracker := trackerAt(50, 10)
	tracker.Observe(status("p", 40, 4, RoleReplica, pos(3, 10)))
	tracker.Observe(status("a", 40, 4, RoleReplica, pos(3, 10)))
	if d := tracker.Decide(pos(3, 10), at(0), at(60)); d.Outcome != Confirmed {
		t.Errorf("got %v, want confirmed by the answers asked for later", d.Fields())
	}
}

func TestMinPosition(t *testing.T) {
	if d := trackerAt(20, 10).MinPosition(at(20), at(30)); d.Outcome != Wait {
		t.Errorf("answers asked for at the request: got %v, want wait", d.Fields())
	}
	if d := trackerAt(21, 10).MinPosition(at(20), at(30)); d.Outcome != Confirmed || d.Commit != pos(3, 10) {
		t.Errorf("answers asked for after the request: got %v, want confirmed at 3/10", d.Fields())
	}
	empty := NewTracker("p", 3, 3, Validity)
	empty.Observe(status("p", 21, 3, RolePrimary, pos(2, 8)))
	empty.Observe(status("a", 21, 3, RoleReplica, pos(2, 7)))
	if d := empty.MinPosition(at(20), at(30)); d.Outcome != FenceOnly || d.Commit != pos(2, 8) {
		t.Errorf("no record of the term yet: got %v, want fence_only at 2/8", d.Fields())
	}
}

func TestAdmit(t *testing.T) {
	alone := NewTracker("p", 3, 3, Validity)
	alone.Observe(status("p", 0, 3, RolePrimary, pos(3, 10)))
	replaced := trackerAt(0, 10)
	replaced.Observe(status("p", 1, 4, RoleReplica, pos(3, 10)))
	cases := []struct {
		name    string
		tracker *Tracker
		now     int
		want    result.Code
	}{
		{"majority observed", trackerAt(0, 10), 999, result.OK},
		{"majority observed too long ago", trackerAt(0, 10), 1000, result.NotRunNoMajority},
		{"primary alone", alone, 10, result.NotRunNoMajority},
		{"primary replaced", replaced, 10, result.NotRunTermChanged},
	}
	for _, c := range cases {
		a := c.tracker.Admit(at(c.now))
		if a.Code != c.want || a.Allowed != (c.want == result.OK) || a.Allowed == (a.RetryAfter > 0) {
			t.Errorf("%s: got %v, want the code of the case, with a retry-after exactly on a refusal", c.name, a.Fields())
		}
	}
}

func TestHasMajority(t *testing.T) {
	tracker := trackerAt(0, 10)
	if !tracker.HasMajority(at(99)) || tracker.HasMajority(at(100)) {
		t.Error("got a majority after the validity or none within it")
	}
}

func BenchmarkDecide(b *testing.B) {
	evidence := Evidence{
		Primary:  status("p", 50, 3, RolePrimary, pos(3, 10)),
		Replicas: []Status{status("a", 50, 3, RoleReplica, pos(3, 10)), status("b", 50, 3, RoleReplica, pos(3, 10))},
	}
	b.ReportAllocs()
	for b.Loop() {
		Decide(pos(3, 10), evidence, at(100), 3, Validity)
	}
}

func BenchmarkTrackerAdmit(b *testing.B) {
	tracker := trackerAt(0, 10)
	b.ReportAllocs()
	for b.Loop() {
		tracker.Admit(at(10))
	}
}
