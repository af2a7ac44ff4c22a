package database

import (
	"crypto/rand"
	"errors"
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/xdg-go/scram"
)

const (
	scramMechanism  = "SCRAM-SHA-256"
	scramIterations = 4096
	secretKeyBytes  = 4
)

// errAuthentication is returned if the client sends another message than SCRAM expects, or if its
// proof of the password is not valid.
var errAuthentication = errors.New("password authentication failed")

func newSecretKey() []byte {
	key := make([]byte, secretKeyBytes)
	rand.Read(key)
	return key
}

// authenticate checks user and password with SCRAM-SHA-256. If no password is configured, it accepts every client.
func (s *session) authenticate(user string) error {
	options := s.target.options
	if options.Password == "" {
		return nil
	}
	s.backend.Send(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{scramMechanism}})
	if err := s.flush(); err != nil {
		return err
	}
	conversation, err := newConversation(options)
	if err != nil {
		return err
	}
	if err := s.exchangeSCRAM(conversation); err != nil || user != options.User {
		return fatalf(sqlStatePassword, "password authentication failed for user %q", user)
	}
	return nil
}

func newConversation(options Options) (*scram.ServerConversation, error) {
	client, err := scram.SHA256.NewClient(options.User, options.Password, "")
	if err != nil {
		return nil, fmt.Errorf("prepare SCRAM: %w", err)
	}
	factors := scram.KeyFactors{Salt: string(newSecretKey()), Iters: scramIterations}
	credentials, err := client.GetStoredCredentialsWithError(factors)
	if err != nil {
		return nil, fmt.Errorf("derive SCRAM keys: %w", err)
	}
	// The user name inside SCRAM is ignored, as in PostgreSQL: clients leave it empty.
	server, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) {
		return credentials, nil
	})
	if err != nil {
		return nil, fmt.Errorf("prepare SCRAM: %w", err)
	}
	return server.NewConversation(), nil
}

// exchangeSCRAM exchanges the four SCRAM messages with the client.
func (s *session) exchangeSCRAM(conversation *scram.ServerConversation) error {
	if err := s.backend.SetAuthType(pgproto3.AuthTypeSASL); err != nil {
		return err
	}
	message, err := s.backend.Receive()
	if err != nil {
		return err
	}
	initial, ok := message.(*pgproto3.SASLInitialResponse)
	if !ok {
		return errAuthentication
	}
	challenge, err := conversation.Step(string(initial.Data))
	if err != nil {
		return err
	}
	s.backend.Send(&pgproto3.AuthenticationSASLContinue{Data: []byte(challenge)})
	if err := s.flush(); err != nil {
		return err
	}
	return s.finishSCRAM(conversation)
}

func (s *session) finishSCRAM(conversation *scram.ServerConversation) error {
	if err := s.backend.SetAuthType(pgproto3.AuthTypeSASLContinue); err != nil {
		return err
	}
	message, err := s.backend.Receive()
	if err != nil {
		return err
	}
	response, ok := message.(*pgproto3.SASLResponse)
	if !ok {
		return errAuthentication
	}
	verifier, err := conversation.Step(string(response.Data))
	if err != nil {
		return err
	}
	if !conversation.Valid() {
		return errAuthentication
	}
	s.backend.Send(&pgproto3.AuthenticationSASLFinal{Data: []byte(verifier)})
	return nil
}
