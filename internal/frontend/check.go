package frontend

import (
	"strings"

	"github.com/papayacove/papayacove/internal/invariant"
	"github.com/papayacove/papayacove/internal/logfield"
	"github.com/papayacove/papayacove/internal/result"
	"github.com/sirupsen/logrus"
)

// answerCheck passes answers on and verifies that a caller gets one whole answer to its batch.
type answerCheck struct {
	write func([]byte) error
	// hidesReady keeps ReadyForQuery from the caller.
	hidesReady bool
	// ready counts ReadyForQuery messages, and status is that of the last.
	ready  int
	status byte
	// completed counts ParseComplete and CloseComplete messages.
	completed int
	// hasFailed is true after an ErrorResponse.
	hasFailed bool
	// isBroken is true after a run that is not made of whole messages, or one after ReadyForQuery.
	isBroken bool
}

// emit takes a run of whole backend messages.
func (a *answerCheck) emit(messages []byte) error {
	visible := 0
	for remaining := messages; len(remaining) > 0; {
		first, rest, err := cutMessage(remaining)
		if err != nil || a.ready > 0 {
			a.isBroken = true
			return errPartialMessage
		}
		if first[0] != 'Z' || !a.hidesReady {
			visible += len(first)
		}
		a.note(first)
		remaining = rest
	}
	if visible == 0 {
		return nil
	}
	return a.write(messages[:visible])
}

func (a *answerCheck) note(message []byte) {
	switch message[0] {
	case '1', '3':
		a.completed++
	case 'E':
		a.hasFailed = true
	case 'Z':
		a.ready++
		if len(message) == headerBytes+1 {
			a.status = message[headerBytes]
		}
	}
}

// verify checks the end of a batch; isFlush is true for one that ends in Flush.
func (a *answerCheck) verify(outcome Outcome, runError error, isFlush bool) error {
	holds := !a.isBroken
	switch {
	case runError != nil:
		holds = holds && a.ready == 0
	case isFlush:
		holds = holds && a.ready == 0 && outcome.TransactionStatus == StatusOpenPipeline
	default:
		holds = holds && a.ready == 1 && a.status == outcome.TransactionStatus &&
			strings.IndexByte("ITE", a.status) >= 0
	}
	fields := logrus.Fields{logfield.Ready: a.ready, logfield.Status: string(outcome.TransactionStatus), logfield.Flush: isFlush}
	if invariant.Check(holds, "frontend_whole_answer", fields) {
		return nil
	}
	return result.Errorf(result.Internal, "the answer to the batch is not whole")
}
