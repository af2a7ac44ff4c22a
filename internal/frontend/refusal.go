package frontend

import (
	"io"
	"net"
	"time"

	"github.com/papayacove/papayacove/internal/result"
)

// refuseConnection answers TooManyConnections at once and closes the connection.
func (s *Server) refuseConnection(conn net.Conn) {
	counters.Add("refused_unauthenticated", 1)
	select {
	case s.refusals <- struct{}{}:
	default:
		conn.Close()
		return
	}
	s.work.Add(1)
	go func() {
		defer s.work.Done()
		defer func() { <-s.refusals }()
		err := result.Errorf(result.TooManyConnections, "%d callers are in their start-up", s.limits.unauthenticated)
		writeAndLinger(conn, appendMessage(nil, errorResponse(severityFatal, err)))
	}()
}

// writeAndLinger sends a last message and reads what the caller has sent, since closing a
// connection with unread data would make the kernel drop the message.
func writeAndLinger(conn net.Conn, message []byte) {
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(refusalLinger))
	if _, err := conn.Write(message); err != nil {
		return
	}
	if half, ok := conn.(interface{ CloseWrite() error }); ok {
		half.CloseWrite()
	}
	io.Copy(io.Discard, io.LimitReader(conn, growthBytes))
}
