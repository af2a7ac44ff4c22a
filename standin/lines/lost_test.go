package lines

import (
	"fmt"
	"testing"
	"time"
)

// lostCase is one request of a daemon, which was sent SIGTERM at time 0 unless other planned work is given. Times are
// in milliseconds.
type lostCase struct {
	name string
	// sent and ended are when the last byte was sent and the connection ended.
	sent, ended int
	// attempts are the times at which targets received and ended the request; 0 for one that is still at work.
	attempts [][2]int
	brokeOff bool
	// disruptions are the begin and end of disruptions.
	disruptions [][2]int
	timeout     int
	events      []daemonEvent
	// configured is the time of a configuration in place of SIGTERM, acknowledged that of its acknowledgement.
	configured, acknowledged int
	// others and cutOthers are the numbers of requests at other times than beside the configuration, and of those that
	// were cut.
	others, cutOthers int
	want              bool
}

const testDaemon = "127.0.0.1"

var testLostBounds = LostBounds{Grace: 6 * time.Second, Contact: 4 * time.Second, Slack: 200 * time.Millisecond, ConfigApply: 3 * time.Second}

// testEpoch is time 0 of the cases.
var testEpoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func atMs(ms int) time.Time { return testEpoch.Add(time.Duration(ms) * time.Millisecond) }

func testEvent(kind string, ms int) daemonEvent { return daemonEvent{testDaemon, kind, atMs(ms)} }

// build returns the records and the planned work of a case.
func (c lostCase) build() (Records, PlannedWork) {
	r := Records{sent: map[string]sent{"a": {daemon: testDaemon, at: atMs(c.sent), lastByteAt: atMs(c.sent), endedAt: atMs(c.ended), code: "none"}}}
	for _, a := range c.attempts {
		attempt := Attempt{ID: "a", Target: "t", ArrivedAt: atMs(a[0]), BrokeOff: c.brokeOff}
		if a[1] != 0 {
			attempt.EndedAt = atMs(a[1])
		}
		r.attempts = append(r.attempts, attempt)
	}
	for i := range c.others {
		id, s := fmt.Sprintf("other-%d", i), sent{daemon: testDaemon, lastByteAt: atMs(-60_000), answeredAt: atMs(-59_500)}
		if i < c.cutOthers {
			s.answeredAt, s.endedAt = time.Time{}, atMs(-59_500)
		}
		r.sent[id] = s
	}
	work := PlannedWork{events: c.events}
	if c.timeout > 0 {
		work.configurations = append(work.configurations, configurationVersion{atMs(-90_000), atMs(-90_000), time.Duration(c.timeout) * time.Millisecond})
	}
	switch {
	case c.acknowledged > 0:
		work.configurations = append(work.configurations, configurationVersion{atMs(c.configured), atMs(c.acknowledged), 0})
	case c.events == nil:
		work.events = []daemonEvent{testEvent(eventTerminate, 0)}
	}
	for _, d := range c.disruptions {
		work.disruptions = append(work.disruptions, disruption{"cut", atMs(d[0]), atMs(d[1])})
	}
	return r, work
}

func TestUnansweredFindsEachBreach(t *testing.T) {
	ran := func(from, to int) [][2]int { return [][2]int{{from, to}} }
	hangup := []daemonEvent{testEvent(eventHangup, 0)}
	cases := []lostCase{
		{name: "a target received it", sent: 5000, ended: 5010, attempts: ran(5001, 5009), want: true},
		{name: "sent before SIGTERM", sent: -100, ended: 50, attempts: ran(-90, 40), want: true},
		{name: "ended before SIGTERM", sent: -100, ended: -50, attempts: ran(-90, -60)},
		{name: "at no target, within the slack", sent: 5000, ended: 5200},
		{name: "at no target, later than the slack", sent: 5000, ended: 5201, want: true},
		{name: "until 1 s after the grace period", sent: 6900, ended: 7000, attempts: ran(6910, 6950), want: true},
		{name: "later than 1 s after the grace period", sent: 6900, ended: 7001, attempts: ran(6910, 6950)},
		{name: "another daemon's SIGTERM", sent: 5000, ended: 5010, attempts: ran(5001, 5009), events: []daemonEvent{{"127.0.0.2", eventTerminate, atMs(0)}}},
		{name: "second SIGTERM to the same process", sent: 7400, ended: 7500, attempts: ran(7410, 7450), events: []daemonEvent{testEvent(eventTerminate, 0), testEvent(eventTerminate, 1000)}},
		{name: "SIGTERM to the next process", sent: 7400, ended: 7500, attempts: ran(7410, 7450),
			events: []daemonEvent{testEvent(eventTerminate, 0), testEvent(eventEnd, 800), testEvent(eventStart, 900), testEvent(eventTerminate, 1000)}, want: true},
		{name: "the target broke off", sent: 5000, ended: 5010, attempts: ran(5001, 5009), brokeOff: true},
		{name: "the time limit was reached", sent: 1000, ended: 2000, attempts: ran(1001, 1990), timeout: 1000},
		{name: "just before the time limit", sent: 1000, ended: 1999, attempts: ran(1001, 1990), timeout: 1000, want: true},
		{name: "the target worked in the last sixth", sent: 3000, ended: 5010, attempts: ran(3001, 5001)},
		{name: "the target still works at the end", sent: 3000, ended: 5510, attempts: ran(3001, 0)},
		{name: "the target had ended before the last sixth", sent: 3000, ended: 5010, attempts: ran(3001, 5000), want: true},
		{name: "sent later than 3 s after SIGTERM", sent: 3001, ended: 5510, attempts: ran(3002, 0), want: true},
		{name: "disrupted", sent: 5000, ended: 5010, attempts: ran(5001, 5009), disruptions: [][2]int{{5002, 5003}}},
		{name: "disrupted 4 s before", sent: 5000, ended: 5010, attempts: ran(5001, 5009), disruptions: [][2]int{{0, 1001}}},
		{name: "disrupted earlier", sent: 5000, ended: 5010, attempts: ran(5001, 5009), disruptions: [][2]int{{0, 1000}}, want: true},
		{name: "disrupted later", sent: 5000, ended: 5010, attempts: ran(5001, 5009), disruptions: [][2]int{{5010, 6000}}, want: true},
		{name: "after SIGHUP", sent: 3000, ended: 3100, attempts: ran(3001, 3050), events: hangup, want: true},
		{name: "sent before SIGHUP, cut after it", sent: -50, ended: 10, attempts: ran(-40, 5), events: hangup, want: true},
		{name: "cut before SIGHUP", sent: -50, ended: -10, attempts: ran(-40, -15), events: hangup},
		{name: "sent later than ConfigApplyMs after SIGHUP", sent: 3001, ended: 3100, attempts: ran(3002, 3050), events: hangup},
		{name: "beside a configuration", sent: 100, ended: 200, attempts: ran(110, 150), acknowledged: 50, want: true},
		{name: "until ConfigApplyMs + 1 s after its acknowledgement", sent: 4000, ended: 4050, attempts: ran(4010, 4040), acknowledged: 50, want: true},
		{name: "later than that", sent: 4000, ended: 4051, attempts: ran(4010, 4040), acknowledged: 50},
		{name: "before it was sent", sent: 0, ended: 99, attempts: ran(10, 90), configured: 100, acknowledged: 150},
		{name: "a third as often at other times", sent: 100, ended: 200, attempts: ran(110, 150), acknowledged: 50, others: 3, cutOthers: 1},
		{name: "less often at other times", sent: 100, ended: 200, attempts: ran(110, 150), acknowledged: 50, others: 4, cutOthers: 1, want: true},
		{name: "it had used seven tenths of its time", sent: 100, ended: 800, attempts: ran(110, 750), acknowledged: 50, timeout: 1000},
		{name: "it had used less", sent: 100, ended: 799, attempts: ran(110, 750), acknowledged: 50, timeout: 1000, want: true},
	}
	for _, c := range cases {
		r, work := c.build()
		breaches, _ := r.Unanswered(work, testLostBounds)
		if got := len(breaches) > 0; got != c.want || len(breaches) > 1 {
			t.Errorf("%s: got breaches %q, want %t", c.name, breaches, c.want)
		}
	}
}

func TestUnansweredCountsOnlyIncompleteAnswers(t *testing.T) {
	c := lostCase{sent: 5000, ended: 5010, attempts: [][2]int{{5001, 5009}}}
	for name, change := range map[string]func(*sent){
		"answered":              func(s *sent) { s.endedAt, s.answeredAt = time.Time{}, atMs(5010) },
		"the caller gave up":    func(s *sent) { s.endedAt = time.Time{} },
		"not sent to its end":   func(s *sent) { s.lastByteAt = time.Time{} },
		"the daemon's neighbor": func(s *sent) { s.daemon = "127.0.0.2" },
	} {
		r, work := c.build()
		s := r.sent["a"]
		change(&s)
		r.sent["a"] = s
		if breaches, _ := r.Unanswered(work, testLostBounds); len(breaches) > 0 {
			t.Errorf("%s: got breaches %q, want none", name, breaches)
		}
	}
}

func TestEndedEarlyFindsEachBreach(t *testing.T) {
	const other = "127.0.0.2"
	refused := func(code, answer string, at int) sent {
		return sent{
			daemon: testDaemon, transaction: 1, transactionAt: atMs(-500), at: atMs(at - 10), lastByteAt: atMs(at - 10), answeredAt: atMs(at), code: code, answer: answer,
		}
	}
	begun := func(s sent, at int) sent { s.transactionAt = atMs(at); return s }
	cut := refused("none", "", 1000)
	cut.endedAt, cut.answeredAt = cut.answeredAt, time.Time{}
	single := refused("BUSY", "", 1000)
	single.transaction = 0
	terminate := testEvent(eventTerminate, 0)
	cases := []struct {
		name    string
		sent    sent
		work    PlannedWork
		attempt Attempt
		want    string
	}{
		{"refused", refused("BUSY", "papayacove 2005 not_run_draining: x", 2999), PlannedWork{}, Attempt{}, "2.999s"},
		{"aborted", refused("ABORTED", "papayacove 3002 transaction_lost: x", 1000), PlannedWork{}, Attempt{}, "1s"},
		{"cut", cut, PlannedWork{}, Attempt{}, "1s"},
		{"answered", refused("", "", 1000), PlannedWork{}, Attempt{}, ""},
		{"refused by load", refused("BUSY", "papayacove 2001 not_run_overloaded: x", 1000), PlannedWork{}, Attempt{}, ""},
		{"rolled back after a refusal by load", refused("ABORTED",
			"papayacove 3002 transaction_lost: rolled back: not_run_deadline (2006): no slot came free", 1000), PlannedWork{}, Attempt{}, ""},
		{"rolled back after a refusal by the stop", refused("ABORTED",
			"papayacove 3002 transaction_lost: rolled back: not_run_draining (2005): x", 1000), PlannedWork{}, Attempt{}, "1s"},
		{"refused in the second half", refused("BUSY", "", 3000), PlannedWork{}, Attempt{}, ""},
		{"outside of transactions", single, PlannedWork{}, Attempt{}, ""},
		{"begun while sessions go on", begun(refused("ABORTED", "", 2900), 2199), PlannedWork{}, Attempt{}, "2.9s"},
		{"begun while sessions are closed", begun(refused("ABORTED", "", 2900), 2200), PlannedWork{}, Attempt{}, ""},
		{"disrupted", refused("ABORTED", "", 1000), PlannedWork{disruptions: []disruption{{"cut", atMs(0), atMs(10)}}}, Attempt{}, ""},
		{"target replaced", refused("ABORTED", "", 1000), PlannedWork{replacements: []disruption{{"t", atMs(0), atMs(10)}}}, Attempt{}, ""},
		{"error of the target", refused("ABORTED", "", 1000), PlannedWork{}, Attempt{Code: "READONLY"}, ""},
		{"the target broke off", refused("ABORTED", "", 1000), PlannedWork{}, Attempt{BrokeOff: true}, ""},
		{"holder stops for longer", refused("ABORTED", "", 1000), PlannedWork{events: []daemonEvent{{other, eventTerminate, atMs(-2000)}}}, Attempt{Source: other}, ""},
		{"holder stops for less", refused("ABORTED", "", 1000), PlannedWork{events: []daemonEvent{{other, eventTerminate, atMs(-1999)}}}, Attempt{Source: other}, "1s"},
		{"another daemon stops for longer", refused("ABORTED", "", 1000), PlannedWork{events: []daemonEvent{{other, eventTerminate, atMs(-2000)}}}, Attempt{Source: "127.0.0.3"}, "1s"},
	}
	for _, c := range cases {
		c.work.events = append(c.work.events, terminate)
		r := Records{sent: map[string]sent{"a": c.sent}}
		if c.attempt != (Attempt{}) {
			c.attempt.ID = "a"
			r.attempts = append(r.attempts, c.attempt)
		}
		checkBreaches(t, c.name, r.EndedEarly(c.work, testLostBounds), c.want)
	}
}

func TestRecordsTellWhoEndedARequest(t *testing.T) {
	store, err := NewStore()
	if err != nil {
		t.Fatal(err)
	}
	defer store.Close()
	g, err := NewGroup(store, "group", "a", "b")
	if err != nil {
		t.Fatal(err)
	}
	target, log := g.Target("a"), NewCallerLog()
	defer func() { target.Crash(); g.Target("b").Crash() }()
	run := func(during func()) (sent, Attempt) {
		caller, err := DialWithKey(target.Address(), "group", "user", log)
		if err != nil {
			t.Fatal(err)
		}
		before := len(g.attemptsOf())
		done := make(chan struct{})
		go func() { defer close(done); _, _ = caller.Run("READ " + SlowItem) }()
		for len(g.attemptsOf()) == before {
			time.Sleep(time.Millisecond)
		}
		during()
		<-done
		_ = caller.conn.Close()
		for g.attemptsOf()[before].EndedAt.IsZero() {
			time.Sleep(time.Millisecond)
		}
		a := g.attemptsOf()[before]
		log.mu.Lock()
		defer log.mu.Unlock()
		return log.sent[a.ID], a
	}
	if s, a := run(func() {}); s.answeredAt.IsZero() || !s.endedAt.IsZero() || s.lastByteAt.IsZero() || a.BrokeOff {
		t.Errorf("answered: got %+v, %+v", s, a)
	}
	if s, a := run(target.Crash); !s.answeredAt.IsZero() || s.endedAt.IsZero() || !a.BrokeOff {
		t.Errorf("the target crashed: got %+v, %+v, want an end without an answer and a target that broke off", s, a)
	}
}

// TestBrokenOffAttemptIsNoExcuseForALaterOne guards against a check that passes over a request whose last attempt was
// answered whole by its target.
func TestBrokenOffAttemptIsNoExcuseForALaterOne(t *testing.T) {
	first, last := Attempt{ArrivedAt: atMs(1), BrokeOff: true}, Attempt{ArrivedAt: atMs(2)}
	for _, c := range []struct {
		attempts []Attempt
		want     bool
	}{{nil, false}, {[]Attempt{first}, true}, {[]Attempt{last, first}, false}, {[]Attempt{{ArrivedAt: atMs(0)}, first}, true}} {
		if got := endsBrokenOff(c.attempts); got != c.want {
			t.Errorf("attempts %+v: got broken off %t, want %t", c.attempts, got, c.want)
		}
	}
}
