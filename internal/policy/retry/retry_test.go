package retry

import (
	"testing"
	"time"

	"github.com/papayacove/papayacove/internal/result"
)

var start = time.Unix(1_000_000, 0)

func TestFailed(t *testing.T) {
	cases := []struct {
		name    string
		access  Access
		failure Failure
		retry   bool
		reason  Reason
	}{
		{"write while there is no primary", Write, Failure{Code: result.NotRunNoPrimary}, true, ReasonNothingRan},
		{"write with an unknown outcome", Write, Failure{Code: result.OutcomeUnknown}, false, ReasonMayHaveRun},
		{"write with an interrupted answer", Write, Failure{Code: result.AnswerInterrupted}, false, ReasonMayHaveRun},
		{"write of a lost transaction", Write, Failure{Code: result.TransactionLost}, false, ReasonFinal},
		{"write that already ran", Write, Failure{Code: result.AlreadyRan}, false, ReasonFinal},
		{"write refused because of overload", Write, Failure{Code: result.NotRunOverloaded}, false, ReasonFinal},
		{"read of data that is too old", Read, Failure{Code: result.NotRunTooOld}, false, ReasonFinal},
		{"read behind", Read, Failure{Code: result.NotRunBehind}, true, ReasonNothingRan},
		{"read with a lost answer", Read, Failure{Code: result.OutcomeUnknown}, true, ReasonIdempotent},
		{"read whose answer was partly sent", Read, Failure{Code: result.AnswerInterrupted, RowsSent: true}, false, ReasonRowsSent},
		{"read that writes", Read, Failure{Code: result.NotRunReadOnly}, false, ReasonFinal},
	}
	for _, c := range cases {
		d := Policy{}.New(c.access, start.Add(time.Minute), start).Failed(c.failure, start)
		if d.Retry != c.retry || d.Reason != c.reason || d.Retry != (d.Delay > 0) {
			t.Errorf("%s: got %v, want the decision and reason of the case, with a delay exactly on a retry", c.name, d.Fields())
		}
		if wantRetryAfter := !c.retry && c.failure.Code.IsNotRun(); wantRetryAfter != (d.RetryAfter > 0) {
			t.Errorf("%s: got retry-after %s, want one exactly if the request did not run and is not retried", c.name, d.RetryAfter)
		}
	}
}

// TestWriteIsRetriedOnlyWhenNothingRan checks every result code.
func TestWriteIsRetriedOnlyWhenNothingRan(t *testing.T) {
	for _, definition := range result.Definitions {
		d := Policy{}.New(Write, start.Add(time.Minute), start).Failed(Failure{Code: definition.Code}, start)
		if d.Retry && !definition.Code.IsNotRun() {
			t.Errorf("write that failed with %s is retried, want no retry", definition.Name)
		}
	}
}

func TestDelaysDoubleUntilTheWindowEnds(t *testing.T) {
	policy := Policy{Window: 100 * time.Millisecond, FirstDelay: 10 * time.Millisecond, MaxDelay: 30 * time.Millisecond}
	r := policy.New(Write, start.Add(time.Minute), start)
	now := start
	var delays []time.Duration
	d := r.Failed(Failure{Code: result.NotRunNoPrimary}, now)
	for d.Retry {
		delays = append(delays, d.Delay/time.Millisecond)
		now = now.Add(d.Delay)
		d = r.Failed(Failure{Code: result.NotRunNoPrimary}, now)
	}
	if len(delays) != 4 || delays[0] != 10 || delays[1] != 20 || delays[3] != 30 || d.Reason != ReasonWindowEnded {
		t.Errorf("got delays %v (milliseconds printed as ns), ended with %v, want 10, 20, 30, 30 and no_time_for_another_attempt", delays, d.Fields())
	}
}

func TestDeadlineEndsTheWindow(t *testing.T) {
	r := Policy{}.New(Write, start.Add(5*time.Millisecond), start)
	if d := r.Failed(Failure{Code: result.NotRunNoPrimary, RetryAfter: time.Second}, start); d.Retry || d.RetryAfter != time.Second {
		t.Errorf("got %v, want no retry and a retry-after of 1 s", d.Fields())
	}
}
