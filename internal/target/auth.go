package target

import (
	"encoding/binary"
	"errors"
	"fmt"
	"slices"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/xdg-go/scram"
)

const scramMechanism = "SCRAM-SHA-256"

// authenticate answers one authentication request of the target. Only trust and SCRAM-SHA-256 are
// accepted, so that the password is never sent in the clear. Other methods fail with
// ErrAuthentication.
func (l *link) authenticate(body []byte, options Options) error {
	if len(body) < 4 {
		return errors.New("authentication request is too short")
	}
	switch request := binary.BigEndian.Uint32(body); request {
	case pgproto3.AuthTypeOk:
		return nil
	case pgproto3.AuthTypeSASL:
		return l.authenticateSCRAM(body, options)
	default:
		return fmt.Errorf("%w: unsupported authentication method %d", ErrAuthentication, request)
	}
}

func (l *link) authenticateSCRAM(body []byte, options Options) error {
	var offer pgproto3.AuthenticationSASL
	if err := offer.Decode(body); err != nil {
		return fmt.Errorf("decode SASL offer: %w", err)
	}
	if !slices.Contains(offer.AuthMechanisms, scramMechanism) {
		return fmt.Errorf("%w: target does not offer %s", ErrAuthentication, scramMechanism)
	}
	client, err := scram.SHA256.NewClient(options.User, options.Password, "")
	if err != nil {
		return fmt.Errorf("prepare SCRAM: %w", err)
	}
	conversation := client.NewConversation()
	first, err := conversation.Step("")
	if err != nil {
		return fmt.Errorf("start SCRAM: %w", err)
	}
	initial := &pgproto3.SASLInitialResponse{AuthMechanism: scramMechanism, Data: []byte(first)}
	challenge, err := l.exchange(initial, pgproto3.AuthTypeSASLContinue)
	if err != nil {
		return err
	}
	proof, err := conversation.Step(challenge)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrAuthentication, err)
	}
	verifier, err := l.exchange(&pgproto3.SASLResponse{Data: []byte(proof)}, pgproto3.AuthTypeSASLFinal)
	if err != nil {
		return err
	}
	if _, err := conversation.Step(verifier); err != nil {
		return fmt.Errorf("%w: target did not prove that it knows the password: %w", ErrAuthentication, err)
	}
	return nil
}

// exchange sends a SASL message and returns the data of the reply, which must be an authentication
// request of type want.
func (l *link) exchange(message pgproto3.FrontendMessage, want uint32) (string, error) {
	encoded, err := message.Encode(nil)
	if err != nil {
		return "", fmt.Errorf("encode SASL message: %w", err)
	}
	if err := l.wire.writeAndFlush(encoded); err != nil {
		return "", fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	messageType, body, err := l.wire.readRaw()
	if err != nil {
		return "", fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	if messageType == messageError {
		return "", startUpError(body)
	}
	if messageType != messageAuthentication || len(body) < 4 || binary.BigEndian.Uint32(body) != want {
		return "", fmt.Errorf("unexpected message %q during SASL", messageType)
	}
	return string(body[4:]), nil
}
