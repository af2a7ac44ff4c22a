package lines

import (
	"strings"
	"testing"
	"time"
)

// run is one run of a statement at a target with what its caller sent.
type run struct {
	execution Execution
	sent      sent
}

// recordsOf returns records of runs, in the order given, with routes of "strict" to "group" and of "aged" and "session" to it.
// Term 2 begins 10 s after the start.
func recordsOf(start time.Time, runs ...run) Records {
	r := Records{
		sent: map[string]sent{}, termStarts: map[string]map[uint64]Position{"group": {2: {1, 5}}},
		promotedAt: map[string]map[uint64]time.Time{"group": {2: start.Add(10 * time.Second)}},
	}
	r.routes = []routeVersion{{start, []Route{
		{"strict", RoutePrimary, "group"}, {"aged", RouteBoundedStaleness, "group"}, {"session", RouteReadYourWrites, "group"},
	}}}
	for i, one := range runs {
		one.execution.ArrivedAt = start.Add(time.Duration(i+1) * time.Second)
		if one.execution.Group == "" {
			one.execution.Group = "group"
		}
		r.executions = append(r.executions, one.execution)
		r.sent[one.execution.ID] = one.sent
	}
	return r
}

// inTransaction is a statement of a caller's transaction that ran on a connection, in a transaction of the target.
func inTransaction(id string, transaction, connection, atTarget uint64) run {
	return run{Execution{ID: id, Connection: connection, Transaction: atTarget}, sent{session: 1, transaction: transaction, database: "strict", text: "READ x"}}
}

// of returns the run as one of another session.
func (r run) of(session uint64) run { r.sent.session = session; return r }

func checkBreaches(t *testing.T, name string, got []string, want string) {
	t.Helper()
	if want == "" && len(got) > 0 || want != "" && (len(got) != 1 || !strings.Contains(got[0], want)) {
		t.Errorf("%s: got breaches %q, want one with %q", name, got, want)
	}
}

func TestPinnedFindsEachBreach(t *testing.T) {
	begin := inTransaction("a", 10, 1, 100)
	withState := func(settings, acknowledged map[string]string, shape, prepared string) run {
		return run{Execution{ID: "a", Settings: settings, Shape: shape}, sent{settings: acknowledged, shape: prepared}}
	}
	one, two := map[string]string{"zone": "1"}, map[string]string{"zone": "2"}
	cases := []struct {
		name   string
		runs   []run
		breach string
	}{
		{"its own transaction", []run{begin, inTransaction("b", 10, 1, 100)}, ""},
		{"two transactions after each other", []run{begin, inTransaction("b", 11, 1, 101)}, ""},
		{"first statement anew", []run{begin, inTransaction("a", 10, 2, 101), inTransaction("b", 10, 2, 101)}, ""},
		{"transaction of another caller", []run{begin, inTransaction("b", 11, 1, 100).of(2)}, "inside the transaction that began"},
		{"single statement in a transaction", []run{begin, inTransaction("b", 0, 1, 100).of(2)}, "inside the transaction that began"},
		{"single statement alone in a transaction", []run{inTransaction("b", 0, 1, 100)}, "though its caller has none"},
		{"outside its transaction", []run{begin, inTransaction("b", 10, 1, 0)}, "outside its transaction"},
		{"another connection", []run{begin, inTransaction("b", 10, 2, 101)}, "on another connection"},
		{"first statement anew after the second", []run{begin, inTransaction("b", 10, 1, 100), inTransaction("a", 10, 2, 101)}, "on another connection"},
		{"acknowledged values", []run{withState(one, one, "READ q", "READ q")}, ""},
		{"other values", []run{withState(one, two, "", "")}, "session values differ"},
		{"missing values", []run{withState(nil, two, "", "")}, "session values differ"},
		{"values of another session", []run{withState(one, nil, "", "")}, "session values differ"},
		{"another shape", []run{withState(nil, nil, "READ q", "READ p")}, "prepared shape differs"},
	}
	for _, c := range cases {
		checkBreaches(t, c.name, recordsOf(time.Now(), c.runs...).Pinned(), c.breach)
	}
	own := recordsOf(time.Now(), begin)
	own.executions = append(own.executions, Execution{ID: "-", Connection: 1, Transaction: 100, ArrivedAt: time.Now()})
	checkBreaches(t, "statement of a daemon", own.Pinned(), "")
}

func TestRouteFindsForeignGroups(t *testing.T) {
	at := func(group, database string) run {
		return run{Execution{ID: "a", Group: group}, sent{database: database}}
	}
	start := time.Now()
	checkBreaches(t, "own group", recordsOf(start, at("group", "strict")).Route(), "")
	checkBreaches(t, "another group", recordsOf(start, at("group-2", "strict")).Route(), "no configuration allows")
	checkBreaches(t, "unknown database", recordsOf(start, at("group", "nobody")).Route(), "no configuration allows")
	for sentAfter, want := range map[time.Duration]string{500 * time.Millisecond: "", 1500 * time.Millisecond: "no configuration allows"} {
		r := recordsOf(start, at("group-2", "strict"))
		r.routes = append(r.routes, routeVersion{start.Add(sentAfter), []Route{{"strict", RoutePrimary, "group-2"}}})
		checkBreaches(t, "route sent after "+sentAfter.String(), r.Route(), want)
	}
}

func TestStaleFindsLogsThatLackCommits(t *testing.T) {
	start := time.Now()
	// The read runs 5 s after the commits, on a log of term 1 that ends with number 4 or 5; term 2 began after number
	// 5.
	read := func(database string, position Position, sentAfter, begunAfter time.Duration) run {
		s := sent{database: database, text: "READ x", signature: "a.r.1", at: start.Add(sentAfter), session: 1}
		if begunAfter > 0 {
			s.transaction, s.transactionAt = 10, start.Add(begunAfter)
		}
		e := Execution{ID: "r", Signature: "a.r.1", Position: position, RanAt: start.Add(25 * time.Second), Transaction: s.transaction}
		return run{e, s}
	}
	lacking, having := Position{1, 4}, Position{1, 5}
	commit := func(position Position, session uint64) func(*Records) {
		return func(r *Records) {
			r.commits = append(r.commits, Commit{ID: "c", Group: "group", Target: "a", Position: position, AcknowledgedAt: start.Add(20 * time.Second)})
			r.sent["c"] = sent{session: session, succeededAt: start.Add(20 * time.Second), text: "WRITE x 1"}
		}
	}
	cases := []struct {
		name   string
		read   run
		commit func(*Records)
		breach string
	}{
		{"primary, log has it", read("strict", having, 21*time.Second, 0), commit(Position{1, 5}, 2), ""},
		{"primary, later term", read("strict", Position{2, 6}, 21*time.Second, 0), commit(Position{1, 5}, 2), ""},
		{"primary, log lacks it", read("strict", lacking, 21*time.Second, 0), commit(Position{1, 5}, 2), "lacks 1.5"},
		{"primary, log of the term before", read("strict", having, 21*time.Second, 0), commit(Position{2, 6}, 2), "lacks 2.6"},
		{"primary, longer log of the term before", read("strict", Position{1, 9}, 21*time.Second, 0), commit(Position{2, 6}, 2), "lacks 2.6"},
		{"primary, sent before the acknowledgement", read("strict", lacking, 19*time.Second, 0), commit(Position{1, 5}, 2), ""},
		{"primary, transaction begun before it", read("strict", lacking, 21*time.Second, 19*time.Second), commit(Position{1, 5}, 2), ""},
		{"primary, transaction begun after it", read("strict", lacking, 22*time.Second, 21*time.Second), commit(Position{1, 5}, 2), "lacks 1.5"},
		{"primary, rolled back", read("strict", having, 21*time.Second, 0), commit(Position{1, 6}, 2), ""},
		{"aged, within the bound", read("aged", lacking, 21*time.Second, 0), commit(Position{1, 5}, 1), ""},
		{"aged, after it", read("aged", lacking, 22*time.Second, 0), commit(Position{1, 5}, 1), "lacks 1.5"},
		{"session, of another within the bound", read("session", lacking, 21*time.Second, 0), commit(Position{1, 5}, 2), ""},
		{"session, of another after it", read("session", lacking, 22*time.Second, 0), commit(Position{1, 5}, 2), "lacks 1.5"},
		{"session, its own", read("session", lacking, 21*time.Second, 0), commit(Position{1, 5}, 1), "lacks 1.5"},
	}
	for _, c := range cases {
		r := recordsOf(start, c.read)
		c.commit(&r)
		found := r.Stale(1500 * time.Millisecond)
		checkBreaches(t, c.name, found.Breaches, c.breach)
		checkBreaches(t, c.name+", told", found.Told, c.breach)
		checkBreaches(t, c.name+", dropped", found.Dropped, "")
		unanswered := r.sent["r"]
		unanswered.signature = "that of a later run"
		r.sent["r"] = unanswered
		found = r.Stale(1500 * time.Millisecond)
		checkBreaches(t, c.name+", answer dropped", found.Breaches, "")
		checkBreaches(t, c.name+", answer dropped", found.Dropped, c.breach)
	}
	earlier := recordsOf(start, read("strict", lacking, 21*time.Second, 0))
	commit(Position{1, 5}, 2)(&earlier)
	commit(Position{1, 3}, 2)(&earlier)
	checkBreaches(t, "newer commit acknowledged at the same time as an older one", earlier.Stale(0).Breaches, "lacks 1.5")
}
