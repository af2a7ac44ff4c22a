package frontend

import (
	"strings"

	"github.com/papayacove/papayacove/internal/invariant"
	"github.com/papayacove/papayacove/internal/logfield"
	"github.com/papayacove/papayacove/internal/result"
	"github.com/sirupsen/logrus"
)

// answerCheck forwards answers to the caller and verifies that it receives exactly one complete answer to its batch.
type answerCheck struct {
	write func([]byte) error
	// hidesReady is true when ReadyForQuery is not forwarded to the caller.
	hidesReady bool
	// ready counts ReadyForQuery messages, and status is the transaction status of the last one.
	ready  int
	status byte
	// completed counts ParseComplete and CloseComplete messages: each confirms one change of the prepared statements.
	completed int
	// hasFailed is true after an ErrorResponse.
	hasFailed bool
	// isBroken is true after an incomplete message, or after any message that follows ReadyForQuery.
	isBroken bool
}

// emit forwards a sequence of whole backend messages. It forwards none of them and returns errPartialMessage when
// the sequence is invalid.
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
		a.record(first)
		remaining = rest
	}
	if visible == 0 {
		return nil
	}
	return a.write(messages[:visible])
}

// record updates the counts and the status from one message.
func (a *answerCheck) record(message []byte) {
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

// verify checks the answer once the batch has ended, and returns Internal when it is not complete or does not agree
// with outcome. runError is the error of the runner. isFlush is true for a batch that ends in Flush. With an error and
// after a Flush, a complete answer has no ReadyForQuery.
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
