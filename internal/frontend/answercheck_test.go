package frontend

import (
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/papayacove/papayacove/internal/result"
)

func TestAnswerCheckDetectsInvalidAnswers(t *testing.T) {
	done := appendMessage(nil, &pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")})
	ready := appendMessage(nil, &pgproto3.ReadyForQuery{TxStatus: StatusIdle})
	failed := result.Errorf(result.AnswerInterrupted, "lost")
	idle, open := Outcome{StatusIdle}, Outcome{StatusOpenPipeline}
	for name, test := range map[string]struct {
		sequences [][]byte
		outcome   Outcome
		err       error
		isFlush   bool
		valid     bool
	}{
		"whole":                 {sequences: [][]byte{done, ready}, outcome: idle, valid: true},
		"flush":                 {sequences: [][]byte{done}, outcome: open, isFlush: true, valid: true},
		"error":                 {sequences: [][]byte{done}, err: failed, valid: true},
		"no end":                {sequences: [][]byte{done}, outcome: idle},
		"two ends":              {sequences: [][]byte{ready, ready}, outcome: idle},
		"answer after the end":  {sequences: [][]byte{append(ready[:len(ready):len(ready)], done...)}, outcome: idle},
		"part of a message":     {sequences: [][]byte{done[:7]}, err: failed},
		"end of a flush":        {sequences: [][]byte{done, ready}, outcome: open, isFlush: true},
		"end before an error":   {sequences: [][]byte{done, ready}, err: failed},
		"status does not agree": {sequences: [][]byte{done, ready}, outcome: Outcome{StatusTransaction}},
	} {
		check := answerCheck{write: func([]byte) error { return nil }}
		for _, sequence := range test.sequences {
			if check.emit(sequence) != nil {
				break
			}
		}
		if got := check.verify(test.outcome, test.err, test.isFlush) == nil; got != test.valid {
			t.Errorf("%s: valid = %v, want %v", name, got, test.valid)
		}
	}
}
