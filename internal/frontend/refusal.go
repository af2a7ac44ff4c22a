package frontend

import (
	"io"
	"net"
	"time"

	"github.com/papayacove/papayacove/internal/result"
)

// refuseConnection answers TooManyConnections without waiting for the start-up message, and closes the connection. It
// returns at once. The connection is closed without an answer when too many refusals are in progress.
func (s *Server) refuseConnection(conn net.Conn) {
	counters.Add("refused_unauthenticated", 1)
	select {
	case s.refusals <- struct{}{}:
	default:
		conn.Close()
		return
	}
	s.goroutines.Add(1)
	go func() {
		defer s.goroutines.Done()
		defer func() { <-s.refusals }()
		err := result.Errorf(result.TooManyConnections, "%d callers are in their start-up", s.limits.unauthenticated)
		writeAndLinger(conn, appendMessage(nil, errorResponse(severityFatal, err)))
	}()
}

// writeAndLinger sends a last message and closes the connection. Before that it discards data that
// the caller has sent, because the kernel resets a connection that is closed with unread data, and the
// caller may then lose the message.
func writeAndLinger(conn net.Conn, message []byte) {
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(lingerTimeout))
	if _, err := conn.Write(message); err != nil {
		return
	}
	if half, ok := conn.(interface{ CloseWrite() error }); ok {
		half.CloseWrite()
	}
	io.Copy(io.Discard, io.LimitReader(conn, readChunkBytes))
}
