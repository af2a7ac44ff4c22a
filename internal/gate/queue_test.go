package gate

import (
	"testing"
	"time"
)

func TestLatestStartLeavesTimeToRun(t *testing.T) {
	now := time.Now()
	cases := []struct{ limit, service, want time.Duration }{
		{500 * time.Millisecond, 50 * time.Millisecond, 400 * time.Millisecond},
		{500 * time.Millisecond, time.Millisecond, 498 * time.Millisecond},
		// A batch with a short time limit may still wait for half of it.
		{80 * time.Millisecond, 50 * time.Millisecond, 40 * time.Millisecond},
	}
	for _, c := range cases {
		if got := latestStart(now, now.Add(c.limit), c.service).Sub(now); got != c.want {
			t.Errorf("limit %v, service %v: must start within %v, want %v", c.limit, c.service, got, c.want)
		}
	}
}
