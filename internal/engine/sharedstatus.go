package engine

import (
	"errors"
	"sync"
	"time"

	"github.com/papayacove/papayacove/internal/policy/leadership"
)

// sharedStatus makes the status calls of one target for all that ask, one at a time: those that ask during a call share
// the next one. So the calls do not grow with the number of daemons that ask.
type sharedStatus struct {
	call func() (leadership.Status, error)

	mu      sync.Mutex
	running bool
	waiting []chan statusResult
}

type statusResult struct {
	status leadership.Status
	err    error
}

// sharedStatusTimeout bounds the wait for a status: one call in progress and the next.
const sharedStatusTimeout = 2 * statusTimeout

var errStatusTimeout = errors.New("no status in time")

// get returns a status that was asked for after the call of get.
func (s *sharedStatus) get() (leadership.Status, error) {
	answer := make(chan statusResult, 1)
	s.mu.Lock()
	s.waiting = append(s.waiting, answer)
	if !s.running {
		s.running = true
		go s.run()
	}
	s.mu.Unlock()
	timer := time.NewTimer(sharedStatusTimeout)
	defer timer.Stop()
	select {
	case r := <-answer:
		return r.status, r.err
	case <-timer.C:
		return leadership.Status{}, errStatusTimeout
	}
}

// run makes calls until nobody waits.
func (s *sharedStatus) run() {
	for {
		s.mu.Lock()
		asked := s.waiting
		s.waiting = nil
		s.running = len(asked) > 0
		s.mu.Unlock()
		if len(asked) == 0 {
			return
		}
		status, err := s.call()
		if err != nil {
			// A target that did not answer does not answer those either that have asked meanwhile.
			s.mu.Lock()
			asked = append(asked, s.waiting...)
			s.waiting = nil
			s.mu.Unlock()
		}
		for _, answer := range asked {
			answer <- statusResult{status, err}
		}
	}
}
