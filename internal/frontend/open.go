package frontend

import (
	"context"
	"errors"
	"net"
	"slices"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/papayacove/papayacove/internal/logevent"
	"github.com/papayacove/papayacove/internal/logfield"
	"github.com/papayacove/papayacove/internal/result"
	"github.com/sirupsen/logrus"
)

// openSession authenticates the caller, opens its session and sends the messages that complete the start-up.
func (s *Server) openSession(conn net.Conn, request startup) (*session, error) {
	if request.negotiate != nil {
		if _, err := conn.Write(appendMessage(nil, request.negotiate)); err != nil {
			return nil, err
		}
	}
	known, err := s.options.Credentials.Credential(request.workspace, request.group, request.user)
	isUnknownUser := result.CodeOf(err) == result.AuthenticationFailed
	if err != nil && !isUnknownUser {
		return nil, err
	}
	if err := s.authenticate(conn, request.user, known, isUnknownUser); err != nil {
		return nil, err
	}
	session := s.newSession(conn, request, known)
	if err := session.settings.applyStartup(request.parameters); err != nil {
		return nil, err
	}
	if err := s.sessions.admit(s.limits.callers); err != nil {
		counters.Add("refused_too_many", 1)
		return nil, err
	}
	if err := s.activate(session); err != nil {
		s.sessions.cancelAdmission()
		return nil, err
	}
	return session, nil
}

func (s *Server) newSession(conn net.Conn, request startup, known Credential) *session {
	created := &session{
		server: s,
		conn:   conn,
		reader: messageReader{source: conn, maxMessage: s.limits.messageBytes},
		info: Session{
			ID:        newSessionID(s.options.Name),
			Workspace: request.workspace,
			User:      request.user,
			Group:     request.group,
		},
		status: StatusIdle,
	}
	created.settings.maxAge = known.MaxAge
	return created
}

// activate opens the runner of the session, registers the session and sends the messages that complete the start-up.
func (s *Server) activate(session *session) error {
	ctx, cancel := context.WithTimeout(s.sessionContext, startupTimeout)
	defer cancel()
	runner, err := s.options.Runner.Open(ctx, session.info)
	if err != nil {
		return openError(err)
	}
	session.runner = runner
	if err := s.sessions.add(session); err != nil {
		runner.Close()
		return err
	}
	session.sendStartupResponse()
	counters.Add("sessions_opened", 1)
	counters.Add("sessions_open", 1)
	s.log.WithFields(logrus.Fields{
		logfield.Session:   session.info.ID,
		logfield.Workspace: session.info.Workspace,
		logfield.Group:     session.info.Group,
		logfield.User:      session.info.User,
		logfield.Caller:    session.conn.RemoteAddr(),
	}).Info(logevent.SessionOpened)
	return nil
}

// openError returns an error that can be sent to the caller: the *result.Error that err wraps, or one with the code
// Internal when it wraps none.
func openError(err error) error {
	var e *result.Error
	if errors.As(err, &e) {
		return e
	}
	return result.Errorf(result.Internal, "the session could not be opened")
}

// sendStartupResponse sends the messages that complete the start-up and clears its deadline. When the write fails,
// the first read of the session reports the failure.
func (s *session) sendStartupResponse() {
	if err := s.write(s.startupResponse()); err != nil {
		return
	}
	clearDeadline(s.conn)
}

// startupResponse returns AuthenticationOk, the reported parameters, the cancel key and ReadyForQuery.
func (s *session) startupResponse() []byte {
	out := appendMessage(nil, &pgproto3.AuthenticationOk{})
	for _, status := range s.statuses() {
		out = appendMessage(out, &status)
	}
	out = appendMessage(out, &pgproto3.BackendKeyData{ProcessID: s.processID, SecretKey: s.secretBytes()})
	return appendMessage(out, &pgproto3.ReadyForQuery{TxStatus: StatusIdle})
}

// startupFields are the parameters of the start-up message that are not run-time parameters.
var startupFields = []string{"user", "database", "options", "replication"}

// applyStartup applies the run-time parameters of the start-up message. RESET restores them from then on.
func (s *sessionSettings) applyStartup(startupParameters map[string]string) *result.Error {
	if value := startupParameters["replication"]; value != "" && !slices.Contains([]string{"off", "false", "no", "0"}, value) {
		return result.Errorf(result.Unsupported, "replication connections are not supported")
	}
	assignments, err := parseOptions(startupParameters["options"])
	if err != nil {
		return err
	}
	for name, value := range startupParameters {
		if slices.Contains(startupFields, name) || strings.HasPrefix(name, protocolOptionPrefix) {
			continue
		}
		assignments = append(assignments, assignment{name: strings.ToLower(name), value: value})
	}
	for _, a := range assignments {
		if err := s.assign(a); err != nil {
			return err
		}
	}
	s.saveInitial()
	return nil
}

// parseOptions parses the options parameter, a sequence of -c name=value and --name=value. A blank in a value is
// escaped by a backslash.
func parseOptions(text string) ([]assignment, *result.Error) {
	var assignments []assignment
	words := splitOptions(text)
	for i := 0; i < len(words); i++ {
		word := words[i]
		switch {
		case word == "-c" && i+1 < len(words):
			i++
			word = words[i]
		case strings.HasPrefix(word, "--"):
			word = word[len("--"):]
		case strings.HasPrefix(word, "-c"):
			word = word[len("-c"):]
		default:
			return nil, result.Errorf(result.Unsupported, "start-up option %q is not supported", word)
		}
		name, value, hasValue := strings.Cut(word, "=")
		if !hasValue {
			return nil, result.Errorf(result.Unsupported, "start-up option %q has no value", name)
		}
		name = strings.ReplaceAll(strings.ToLower(name), "-", "_")
		assignments = append(assignments, assignment{name: name, value: value})
	}
	return assignments, nil
}

// splitOptions splits text at blanks that no backslash escapes.
func splitOptions(text string) []string {
	var words []string
	var word strings.Builder
	for i := 0; i < len(text); i++ {
		c := text[i]
		switch {
		case c == '\\' && i+1 < len(text):
			i++
			word.WriteByte(text[i])
		case strings.IndexByte(" \t\n\r", c) >= 0:
			if word.Len() > 0 {
				words = append(words, word.String())
				word.Reset()
			}
		default:
			word.WriteByte(c)
		}
	}
	if word.Len() > 0 {
		words = append(words, word.String())
	}
	return words
}
