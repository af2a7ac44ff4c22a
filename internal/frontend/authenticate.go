package frontend

import (
	"crypto/hmac"
	"crypto/sha256"
	"io"
	"net"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/papayacove/papayacove/internal/credential"
	"github.com/papayacove/papayacove/internal/logevent"
	"github.com/papayacove/papayacove/internal/logfield"
	"github.com/papayacove/papayacove/internal/result"
	"github.com/xdg-go/scram"
)

const (
	// passwordMessage is the type byte of the messages that a caller sends during authentication.
	passwordMessage = 'p'
	// maxPasswordBytes is the largest message that a caller may send during authentication.
	maxPasswordBytes = 4096
)

// authenticate runs SCRAM-SHA-256. A user without a verifier is admitted without a password. For an
// unknown user the whole exchange runs with a verifier that no password matches, so that a caller
// cannot distinguish an unknown user from a wrong password.
func (s *Server) authenticate(conn net.Conn, user string, known Credential, isUnknownUser bool) error {
	if !isUnknownUser && known.Verifier == "" {
		return nil
	}
	stored := s.mockCredentials(user)
	if !isUnknownUser {
		var err error
		stored, err = credential.Parse(known.Verifier)
		if err != nil {
			s.log.WithField(logfield.User, user).Error(logevent.VerifierMalformed)
			return authenticationFailed(user)
		}
	}
	lookup := func(string) (scram.StoredCredentials, error) { return stored, nil }
	server, err := scram.SHA256.NewServer(lookup)
	if err != nil {
		return result.Errorf(result.Internal, "authentication cannot start")
	}
	if err := exchange(conn, server.NewConversation(), user); err != nil {
		counters.Add("authentication_failed", 1)
		return err
	}
	return nil
}

func authenticationFailed(user string) *result.Error {
	return result.Errorf(result.AuthenticationFailed, "password authentication failed for user %q", user)
}

// mockCredentials returns keys that match no password. On one server they depend on the user only: a
// salt that changed between attempts would reveal that the user does not exist.
func (s *Server) mockCredentials(user string) scram.StoredCredentials {
	return scram.StoredCredentials{
		KeyFactors: scram.KeyFactors{
			Salt:  string(s.mockBytes("salt", user)[:credential.SaltBytes]),
			Iters: credential.DefaultIterations,
		},
		StoredKey: s.mockBytes("stored", user),
		ServerKey: s.mockBytes("server", user),
	}
}

func (s *Server) mockBytes(purpose, user string) []byte {
	mac := hmac.New(sha256.New, s.mockSecret[:])
	io.WriteString(mac, purpose+"\x00"+user)
	return mac.Sum(nil)
}

// exchange sends and receives the messages of one SCRAM conversation.
func exchange(conn net.Conn, conversation *scram.ServerConversation, user string) error {
	offer := &pgproto3.AuthenticationSASL{AuthMechanisms: []string{credential.Mechanism}}
	body, err := requestPasswordMessage(conn, offer)
	if err != nil {
		return err
	}
	var first pgproto3.SASLInitialResponse
	if err := first.Decode(body); err != nil {
		return result.Errorf(result.ProtocolViolation, "malformed SASLInitialResponse")
	}
	if first.AuthMechanism != credential.Mechanism {
		return result.Errorf(result.ProtocolViolation, "SASL mechanism %q was not offered", first.AuthMechanism)
	}
	challenge, err := conversation.Step(string(first.Data))
	if err != nil {
		return result.Errorf(result.ProtocolViolation, "malformed SCRAM message")
	}
	proof, err := requestPasswordMessage(conn, &pgproto3.AuthenticationSASLContinue{Data: []byte(challenge)})
	if err != nil {
		return err
	}
	final, err := conversation.Step(string(proof))
	if err != nil || !conversation.Valid() {
		return authenticationFailed(user)
	}
	_, err = conn.Write(appendMessage(nil, &pgproto3.AuthenticationSASLFinal{Data: []byte(final)}))
	return err
}

// requestPasswordMessage sends an authentication request and returns the body of the answer. It returns
// ProtocolViolation when the answer is another message or more data follows it.
func requestPasswordMessage(conn net.Conn, request pgproto3.BackendMessage) ([]byte, error) {
	if _, err := conn.Write(appendMessage(nil, request)); err != nil {
		return nil, err
	}
	reader := messageReader{source: io.LimitReader(conn, maxPasswordBytes), maxMessage: maxPasswordBytes}
	defer reader.discard()
	kind, message, err := reader.next(nil)
	if err != nil {
		return nil, err
	}
	if kind != passwordMessage || !reader.isEmpty() {
		return nil, result.Errorf(result.ProtocolViolation, "message %q during authentication", kind)
	}
	return message[headerBytes:], nil
}
