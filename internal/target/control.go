package target

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// ControlDatabase is the database name of connections that use no slot.
const ControlDatabase = "papayacove_control"

// Control is a connection for status queries and for the orders fence, promote and follow. It uses
// no slot and is not safe for concurrent use. After an error other than a ServerError or
// TermTooLowError it is closed.
type Control struct {
	link *link
}

// DialControl connects to the target at address outside its slots. Network failures wrap
// ErrUnreachable.
func DialControl(ctx context.Context, address string, options Options) (*Control, error) {
	options.Database = ControlDatabase
	l, err := dial(ctx, address, options, nil)
	if err != nil {
		return nil, err
	}
	return &Control{link: l}, nil
}

// Status returns the status of the target as soon as it has received the log up to waitOffset, or
// after wait. It does not wait when either of them is 0.
func (c *Control) Status(ctx context.Context, waitOffset uint64, wait time.Duration) (Status, error) {
	return c.statusWhenReached(ctx, "received", waitOffset, wait)
}

// StatusApplied returns the status of the target as soon as it has applied the log up to
// waitOffset, or after wait. It does not wait when either of them is 0.
func (c *Control) StatusApplied(ctx context.Context, waitOffset uint64, wait time.Duration) (Status, error) {
	return c.statusWhenReached(ctx, "applied", waitOffset, wait)
}

func (c *Control) statusWhenReached(ctx context.Context, column string, offset uint64, wait time.Duration) (Status, error) {
	if offset == 0 || wait <= 0 {
		return c.queryStatus(ctx, StatusQuery)
	}
	query := fmt.Sprintf("SELECT * FROM target_status('%s', %d, %d)", column, offset, wait.Milliseconds())
	return c.queryStatus(ctx, query)
}

// Fence raises the term of the target. Afterwards the target neither streams the log of a lower
// term nor accepts its writes. It fails with TermTooLowError unless term is higher than the term of
// the target.
func (c *Control) Fence(ctx context.Context, term uint64) (Status, error) {
	return c.sendOrder(ctx, term, fmt.Sprintf("SELECT * FROM target_fence(%d)", term))
}

// Promote makes the target the primary of term, at which it must have been fenced before. It is
// idempotent. The log position of the returned status is the start of the term.
func (c *Control) Promote(ctx context.Context, term uint64) (Status, error) {
	return c.sendOrder(ctx, term, fmt.Sprintf("SELECT * FROM target_promote(%d)", term))
}

// Follow makes the target a replica of the primary of term, which listens on primaryAddress.
func (c *Control) Follow(ctx context.Context, term uint64, primaryAddress string) (Status, error) {
	query := fmt.Sprintf("SELECT * FROM target_follow(%d, %s)", term, quoteLiteral(primaryAddress))
	return c.sendOrder(ctx, term, query)
}

// Close closes the connection.
func (c *Control) Close() error {
	return c.link.conn.Close()
}

// sendOrder sends a query that needs a high enough term, and converts the refusal of a lower one to
// TermTooLowError.
func (c *Control) sendOrder(ctx context.Context, term uint64, query string) (Status, error) {
	status, err := c.queryStatus(ctx, query)
	var refusal *ServerError
	if errors.As(err, &refusal) && refusal.SQLState == sqlStateTermTooLow {
		targetTerm, parseErr := strconv.ParseUint(refusal.Detail, 10, 64)
		if parseErr != nil {
			return Status{}, fmt.Errorf("term of the target: %w", parseErr)
		}
		return Status{}, &TermTooLowError{OrderTerm: term, TargetTerm: targetTerm}
	}
	return status, err
}

// queryStatus sends one query and reads the status row that it returns.
func (c *Control) queryStatus(ctx context.Context, query string) (Status, error) {
	release := bindDeadline(ctx, c.link.conn)
	defer release()
	encoded, err := (&pgproto3.Query{String: query}).Encode(nil)
	if err != nil {
		return Status{}, fmt.Errorf("encode query: %w", err)
	}
	if err := c.link.wire.writeAndFlush(encoded); err != nil {
		c.Close()
		return Status{}, err
	}
	status, err := c.readStatus()
	var refusal *ServerError
	if err != nil && !errors.As(err, &refusal) {
		c.Close()
	}
	return status, err
}

// readStatus reads messages up to ReadyForQuery and returns the status row or the error among them.
func (c *Control) readStatus() (Status, error) {
	var status Status
	var failure error
	rows := 0
	for {
		messageType, body, err := c.link.wire.readRaw()
		if err != nil {
			return Status{}, errors.Join(failure, err)
		}
		switch messageType {
		case messageDataRow:
			rows++
			status, failure = decodeStatusRow(body)
		case messageError:
			failure = decodeServerError(body)
		case messageReadyForQuery:
			return status, statusFailure(failure, rows)
		}
	}
}

func decodeStatusRow(body []byte) (Status, error) {
	var row pgproto3.DataRow
	if err := row.Decode(body); err != nil {
		return Status{}, fmt.Errorf("decode status row: %w", err)
	}
	return ParseStatusRow(row.Values)
}

func statusFailure(failure error, rows int) error {
	if failure == nil && rows != 1 {
		return fmt.Errorf("status has %d rows", rows)
	}
	return failure
}

func quoteLiteral(s string) string {
	quoted := []byte{'\''}
	for i := range len(s) {
		if s[i] == '\'' {
			quoted = append(quoted, '\'')
		}
		quoted = append(quoted, s[i])
	}
	return string(append(quoted, '\''))
}
