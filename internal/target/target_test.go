package target

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"flag"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"pgregory.net/rapid"

	"github.com/papayacove/papayacove/api"
)

// TestMain sets the seed of the property tests, so that each run checks the same cases.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

const testTimeout = 10 * time.Second

func TestParseStatusRow(t *testing.T) {
	row := [][]byte{[]byte("replica"), []byte("3"), []byte("2"), []byte("70"), []byte("60"), []byte("1"), []byte("t")}
	status, err := ParseStatusRow(row)
	if err != nil {
		t.Fatal(err)
	}
	want := Status{Role: RoleReplica, Term: 3, LogTerm: 2, Received: 70, Applied: 60, AppliedTerm: 1, Leaving: true}
	if status != want {
		t.Fatalf("got %+v, want %+v", status, want)
	}
	if p := status.LogPosition(); p != (api.Position{Term: 2, Offset: 70}) {
		t.Fatalf("LogPosition() = %s, want 2/70", p)
	}
	if p := status.AppliedPosition(); p != (api.Position{Term: 1, Offset: 60}) {
		t.Fatalf("AppliedPosition() = %s, want 1/60", p)
	}
	for i, bad := range []string{"leader", "x", "", "-1", "1.5", "x"} {
		broken := append([][]byte{}, row...)
		broken[i] = []byte(bad)
		if _, err := ParseStatusRow(broken); err == nil {
			t.Errorf("column %d with value %q: got no error", i, bad)
		}
	}
	if _, err := ParseStatusRow(row[1:]); err == nil {
		t.Error("row that lacks a column: got no error")
	}
}

// chunkedConn is a net.Conn whose reads return at most maxRead bytes of reader.
type chunkedConn struct {
	net.Conn
	reader  io.Reader
	maxRead int
}

func (c *chunkedConn) Read(b []byte) (int, error) {
	if len(b) > c.maxRead {
		b = b[:c.maxRead]
	}
	return c.reader.Read(b)
}

func TestReadFrameReturnsWholeFramesOfAnySize(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sizes := rapid.SliceOfN(rapid.IntRange(0, 3*readBufferBytes), 1, 8).Draw(t, "sizes")
		maxRead := rapid.IntRange(1, 2*readBufferBytes).Draw(t, "piece")
		var stream []byte
		var frames [][]byte
		for i, size := range sizes {
			frame := binary.BigEndian.AppendUint32([]byte{'D'}, uint32(size+lengthBytes))
			frame = append(frame, bytes.Repeat([]byte{byte(i)}, size)...)
			frames = append(frames, frame)
			stream = append(stream, frame...)
		}
		w := newWire(&chunkedConn{reader: bytes.NewReader(stream), maxRead: maxRead})
		for i, want := range frames {
			got, err := w.readFrame()
			if err != nil || !bytes.Equal(got, want) {
				t.Fatalf("frame %d of %d bytes: got other bytes or error %v", i, len(want), err)
			}
		}
		if _, err := w.readFrame(); !errors.Is(err, io.EOF) {
			t.Fatalf("after the last frame: got error %v, want EOF", err)
		}
	})
}

func TestReadFrameRefusesInvalidLength(t *testing.T) {
	for _, length := range []uint32{0, 3, maxFrameBytes} {
		stream := binary.BigEndian.AppendUint32([]byte{'D'}, length)
		w := newWire(&chunkedConn{reader: bytes.NewReader(append(stream, 0)), maxRead: 100})
		if _, err := w.readFrame(); err == nil {
			t.Errorf("length %d: got no error", length)
		}
	}
}

// serveOnce listens on a free port and calls serve for the first connection after its start-up message.
func serveOnce(t *testing.T, serve func(*pgproto3.Backend)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		backend := pgproto3.NewBackend(conn, conn)
		if _, err := backend.ReceiveStartupMessage(); err == nil {
			serve(backend)
		}
	}()
	return listener.Addr().String()
}

func dialTest(t *testing.T, address string) (*Control, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return DialControl(ctx, address, Options{User: "u", Password: "secret"})
}

func TestPasswordIsNotSentInTheClear(t *testing.T) {
	received := make(chan error, 1)
	address := serveOnce(t, func(backend *pgproto3.Backend) {
		backend.Send(&pgproto3.AuthenticationCleartextPassword{})
		backend.Flush()
		_, err := backend.Receive()
		received <- err
	})
	if _, err := dialTest(t, address); !errors.Is(err, ErrAuthentication) {
		t.Fatalf("dial: got error %v, want ErrAuthentication", err)
	}
	if err := <-received; err == nil {
		t.Fatal("target received a message after it asked for a cleartext password, want none")
	}
}

func TestStartUpErrorsAreTyped(t *testing.T) {
	cases := map[string]error{"53300": ErrNoSlot, "28P01": ErrAuthentication, "57P03": ErrUnreachable}
	for state, want := range cases {
		address := serveOnce(t, func(backend *pgproto3.Backend) {
			backend.Send(&pgproto3.ErrorResponse{Severity: "FATAL", Code: state})
			backend.Flush()
		})
		if _, err := dialTest(t, address); !errors.Is(err, want) {
			t.Errorf("SQLSTATE %s: got error %v, want the typed error of this state", state, err)
		}
	}
}

func TestRefusedOrdersReturnTypedErrors(t *testing.T) {
	address := serveOnce(t, func(backend *pgproto3.Backend) {
		backend.Send(&pgproto3.AuthenticationOk{})
		backend.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
		backend.Flush()
		for _, state := range []string{sqlStateTermTooLow, "55000"} {
			if _, err := backend.Receive(); err != nil {
				return
			}
			backend.Send(&pgproto3.ErrorResponse{Code: state, Detail: "7"})
			backend.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
			backend.Flush()
		}
	})
	control, err := dialTest(t, address)
	if err != nil {
		t.Fatal(err)
	}
	defer control.Close()
	var tooLow *TermTooLowError
	if _, err = control.Fence(context.Background(), 5); !errors.As(err, &tooLow) || *tooLow != (TermTooLowError{OrderTerm: 5, TargetTerm: 7}) {
		t.Fatalf("fence: got error %v, want TermTooLowError with terms 5 and 7", err)
	}
	var refusal *ServerError
	if _, err = control.Promote(context.Background(), 5); !errors.As(err, &refusal) || refusal.SQLState != "55000" {
		t.Fatalf("promote: got error %v, want ServerError with SQLSTATE 55000", err)
	}
}

func TestDialOfUnresponsiveTargetEndsWithContext(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	address := serveOnce(t, func(*pgproto3.Backend) { <-release })
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(10*time.Millisecond, cancel)
	if _, err := DialControl(ctx, address, Options{}); !errors.Is(err, ErrUnreachable) {
		t.Fatalf("dial: got error %v, want ErrUnreachable", err)
	}
}
