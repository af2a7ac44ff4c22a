package frontend

import (
	"crypto/tls"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"slices"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/papayacove/papayacove/internal/logevent"
	"github.com/papayacove/papayacove/internal/logfield"
	"github.com/papayacove/papayacove/internal/result"
)

const (
	cancelRequestCode = 80877102
	sslRequestCode    = 80877103
	gssRequestCode    = 80877104

	protocolMajor = 3
	// codeBytes is the size of the code in a start-up packet, and of the process id and key in a cancel request.
	codeBytes = 4
	// maxStartupBytes is the largest start-up packet that is accepted.
	maxStartupBytes = 10_000
	// maxStartupRounds is the number of start-up packets that are read, encryption requests included.
	maxStartupRounds = 4
	// protocolOptionPrefix begins the names of protocol extensions in the start-up message.
	protocolOptionPrefix = "_pq_."
)

// startup is a parsed start-up message.
type startup struct {
	user       string
	workspace  string
	group      string
	parameters map[string]string
	// negotiate is the answer to a caller that requests more than protocol 3.0; nil otherwise.
	negotiate *pgproto3.NegotiateProtocolVersion
}

// startUp runs the start-up of one connection. Session and error are both nil when the connection
// ends without a session, for example after a cancel request. A returned error has already been sent
// to the caller, unless the connection failed.
func (s *Server) startUp(conn net.Conn) (*session, error) {
	secured, request, err := s.receiveStartup(conn)
	if err != nil {
		return nil, s.refuseStartup(secured, err)
	}
	if request == nil {
		return nil, nil
	}
	session, err := s.openSession(secured, *request)
	if err != nil {
		return nil, s.refuseStartup(secured, err)
	}
	return session, nil
}

// refuseStartup sends err to the caller as the reason why the session does not start, and returns it. While the server
// stops, an error with sqlStateAdminShutdown replaces err; otherwise nothing is sent when the connection has failed.
func (s *Server) refuseStartup(conn net.Conn, err error) error {
	if s.sessions.isStopping() {
		err = &failure{sqlStateAdminShutdown, "the daemon is being stopped"}
	}
	if isConnectionLoss(err) {
		return err
	}
	counters.Add("refused_startup", 1)
	writeAndLinger(conn, appendMessage(nil, errorResponse(severityFatal, err)))
	return err
}

// isConnectionLoss reports whether the connection has failed, so that no error can be sent.
func isConnectionLoss(err error) bool {
	var e *result.Error
	var f *failure
	return !errors.As(err, &e) && !errors.As(err, &f)
}

// receiveStartup answers encryption and cancel requests until the start-up message arrives. It returns
// the encrypted connection if TLS was agreed on, and no start-up message after a cancel request.
func (s *Server) receiveStartup(conn net.Conn) (net.Conn, *startup, error) {
	for range maxStartupRounds {
		code, body, err := readStartupPacket(conn)
		if err != nil {
			return conn, nil, err
		}
		switch code {
		case sslRequestCode:
			conn, err = s.answerSSLRequest(conn)
		case gssRequestCode:
			_, err = conn.Write([]byte{'N'})
		case cancelRequestCode:
			s.cancel(body)
			return conn, nil, nil
		default:
			request, err := s.acceptStartup(conn, code, body)
			return conn, request, err
		}
		if err != nil {
			return conn, nil, err
		}
	}
	return conn, nil, result.Errorf(result.ProtocolViolation, "no start-up message after %d requests", maxStartupRounds)
}

// readStartupPacket reads one packet without a type byte and returns its code and body. It reads no
// byte beyond the packet, so that data sent unencrypted after an encryption request is not processed
// as if it had been encrypted.
func readStartupPacket(source io.Reader) (uint32, []byte, error) {
	var header [lengthBytes + codeBytes]byte
	if _, err := io.ReadFull(source, header[:]); err != nil {
		return 0, nil, err
	}
	length := binary.BigEndian.Uint32(header[:])
	code := binary.BigEndian.Uint32(header[lengthBytes:])
	if length < lengthBytes+codeBytes || length > maxStartupBytes {
		return 0, nil, result.Errorf(result.ProtocolViolation, "start-up packet of %d bytes", length)
	}
	body := make([]byte, length-lengthBytes-codeBytes)
	if _, err := io.ReadFull(source, body); err != nil {
		return 0, nil, err
	}
	return code, body, nil
}

func (s *Server) answerSSLRequest(conn net.Conn) (net.Conn, error) {
	_, isEncrypted := conn.(*tls.Conn)
	if s.options.TLS == nil || isEncrypted {
		_, err := conn.Write([]byte{'N'})
		return conn, err
	}
	if _, err := conn.Write([]byte{'S'}); err != nil {
		return conn, err
	}
	encrypted := tls.Server(conn, s.options.TLS)
	if err := encrypted.Handshake(); err != nil {
		return conn, err
	}
	return encrypted, nil
}

// acceptStartup parses a start-up message. It refuses an unencrypted connection when TLS is required.
func (s *Server) acceptStartup(conn net.Conn, code uint32, body []byte) (*startup, error) {
	if _, isEncrypted := conn.(*tls.Conn); s.options.RequireTLS && !isEncrypted {
		return nil, &failure{sqlStateInvalidAuthorization, "this daemon requires TLS (sslmode=require)"}
	}
	return parseStartup(code, body)
}

// parseStartup parses a start-up message of protocol 3.
func parseStartup(code uint32, body []byte) (*startup, error) {
	if code>>16 != protocolMajor {
		return nil, result.Errorf(result.ProtocolViolation, "protocol %d.%d is not supported", code>>16, code&0xffff)
	}
	packet := binary.BigEndian.AppendUint32(nil, pgproto3.ProtocolVersion30)
	packet = append(packet, body...)
	var message pgproto3.StartupMessage
	if err := message.Decode(packet); err != nil {
		return nil, result.Errorf(result.ProtocolViolation, "malformed start-up message")
	}
	request := &startup{user: message.Parameters["user"], parameters: message.Parameters}
	if request.user == "" {
		return nil, result.Errorf(result.AuthenticationFailed, "the start-up message names no user")
	}
	request.negotiate = negotiation(code&0xffff, message.Parameters)
	var err *result.Error
	request.workspace, request.group, err = splitDatabase(message.Parameters["database"])
	if err != nil {
		return nil, err
	}
	return request, nil
}

// negotiation returns the answer to a caller that requests a newer minor version or protocol extensions, or nil.
func negotiation(minor uint32, parameters map[string]string) *pgproto3.NegotiateProtocolVersion {
	var unrecognized []string
	for name := range parameters {
		if strings.HasPrefix(name, protocolOptionPrefix) {
			unrecognized = append(unrecognized, name)
		}
	}
	if minor == 0 && len(unrecognized) == 0 {
		return nil
	}
	slices.Sort(unrecognized)
	return &pgproto3.NegotiateProtocolVersion{
		NewestMinorProtocol: pgproto3.ProtocolVersion30,
		UnrecognizedOptions: unrecognized,
	}
}

// splitDatabase splits a database name of the form <workspace>.<group> or <workspace>/<group>.
func splitDatabase(database string) (workspace, group string, err *result.Error) {
	i := strings.IndexAny(database, "./")
	if i <= 0 || i == len(database)-1 {
		return "", "", result.Errorf(result.UnknownWorkspace, "database %q is not of the form workspace.group", database)
	}
	return database[:i], database[i+1:], nil
}

// cancel processes a cancel request. The protocol has no answer that reports whether a session was found.
func (s *Server) cancel(body []byte) {
	counters.Add("cancel_requests", 1)
	if len(body) != 2*codeBytes {
		return
	}
	processID := binary.BigEndian.Uint32(body)
	secretKey := binary.BigEndian.Uint32(body[codeBytes:])
	if s.Cancel(processID, secretKey) {
		return
	}
	if s.options.ForwardCancel != nil {
		s.options.ForwardCancel(processID, secretKey)
	}
}

// Cancel requests that the target cancel the running batch of a session of this daemon. It returns
// false when no session has this process id and secret key. It may be called concurrently.
func (s *Server) Cancel(processID, secretKey uint32) bool {
	session := s.sessions.get(processID)
	if session == nil || !session.hasSecret(secretKey) {
		return false
	}
	s.log.WithField(logfield.Session, session.info.ID).Info(logevent.CancelRequested)
	session.runner.Cancel()
	return true
}
