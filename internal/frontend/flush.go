package frontend

import (
	"context"

	"github.com/jackc/pgx/v5/pgproto3"
)

// handleFlush sends what has been collected and leaves the pipeline open.
func (s *session) handleFlush(ctx context.Context) error {
	defer s.finishBatch()
	if !s.collected.hasForward {
		return s.answerSteps(ctx)
	}
	if s.status == StatusIdle && !s.collected.hasPortal {
		return s.flushPreparation(ctx)
	}
	// Later messages of the pipeline may write, and they run where this batch runs.
	s.collected.hasWrite = true
	check := &answerCheck{write: s.write}
	failed, err := s.forwardTo(ctx, check, true)
	// After an error the target skips as well, and it is the Sync that ends its pipeline.
	s.skipsToSync = failed || check.hasFailed
	return err
}

// flushPreparation runs a batch that only prepares and describes statements with Sync in the place
// of Flush. Nothing is open on the target after it, so no slot is held while the caller decides
// what to bind.
func (s *session) flushPreparation(ctx context.Context) error {
	sync, err := (&pgproto3.Sync{}).Encode(nil)
	if err != nil {
		return err
	}
	c := s.collected
	c.messages = append(c.messages[:c.last], sync...)
	check := &answerCheck{write: s.write, hidesReady: true}
	failed, err := s.forwardTo(ctx, check, false)
	s.skipsToSync = failed || check.hasFailed
	return err
}
