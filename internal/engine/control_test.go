package engine

import (
	"testing"
	"time"
)

// TestOrdersWaitForAFullTarget frees the only connection of a target while a call waits: an order goes through, a status
// call fails at once.
func TestOrdersWaitForAFullTarget(t *testing.T) {
	cases := []struct {
		op   Operation
		want bool
	}{{OpPause, true}, {OpStepDown, true}, {OpStatus, false}}
	for _, c := range cases {
		target := &fakeTarget{limit: 1, open: 1}
		time.AfterFunc(3*fullPause, func() {
			target.mu.Lock()
			defer target.mu.Unlock()
			target.open = 0
		})
		call := &control{dialer: target, target: func() Target { return Target{Name: "a"} }}
		if _, err := call.callWithin(10*time.Second, Command{Op: c.op}); (err == nil) != c.want {
			t.Errorf("%s: %v", c.op, err)
		}
	}
}
