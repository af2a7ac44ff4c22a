package engine

import (
	"testing"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/policy/callers"
	"github.com/papayacove/papayacove/internal/result"
)

// countingQuota counts what is spent and returned, and refuses when it has nothing left.
type countingQuota struct {
	left, spent, returned int
}

func (q *countingQuota) Spend(string, time.Time) (time.Duration, error) {
	if q.left == 0 {
		return 0, result.Errorf(result.NotRunOverQuota, "used up").WithRetryAfter(time.Second)
	}
	q.left--
	q.spent++
	return 0, nil
}

func (q *countingQuota) Return(string, time.Duration) { q.returned++ }

// limitedDirectory has a workspace with a limit and one without.
func limitedDirectory() *callers.Directory {
	return callers.NewDirectory([]callers.Workspace{
		{Name: "acme", Keys: []string{"key-a"}, Limit: callers.Limit{RatePerS: 10}},
		{Name: "bolt", Keys: []string{"key-b"}},
	})
}

// TestOperationsAreCountedOnce serves operations of a limited workspace. Each takes one right, whatever its statements and
// attempts, and gives it back only when no target may have run it.
func TestOperationsAreCountedOnce(t *testing.T) {
	read, write := Statement{ID: "1", Op: OpRead, Text: "r"}, Statement{ID: "1", Op: OpWrite, Text: "w"}
	begin, end := Statement{ID: "0", Op: OpBegin}, Statement{ID: "9", Op: OpCommit, Text: "COMMIT"}
	failure := func(kind FailureKind) func(Command) (Reply, error) {
		return func(Command) (Reply, error) { return Reply{Failure: &TargetFailure{Kind: kind}}, nil }
	}
	lost := func(Command) (Reply, error) { return Reply{}, errLost }
	for name, c := range map[string]struct {
		statements      []Statement
		answer          func(Command) (Reply, error)
		dialErr         error
		key             string
		spent, returned int
	}{
		"read":                                {statements: []Statement{read}, spent: 1},
		"two reads":                           {statements: []Statement{read, read}, spent: 2},
		"transaction":                         {statements: []Statement{begin, read, write, read, end}, spent: 1},
		"transaction that sends nothing":      {statements: []Statement{begin, {ID: "9", Op: OpRollback}}},
		"local statements":                    {statements: []Statement{{ID: "1", Op: OpSet, Name: "a", Argument: "b"}}},
		"read that no target takes":           {statements: []Statement{read}, answer: failure(FailureBusy), spent: 1, returned: 1},
		"write at a full target":              {statements: []Statement{write}, dialErr: &TargetFailure{Kind: FailureTooManyConnections}, spent: 1, returned: 1},
		"transaction that begins nowhere":     {statements: []Statement{begin, write, end}, dialErr: errLost, spent: 1, returned: 1},
		"transaction that a target refuses":   {statements: []Statement{begin, write, end}, answer: failure(FailureBusy), spent: 1, returned: 1},
		"write that failed":                   {statements: []Statement{write}, answer: failure(FailureFailed), spent: 1},
		"write without an answer":             {statements: []Statement{write}, answer: lost, spent: 1},
		"read without an answer":              {statements: []Statement{read}, answer: lost, spent: 1},
		"transaction without answer to begin": {statements: []Statement{begin, write, end}, answer: lost, spent: 1},
		"workspace without a limit":           {statements: []Statement{read}, key: "key-b"},
	} {
		quota := &countingQuota{left: 10}
		target := newKeyedTarget()
		target.err = c.dialErr
		if c.answer != nil {
			target.exchange = func(_ *fakeConnection, command Command) (Reply, error) { return c.answer(command) }
		}
		e := newLimitedEngine(target, quota)
		if c.key == "" {
			c.key = "key-a"
		}
		e.Serve(&scriptedCaller{statements: c.statements}, "d", identityOf(t, e, c.key))
		if quota.spent != c.spent || quota.returned != c.returned {
			t.Errorf("%s: got %d spent and %d returned, want %d and %d", name, quota.spent, quota.returned, c.spent, c.returned)
		}
	}
}

// newLimitedEngine returns an engine with a limited workspace, whose route has a short time limit.
func newLimitedEngine(target Dialer, quota Quota) *Engine {
	e := newKeyedEngine(target)
	e.options.Quota = quota
	e.configuration.Callers = limitedDirectory()
	route := strictRoute
	route.Timeout, route.Objective = 50*time.Millisecond, 20*time.Millisecond
	e.configuration.Routes = map[string]Route{"d": route}
	return e
}

// TestOverTheLimitNothingIsOffered refuses operations of a workspace that has used up its rights, before they take a
// connection.
func TestOverTheLimitNothingIsOffered(t *testing.T) {
	target := newKeyedTarget()
	e := newLimitedEngine(target, &countingQuota{})
	caller := &scriptedCaller{statements: []Statement{
		{ID: "1", Op: OpRead, Text: "r"}, {ID: "2", Op: OpWrite, Text: "w"},
		{ID: "3", Op: OpBegin}, {ID: "4", Op: OpRead, Text: "r"}, {ID: "5", Op: OpCommit, Text: "COMMIT"},
	}}
	e.Serve(caller, "d", identityOf(t, e, "key-a"))
	for i, want := range []result.Code{result.NotRunOverQuota, result.NotRunOverQuota, result.OK, result.NotRunOverQuota, result.TransactionLost} {
		if code := codeIn(caller.answers[i]); code != want {
			t.Errorf("statement %d: got %s, want %s", i+1, code, want)
		}
	}
	if refusal := caller.answers[0].Refusal; refusal.RetryAfter != time.Second {
		t.Errorf("got %s until the caller may come back, want that of the limit, 1s", refusal.RetryAfter)
	}
	if target.dialed > 0 {
		t.Errorf("got %d connections, want none", target.dialed)
	}
}

// TestHolderSpendsNoRight relays an operation: only the daemon of the caller takes the right.
func TestHolderSpendsNoRight(t *testing.T) {
	target := newKeyedTarget()
	n, engines := newKeyedEngines(target)
	quotas := make(map[*Engine]*countingQuota)
	for _, e := range engines {
		quotas[e] = &countingQuota{left: 10}
		e.options.Quota = quotas[e]
		e.configuration.Callers = limitedDirectory()
	}
	sender := senderOf(n, engines)
	sender.Serve(&scriptedCaller{statements: []Statement{{ID: "1", Op: OpRead, Text: "r"}}}, "d", identityOf(t, sender, "key-a"))
	for e, quota := range quotas {
		if want := map[bool]int{true: 1}[e == sender]; quota.spent != want {
			t.Errorf("%s: got %d rights spent, want %d", e.options.Name, quota.spent, want)
		}
	}
	if !target.has("1") {
		t.Error("the operation was not served")
	}
}

// TestNothingKeptIsReturned checks which outcomes of an attempt give the right back.
func TestNothingKeptIsReturned(t *testing.T) {
	for name, c := range map[string]struct {
		outcome attemptResult
		want    bool
	}{
		"not sent":             {notRun(result.NotRunOverloaded, "queue"), false},
		"not permitted":        {notPermitted(errUnproved), false},
		"connection lost":      {attemptResult{err: errLost}, false},
		"no answer":            {attemptResult{err: errLost, sent: true}, true},
		"no answer of holder":  {attemptResult{err: errNoAnswer, sent: true, byHolder: true}, true},
		"answered":             {attemptResult{sent: true, reply: Reply{Signature: "s"}}, true},
		"failed":               {attemptResult{sent: true, reply: Reply{Failure: &TargetFailure{Kind: FailureFailed}}}, true},
		"refused by target":    {attemptResult{sent: true, reply: Reply{Failure: &TargetFailure{Kind: FailureBehind}}}, false},
		"refused by a holder":  {outcomeOf(&api.RelayReply{NotRunCode: int(result.NotRunOverloaded)}, 0), false},
		"holder lost its link": {outcomeOf(&api.RelayReply{NoReply: true, Sent: true}, 0), true},
	} {
		if got := c.outcome.mayHaveRun(); got != c.want {
			t.Errorf("%s: got that it may have run %t, want %t", name, got, c.want)
		}
	}
}
