package gate

import (
	"github.com/papayacove/papayacove/internal/result"
)

// readPrefix reads the answers to the queries that the gate sent before the batch.
func (b *batch) readPrefix() error {
	if b.plan.discards {
		if err := b.readDiscard(); err != nil {
			return err
		}
	}
	if b.plan.settings != nil {
		if err := b.readSettings(); err != nil {
			return err
		}
	}
	return nil
}

// readDiscard reads the answer to discardQuery. After an error the connection is not used again.
func (b *batch) readDiscard() error {
	for refused := ""; ; {
		kind, body, err := b.slot.connection.ReadRaw()
		if err != nil {
			return err
		}
		switch kind {
		case messageErrorResponse:
			_, refused = sqlState(body)
		case messageReadyForQuery:
			if refused == "" {
				return nil
			}
			b.slot.broken = true
			return result.Errorf(result.NotRunUnreachable, "target %s does not discard session state: %s", b.gate.options.Spec.Name, refused)
		}
	}
}

// readSettings reads the answer to the query that applies the settings of the session. After an error the connection
// is not used again.
func (b *batch) readSettings() error {
	var refusal error
	for {
		kind, body, err := b.slot.connection.ReadRaw()
		if err != nil {
			return err
		}
		switch kind {
		case messageErrorResponse:
			_, message := sqlState(body)
			refusal = result.Errorf(result.Unsupported, "the target refuses a setting of the session: %s", message)
		case messageReadyForQuery:
			if refusal != nil {
				b.slot.broken = true
				return refusal
			}
			b.slot.appliedSettings = b.plan.settings
			return nil
		}
	}
}
