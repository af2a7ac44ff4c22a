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

// openSession authenticates the caller, opens the session and sends the greeting.
func (s *Server) openSession(conn net.Conn, request startup) (*session, error) {
	if request.negotiate != nil {
		if _, err := conn.Write(appendMessage(nil, request.negotiate)); err != nil {
			return nil, err
		}
	}
	known, err := s.options.Directory.Credential(request.workspace, request.group, request.user)
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
	if err := s.begin(session); err != nil {
		s.sessions.dismiss()
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

// begin opens the routing side and sends the messages that end the start-up.
func (s *Server) begin(session *session) error {
	ctx, cancel := context.WithTimeout(s.ending, startupTimeout)
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
	session.greet()
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

// openError makes every error of the routing side one that can be sent to the caller.
func openError(err error) error {
	var e *result.Error
	if errors.As(err, &e) {
		return e
	}
	return result.Errorf(result.Internal, "the session could not be opened")
}

// greet sends the greeting. A failure shows at the first read.
func (s *session) greet() {
	if err := s.write(s.greeting()); err != nil {
		return
	}
	clearDeadline(s.conn)
}

// greeting is AuthenticationOk, the parameters, the cancel key and ReadyForQuery.
func (s *session) greeting() []byte {
	out := appendMessage(nil, &pgproto3.AuthenticationOk{})
	for _, status := range s.statuses() {
		out = appendMessage(out, &status)
	}
	out = appendMessage(out, &pgproto3.BackendKeyData{ProcessID: s.processID, SecretKey: s.secretBytes()})
	return appendMessage(out, &pgproto3.ReadyForQuery{TxStatus: StatusIdle})
}

// startupFields of the start-up message are no run-time parameters.
var startupFields = []string{"user", "database", "options", "replication"}

// applyStartup takes over the run-time parameters of the start-up message.
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
	s.freezeInitial()
	return nil
}

// parseOptions reads -c name=value and --name=value; a backslash protects a blank.
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
