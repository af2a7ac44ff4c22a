package gate

import (
	"context"
	"errors"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/result"
)

// classify converts a failure to a result code, by which part of the batch may have run.
func (b *batch) classify(ctx context.Context, err error) *result.Error {
	name := b.gate.options.Spec.Name
	cause := err.Error()
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		cause = "the time limit passed: " + cause
	}
	if isReplaced(ctx) {
		cause = errReplaced.Error() + ": " + cause
	}
	switch {
	case b.req.Access == api.ExecuteRequestAccessRead && b.chunkSent:
		return result.Errorf(result.AnswerInterrupted, "target %s: %s", name, cause)
	case b.req.Access == api.ExecuteRequestAccessRead && !b.pinned:
		return result.Errorf(result.NotRunUnreachable, "target %s: %s", name, cause)
	case b.pinned && !b.mayCommit():
		return result.Errorf(result.TransactionLost, "target %s: %s", name, cause)
	default:
		return result.Errorf(result.OutcomeUnknown, "target %s: %s", name, cause)
	}
}

// mayCommit reports whether a batch within a transaction may end it with a commit.
func (b *batch) mayCommit() bool {
	if b.inPipeline || commitPattern.Match(b.req.Messages) {
		return true
	}
	for _, statement := range b.req.Prepared {
		if commitPattern.MatchString(statement.Query) {
			return true
		}
	}
	return false
}
