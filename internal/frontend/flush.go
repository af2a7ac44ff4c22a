package frontend

import (
	"context"

	"github.com/jackc/pgx/v5/pgproto3"
)

// handleFlush answers or forwards the collected messages and leaves the pipeline open.
func (s *session) handleFlush(ctx context.Context) error {
	defer s.finishBatch()
	if !s.collected.hasForward {
		return s.answerSteps(ctx)
	}
	if s.status == StatusIdle && !s.collected.hasPortal {
		return s.flushPreparation(ctx)
	}
	// Later messages of the pipeline run on the same target and may write, so the batch needs the primary.
	s.collected.hasWrite = true
	check := &answerCheck{write: s.write}
	failed, err := s.forwardTo(ctx, check, true)
	// After an error the target skips messages too, until it receives the Sync that ends its pipeline.
	s.skipsToSync = failed || check.hasFailed
	return err
}

// flushPreparation runs a batch that only prepares and describes statements, with a Sync in place of
// the Flush. The Sync leaves no pipeline open on the target, so that the session occupies no slot
// until the caller sends its Bind.
func (s *session) flushPreparation(ctx context.Context) error {
	sync, err := (&pgproto3.Sync{}).Encode(nil)
	if err != nil {
		return err
	}
	c := s.collected
	c.messages = append(c.messages[:c.lastOffset], sync...)
	check := &answerCheck{write: s.write, hidesReady: true}
	failed, err := s.forwardTo(ctx, check, false)
	s.skipsToSync = failed || check.hasFailed
	return err
}
