package engine

import (
	"errors"
	"testing"
	"time"

	"github.com/papayacove/papayacove/internal/clock"
	"github.com/papayacove/papayacove/internal/policy/leadership"
)

// TestStatusRoundEndsWithoutAnswers asks holders that never answer, as beyond a partition: the call ends at its limit.
// Before, it took as long as the slowest way, and a partition was noticed later by that.
func TestStatusRoundEndsWithoutAnswers(t *testing.T) {
	never := make(chan struct{})
	defer close(never)
	silent := func() (leadership.Status, error) {
		<-never
		return leadership.Status{}, errStatusTimeout
	}
	_, err := firstStatus([]func() (leadership.Status, error){silent, silent}, time.Millisecond, 10*time.Millisecond)
	if !errors.Is(err, errStatusTimeout) {
		t.Errorf("got %v, want %v", err, errStatusTimeout)
	}
}

// TestRotationFollowsTheProbes lets the balancer ask an isolated daemon: it is out of rotation once it has refused two
// probes in a row, so that its callers can be sent elsewhere, and not before.
func TestRotationFollowsTheProbes(t *testing.T) {
	e := newReaderEngine(&fakeTarget{})
	e.isolated.Store(true)
	now := clock.SinceBoot()
	for probe, want := range []bool{false, false, true} {
		if got := e.isOutOfRotation(now, now); got != want {
			t.Errorf("after %d refused probes: got out of rotation %t, want %t", probe, got, want)
		}
		if e.IsReady() {
			t.Error("an isolated daemon is ready")
		}
	}
	e.isolated.Store(false)
	e.IsReady()
	if e.isOutOfRotation(now, now) {
		t.Error("after a probe answered as ready: got out of rotation, want in it")
	}
	if !e.isOutOfRotation(now-rotationTime-time.Millisecond, now) {
		t.Error("without probes for the rotation time: got in rotation, want out of it")
	}
}
