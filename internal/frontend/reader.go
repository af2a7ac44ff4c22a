package frontend

import (
	"encoding/binary"
	"io"
	"sync"

	"github.com/papayacove/papayacove/internal/result"
)

const (
	// headerBytes is the size of the type byte and the length field of a message.
	headerBytes = 5
	// lengthBytes is the size of the length field. The value of the field includes the field itself.
	lengthBytes = 4
	// readBufferBytes is the size of a pooled read buffer.
	readBufferBytes = 4096
	// idleReadBytes is the size of the read with which a session waits for its next batch. The session holds no
	// pooled buffer meanwhile.
	idleReadBytes = 64
	// readChunkBytes is the step in which memory for a large message is allocated as its data arrives, so that the
	// length field alone does not allocate it.
	readChunkBytes = 64 << 10
)

var errPartialMessage = result.Errorf(result.Internal, "a run of answers is not made of whole messages")

var readBuffers = sync.Pool{New: func() any { return new([readBufferBytes]byte) }}

// messageReader splits the byte stream of a caller into messages. While it waits for a batch, it holds no pooled
// buffer. It must not be used concurrently.
type messageReader struct {
	source     io.Reader
	maxMessage int
	buffer     *[readBufferBytes]byte
	start, end int
}

// isEmpty reports whether every byte that was read has been consumed.
func (r *messageReader) isEmpty() bool {
	return r.start == r.end
}

// release returns the buffer to the pool, unless it contains unconsumed data.
func (r *messageReader) release() {
	if r.buffer == nil || !r.isEmpty() {
		return
	}
	readBuffers.Put(r.buffer)
	r.buffer = nil
	r.start, r.end = 0, 0
}

// waitForData blocks until the caller sends something.
func (r *messageReader) waitForData() error {
	if !r.isEmpty() {
		return nil
	}
	r.release()
	var first [idleReadBytes]byte
	n, err := r.source.Read(first[:])
	if n == 0 {
		return err
	}
	r.buffer = readBuffers.Get().(*[readBufferBytes]byte)
	r.start = 0
	r.end = copy(r.buffer[:], first[:n])
	return nil
}

// fill reads until at least n bytes are buffered; n is at most readBufferBytes.
func (r *messageReader) fill(n int) error {
	if r.buffer == nil {
		r.buffer = readBuffers.Get().(*[readBufferBytes]byte)
	}
	if r.end-r.start >= n {
		return nil
	}
	copy(r.buffer[:], r.buffer[r.start:r.end])
	r.end -= r.start
	r.start = 0
	read, err := io.ReadAtLeast(r.source, r.buffer[r.end:], n-r.end)
	r.end += read
	return err
}

// next appends the next whole message to dst and returns its type and the extended dst. It returns ProtocolViolation
// for a length that does not cover the length field, and MessageTooLarge for one above maxMessage.
func (r *messageReader) next(dst []byte) (byte, []byte, error) {
	if err := r.fill(headerBytes); err != nil {
		return 0, dst, err
	}
	header := r.buffer[r.start : r.start+headerBytes]
	kind := header[0]
	length := binary.BigEndian.Uint32(header[1:])
	if length < lengthBytes {
		return kind, dst, result.Errorf(result.ProtocolViolation, "message length %d is below %d", length, lengthBytes)
	}
	if uint64(length) > uint64(r.maxMessage) {
		return kind, dst, result.Errorf(result.MessageTooLarge, "message of %d bytes exceeds %d", length, r.maxMessage)
	}
	dst, err := r.appendBytes(dst, int(length)+1)
	return kind, dst, err
}

// appendBytes appends the next n bytes of the stream to dst.
func (r *messageReader) appendBytes(dst []byte, n int) ([]byte, error) {
	buffered := min(n, r.end-r.start)
	dst = append(dst, r.buffer[r.start:r.start+buffered]...)
	r.start += buffered
	for n -= buffered; n > 0; {
		step := min(n, readChunkBytes)
		offset := len(dst)
		dst = append(dst, make([]byte, step)...)
		if _, err := io.ReadFull(r.source, dst[offset:]); err != nil {
			return dst[:offset], err
		}
		n -= step
	}
	return dst, nil
}

// discard drops the buffered data and returns the buffer to the pool.
func (r *messageReader) discard() {
	r.start, r.end = 0, 0
	r.release()
}

// cutMessage splits a sequence of whole messages after the first one. It returns errPartialMessage when the first
// message is incomplete.
func cutMessage(messages []byte) (first, rest []byte, err error) {
	if len(messages) < headerBytes {
		return nil, nil, errPartialMessage
	}
	length := uint64(binary.BigEndian.Uint32(messages[1:])) + 1
	if length < headerBytes || length > uint64(len(messages)) {
		return nil, nil, errPartialMessage
	}
	return messages[:length], messages[length:], nil
}
