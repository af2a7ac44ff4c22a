package engine

import (
	"testing"
	"time"
)

// TestOrdersWaitForAFullTarget frees the only connection of a target during a call: an order must be retried until
// it succeeds, a status call must fail at once.
func TestOrdersWaitForAFullTarget(t *testing.T) {
	cases := []struct {
		op   Operation
		want bool
	}{{OpPause, true}, {OpStepDown, true}, {OpStatus, false}}
	for _, c := range cases {
		target := &fakeTarget{limit: 1, open: 1}
		time.AfterFunc(3*fullRetryInterval, func() {
			target.mu.Lock()
			defer target.mu.Unlock()
			target.open = 0
		})
		call := &controlConnection{dialer: target, target: func() Target { return Target{Name: "a"} }}
		if _, err := call.callWithin(10*time.Second, Command{Op: c.op}); (err == nil) != c.want {
			t.Errorf("%s to a full target: got error %v, want success of an order and failure of a status call", c.op, err)
		}
	}
}
