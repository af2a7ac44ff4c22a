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

// clockWriter writes a rising number to the clock row of a group, so that reads with a maximum age can be checked.
type clockWriter struct {
	caller

	mu    sync.Mutex
	acked []clockTick
}

// clockTick is a number that was written, and the time of its acknowledgement.
type clockTick struct {
	value int64
	at    time.Time
}

// run writes the next number every clockInterval until ctx ends.
func (c *clockWriter) run(ctx context.Context) {
	defer c.disconnect()
	for value := int64(1); ctx.Err() == nil; value++ {
		if c.connect(ctx) != nil {
			continue
		}
		callContext, cancel := context.WithTimeout(ctx, callTimeout)
		_, err := c.connection.Exec(callContext, "UPDATE clock SET value = $1 WHERE name = 'clock' AND value < $1", value)
		cancel()
		c.history.countRequest()
		if err == nil {
			c.mu.Lock()
			c.acked = append(c.acked, clockTick{value: value, at: time.Now()})
			c.mu.Unlock()
		}
		c.closeAfter(err)
		_ = clock.Sleep(ctx, clockInterval)
	}
}

// ackedBefore returns the highest number that was acknowledged before a time; 0 for none.
func (c *clockWriter) ackedBefore(limit time.Time) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := len(c.acked) - 1; i >= 0; i-- {
		if c.acked[i].at.Before(limit) {
			return c.acked[i].value
		}
	}
	return 0
}

// Supervisor is a caller that simulates the map view of a supervisor: it reads the clock row of a group and accepts data
// up to a maximum age.
type Supervisor struct {
	caller
	clock  *clockWriter
	maxAge time.Duration
	// Served counts reads that returned data and Refused all others.
	Served  int
	Refused int
}

// Run reads the clock row until ctx ends, with a random pause of less than thinkTime after each read.
func (s *Supervisor) Run(ctx context.Context) {
	defer s.disconnect()
	for ctx.Err() == nil {
		if s.connect(ctx) == nil {
			s.read(ctx)
		}
		_ = clock.Sleep(ctx, time.Duration(s.random.Int63n(int64(thinkTime))))
	}
}

// read reads the clock row once and records a stale read if its value is older than the maximum age allows.
func (s *Supervisor) read(ctx context.Context) {
	callContext, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	expected := s.clock.ackedBefore(time.Now().Add(-s.maxAge))
	var value int64
	err := s.connection.QueryRow(callContext, "SELECT value FROM clock WHERE name = 'clock'").Scan(&value)
	s.history.countRequest()
	switch {
	case err == nil && value < expected:
		s.history.recordStaleRead("map of %s at %s shows %d, older than %v allows (%d)", s.group, s.daemon, value, s.maxAge, expected)
	case err == nil:
		s.Served++
	default:
		s.Refused++
		if ctx.Err() == nil {
			s.history.RecordEvent("%s map at %s: %v", s.group, s.daemon, err)
		}
	}
	s.closeAfter(err)
	if s.random.Intn(50) == 0 {
		s.disconnect()
	}
}

// String returns the name of the supervisor in reports.
func (s *Supervisor) String() string {
	return fmt.Sprintf("map of %s", s.group)
}
