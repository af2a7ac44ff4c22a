package workload

import (
	"context"
	"fmt"
	"github.com/papayacove/papayacove/internal/clock"
	"sync"
	"time"
)

// clockInterval is the time between two writes of the clock row of a group.
const clockInterval = 25 * time.Millisecond

// clockWriter writes a rising number to a group, so that readers with an allowed age can be checked.
type clockWriter struct {
	caller

	mu    sync.Mutex
	acked []clockTick
}

// clockTick is a number that was acknowledged at a time.
type clockTick struct {
	value int64
	at    time.Time
}

// run writes until ctx ends.
func (c *clockWriter) run(ctx context.Context) {
	defer c.roam()
	for value := int64(1); ctx.Err() == nil; value++ {
		if c.connect(ctx) != nil {
			continue
		}
		callContext, cancel := context.WithTimeout(ctx, callTimeout)
		_, err := c.connection.Exec(callContext, "UPDATE clock SET value = $1 WHERE name = 'clock' AND value < $1", value)
		cancel()
		c.history.request()
		if err == nil {
			c.mu.Lock()
			c.acked = append(c.acked, clockTick{value: value, at: time.Now()})
			c.mu.Unlock()
		}
		c.closeAfter(err)
		_ = clock.Sleep(ctx, clockInterval)
	}
}

// before returns the highest number that was acknowledged before a time.
func (c *clockWriter) before(limit time.Time) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := len(c.acked) - 1; i >= 0; i-- {
		if c.acked[i].at.Before(limit) {
			return c.acked[i].value
		}
	}
	return 0
}

// Supervisor watches the map, which accepts data of an allowed age.
type Supervisor struct {
	caller
	clock  *clockWriter
	maxAge time.Duration
	// Served counts answers, Refused those that were told to come back.
	Served  int
	Refused int
}

// Run reads the map until ctx ends.
func (s *Supervisor) Run(ctx context.Context) {
	defer s.roam()
	for ctx.Err() == nil {
		if s.connect(ctx) == nil {
			s.read(ctx)
		}
		_ = clock.Sleep(ctx, time.Duration(s.random.Int63n(int64(thinkTime))))
	}
}

func (s *Supervisor) read(ctx context.Context) {
	callContext, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	expected := s.clock.before(time.Now().Add(-s.maxAge))
	var value int64
	err := s.connection.QueryRow(callContext, "SELECT value FROM clock WHERE name = 'clock'").Scan(&value)
	s.history.request()
	switch {
	case err == nil && value < expected:
		s.history.stale("map of %s at %s shows %d, older than %v allows (%d)", s.group, s.daemon, value, s.maxAge, expected)
	case err == nil:
		s.Served++
	default:
		s.Refused++
		if ctx.Err() == nil {
			s.history.Event("%s map at %s: %v", s.group, s.daemon, err)
		}
	}
	s.closeAfter(err)
	if s.random.Intn(50) == 0 {
		s.roam()
	}
}

// String names the supervisor in reports.
func (s *Supervisor) String() string {
	return fmt.Sprintf("map of %s", s.group)
}
