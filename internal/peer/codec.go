package peer

import (
	"bufio"
	"encoding/gob"
	"errors"
	"fmt"
	"io"
	"net/rpc"
)

// ErrFrameTooLong means that the other end sent a message over the limit.
var ErrFrameTooLong = errors.New("message over the limit")

// frameReader bounds the bytes that are read for one message. Some bytes of the next message may be counted, because
// the decoder reads ahead.
type frameReader struct {
	io.Reader
	limit int64
	left  int64
}

// Read reads from the connection and fails beyond the limit.
func (f *frameReader) Read(b []byte) (int, error) {
	if f.limit > 0 && f.left <= 0 {
		return 0, fmt.Errorf("%w of %d bytes", ErrFrameTooLong, f.limit)
	}
	n, err := f.Reader.Read(b)
	f.left -= int64(n)
	return n, err
}

// next begins a new message.
func (f *frameReader) next() { f.left = f.limit }

// gobStream encodes and decodes the headers and bodies of net/rpc with gob, as net/rpc itself does, with a limit for
// each message.
type gobStream struct {
	conn    io.ReadWriteCloser
	in      *frameReader
	decoder *gob.Decoder
	out     *bufio.Writer
	encoder *gob.Encoder
	err     error
}

func newGobStream(conn io.ReadWriteCloser, maxFrameBytes int64) *gobStream {
	in := &frameReader{Reader: conn, limit: maxFrameBytes}
	out := bufio.NewWriter(conn)
	return &gobStream{conn: conn, in: in, decoder: gob.NewDecoder(in), out: out, encoder: gob.NewEncoder(out)}
}

// write sends a header and a body in one write.
func (g *gobStream) write(header, body any) error {
	for _, part := range []any{header, body} {
		if err := g.encoder.Encode(part); err != nil {
			// What was encoded so far would make the rest of the stream unreadable.
			_ = g.conn.Close()
			return err
		}
	}
	return g.out.Flush()
}

// readHeader reads the header of the next message.
func (g *gobStream) readHeader(header any) error {
	g.in.next()
	g.err = g.decoder.Decode(header)
	return g.err
}

// readBody reads a body; nil discards it.
func (g *gobStream) readBody(body any) error {
	g.err = g.decoder.Decode(body)
	return g.err
}

func (g *gobStream) Close() error { return g.conn.Close() }

// clientCodec implements rpc.ClientCodec.
type clientCodec struct{ *gobStream }

func newClientCodec(conn io.ReadWriteCloser, maxFrameBytes int64) rpc.ClientCodec {
	return clientCodec{newGobStream(conn, maxFrameBytes)}
}

func (c clientCodec) WriteRequest(r *rpc.Request, body any) error { return c.write(r, body) }
func (c clientCodec) ReadResponseHeader(r *rpc.Response) error    { return c.readHeader(r) }
func (c clientCodec) ReadResponseBody(body any) error             { return c.readBody(body) }

// serverCodec implements rpc.ServerCodec.
type serverCodec struct {
	*gobStream
	calls *callsInProgress
	// disconnected is called when reading ends; nil for nothing.
	disconnected func()
}

func newServerCodec(calls *callsInProgress, maxFrameBytes int64) serverCodec {
	return serverCodec{gobStream: newGobStream(calls.connection, maxFrameBytes), calls: calls}
}

func (c serverCodec) ReadRequestHeader(r *rpc.Request) error {
	err := c.readHeader(r)
	if err == nil && !c.calls.begin() {
		err = io.EOF
	}
	if err != nil && c.disconnected != nil {
		c.disconnected()
	}
	return err
}

func (c serverCodec) ReadRequestBody(body any) error { return c.readBody(body) }

// WriteResponse ends a call: net/rpc answers each one whose header was read.
func (c serverCodec) WriteResponse(r *rpc.Response, body any) error {
	defer c.calls.end()
	return c.write(r, body)
}

// failure returns why reading ended; nil when the other end closed the connection.
func (c serverCodec) failure() error {
	if c.err == nil || errors.Is(c.err, io.EOF) {
		return nil
	}
	return c.err
}
