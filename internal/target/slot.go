package target

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// terminateTimeout bounds the write of the Terminate message when a connection is closed.
const terminateTimeout = 100 * time.Millisecond

// Slot is a connection that uses one of the slots of a target. It reads and writes encoded
// messages, so that replies can be relayed without decoding them. One goroutine may write while
// another one reads.
type Slot struct {
	// Conn is the network connection, for deadlines.
	Conn net.Conn
	// ProcessID and SecretKey identify the connection in a cancel request.
	ProcessID uint32
	SecretKey uint32
	// ParameterStatus holds the values that the target reported during start-up.
	ParameterStatus map[string]string

	wire wire
}

// DialSlot connects to the target at address and sets the given run-time parameters. It fails
// with ErrNoSlot when all slots are in use, with ErrAuthentication when authentication fails, and
// with ErrUnreachable when the target does not answer or refuses the connection for another reason.
func DialSlot(ctx context.Context, address string, options Options, parameters map[string]string) (*Slot, error) {
	l, err := dial(ctx, address, options, parameters)
	if err != nil {
		return nil, err
	}
	return &Slot{
		Conn:            l.conn,
		ProcessID:       l.processID,
		SecretKey:       l.secretKey,
		ParameterStatus: l.parameters,
		wire:            l.wire,
	}, nil
}

// WriteRaw adds encoded frontend messages to the write buffer; Flush sends what it still holds.
func (s *Slot) WriteRaw(b []byte) error {
	if _, err := s.wire.writer.Write(b); err != nil {
		return fmt.Errorf("write to target: %w", err)
	}
	return nil
}

// Flush sends the buffered messages.
func (s *Slot) Flush() error {
	if err := s.wire.writer.Flush(); err != nil {
		return fmt.Errorf("flush to target: %w", err)
	}
	return nil
}

// ReadRaw returns the type and the body of the next backend message. The body is valid until
// the next read.
func (s *Slot) ReadRaw() (messageType byte, body []byte, err error) {
	return s.wire.readRaw()
}

// ReadFrame returns the next backend message with its header of five bytes. The frame is valid
// until the next read.
func (s *Slot) ReadFrame() ([]byte, error) {
	return s.wire.readFrame()
}

// Buffered returns the number of bytes that can be read without waiting for the network.
func (s *Slot) Buffered() int {
	return s.wire.buffered()
}

// Close sends Terminate, waiting at most terminateTimeout for the write, and closes the connection
// without waiting for the target.
func (s *Slot) Close() error {
	s.Conn.SetWriteDeadline(time.Now().Add(terminateTimeout))
	if message, err := (&pgproto3.Terminate{}).Encode(nil); err == nil {
		s.Conn.Write(message)
	}
	return s.Conn.Close()
}
