package target

import (
	"context"
	"encoding/binary"
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"
)

// SendCancelRequest asks the target at address to cancel the statement that the connection with this
// process ID and secret key is running. The protocol has no reply to it, so success does not mean
// that a statement was cancelled. Connection failures wrap ErrUnreachable.
func SendCancelRequest(ctx context.Context, address string, options Options, processID, secretKey uint32) error {
	ctx, cancel := context.WithTimeout(ctx, defaultDialTimeout)
	defer cancel()
	conn, err := connect(ctx, address, options)
	if err != nil {
		return fmt.Errorf("%w: %s: %w", ErrUnreachable, address, err)
	}
	defer conn.Close()
	release := bindDeadline(ctx, conn)
	defer release()
	request := pgproto3.CancelRequest{
		ProcessID: processID,
		SecretKey: binary.BigEndian.AppendUint32(nil, secretKey),
	}
	message, err := request.Encode(nil)
	if err != nil {
		return fmt.Errorf("encode cancel request: %w", err)
	}
	if _, err := conn.Write(message); err != nil {
		return fmt.Errorf("send cancel request: %w", err)
	}
	// The target closes the connection once it has processed the request.
	conn.Read(make([]byte, 1))
	return nil
}
