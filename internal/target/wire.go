package target

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
)

const (
	// headerBytes is the size of the type and the length of a message.
	headerBytes = 5
	// lengthBytes is the size of the length field, whose value includes it.
	lengthBytes      = 4
	readBufferBytes  = 16 << 10
	writeBufferBytes = 8 << 10
	// maxFrameBytes bounds the length field: PostgreSQL sends no message of this length or more.
	maxFrameBytes = 1 << 30
)

// wire reads and writes whole protocol messages without decoding them.
type wire struct {
	reader *bufio.Reader
	writer *bufio.Writer
	// consumed is the size in bytes of the last frame inside the reader's buffer.
	consumed int
	// scratch holds a frame that is larger than the reader's buffer.
	scratch []byte
}

func newWire(conn net.Conn) wire {
	return wire{
		reader: bufio.NewReaderSize(conn, readBufferBytes),
		writer: bufio.NewWriterSize(conn, writeBufferBytes),
	}
}

// readFrame returns the next message with its header. The frame is valid until the next call.
func (w *wire) readFrame() ([]byte, error) {
	if err := w.discardConsumed(); err != nil {
		return nil, err
	}
	header, err := w.reader.Peek(headerBytes)
	if err != nil {
		return nil, fmt.Errorf("read message header: %w", err)
	}
	length := int(binary.BigEndian.Uint32(header[1:]))
	if length < lengthBytes || length >= maxFrameBytes {
		return nil, fmt.Errorf("message %q has invalid length %d", header[0], length)
	}
	size := 1 + length
	if size > w.reader.Size() {
		return w.readLargeFrame(size)
	}
	frame, err := w.reader.Peek(size)
	if err != nil {
		return nil, fmt.Errorf("read message body: %w", err)
	}
	w.consumed = size
	return frame, nil
}

func (w *wire) discardConsumed() error {
	if w.consumed == 0 {
		return nil
	}
	_, err := w.reader.Discard(w.consumed)
	w.consumed = 0
	return err
}

func (w *wire) readLargeFrame(size int) ([]byte, error) {
	if cap(w.scratch) < size {
		w.scratch = make([]byte, size)
	}
	frame := w.scratch[:size]
	if _, err := io.ReadFull(w.reader, frame); err != nil {
		return nil, fmt.Errorf("read message body: %w", err)
	}
	return frame, nil
}

// readRaw returns the type and the body of the next message.
func (w *wire) readRaw() (byte, []byte, error) {
	frame, err := w.readFrame()
	if err != nil {
		return 0, nil, err
	}
	return frame[0], frame[headerBytes:], nil
}

// buffered returns the number of bytes that can be read without waiting for the network.
func (w *wire) buffered() int {
	return w.reader.Buffered() - w.consumed
}

// writeAndFlush writes encoded messages and flushes the buffer.
func (w *wire) writeAndFlush(b []byte) error {
	if _, err := w.writer.Write(b); err != nil {
		return fmt.Errorf("write message: %w", err)
	}
	if err := w.writer.Flush(); err != nil {
		return fmt.Errorf("flush messages: %w", err)
	}
	return nil
}
