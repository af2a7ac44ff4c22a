package lines_test

import (
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/papayacove/papayacove/standin/lines"
)

// readSlowly reads until the connection ends, a part every interval.
func readSlowly(conn net.Conn, part int, interval time.Duration) (string, error) {
	var all strings.Builder
	data := make([]byte, part)
	for {
		n, err := conn.Read(data)
		all.Write(data[:n])
		if errors.Is(err, io.EOF) {
			return all.String(), nil
		}
		if err != nil {
			return all.String(), err
		}
		time.Sleep(interval)
	}
}

// TestSlowReaderGetsItsWholeAnswerDuringAStop guards against an answer that is cut by the end of the session, or of the
// process, while its caller still reads.
func TestSlowReaderGetsItsWholeAnswerDuringAStop(t *testing.T) {
	t.Parallel()
	p := startProcesses(t)
	d := p.Daemons[0]
	value := strings.Repeat("v", 900_000)
	must(t, p.run(d, p.key(), "WRITE large "+value))
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 8192) })
	}}
	conn, err := dialer.Dial("tcp", d.CallerAddress)
	must(t, err)
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "STARTUP %s user\r\nQUERY 1 READ large\r\n", lines.StrictDatabase)
	must(t, err)
	time.Sleep(100 * time.Millisecond)
	stopped := make(chan bool)
	go func() { stopped <- d.Stop() }()
	answer, err := readSlowly(conn, 32<<10, 70*time.Millisecond)
	if err != nil || !strings.Contains(answer, value+"\r\nCOMPLETE ") || !strings.Contains(answer[strings.Index(answer, "COMPLETE "):], "\r\nREADY I ") {
		t.Errorf("got %d bytes that end with %q and %v, want the whole answer", len(answer), answer[max(0, len(answer)-60):], err)
	}
	if !<-stopped {
		t.Errorf("%s did not end by itself", d.Name)
	}
}
