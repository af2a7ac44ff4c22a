package target

import (
	"encoding/binary"
	"errors"
	"fmt"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
)

// Types of backend messages that the adapter reads itself.
const (
	messageAuthentication  = 'R'
	messageBackendKeyData  = 'K'
	messageCommandComplete = 'C'
	messageDataRow         = 'D'
	messageError           = 'E'
	messageNotice          = 'N'
	messageParameterStatus = 'S'
	messageReadyForQuery   = 'Z'
	messageRowDescription  = 'T'
)

// startUp sends the start-up message, authenticates and reads messages up to the first
// ReadyForQuery.
func (l *link) startUp(options Options, parameters map[string]string) error {
	message := pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters:      startUpParameters(options, parameters),
	}
	encoded, err := message.Encode(nil)
	if err != nil {
		return fmt.Errorf("encode start-up message: %w", err)
	}
	if err := l.wire.writeAndFlush(encoded); err != nil {
		return fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	for {
		messageType, body, err := l.wire.readRaw()
		if err != nil {
			return fmt.Errorf("%w: %w", ErrUnreachable, err)
		}
		done, err := l.handleStartUp(messageType, body, options)
		if done || err != nil {
			return err
		}
	}
}

func startUpParameters(options Options, parameters map[string]string) map[string]string {
	merged := make(map[string]string, len(parameters)+3)
	if options.ApplicationName != "" {
		merged["application_name"] = options.ApplicationName
	}
	for name, value := range parameters {
		merged[name] = value
	}
	merged["user"] = options.User
	merged["database"] = options.Database
	return merged
}

func (l *link) handleStartUp(messageType byte, body []byte, options Options) (done bool, err error) {
	switch messageType {
	case messageAuthentication:
		return false, l.authenticate(body, options)
	case messageParameterStatus:
		return false, l.storeParameter(body)
	case messageBackendKeyData:
		return false, l.storeKey(body)
	case messageNotice:
		return false, nil
	case messageError:
		return false, startUpError(body)
	case messageReadyForQuery:
		return true, nil
	default:
		return false, fmt.Errorf("unexpected message %q during start-up", messageType)
	}
}

func (l *link) storeParameter(body []byte) error {
	var status pgproto3.ParameterStatus
	if err := status.Decode(body); err != nil {
		return fmt.Errorf("decode parameter status: %w", err)
	}
	l.parameters[status.Name] = status.Value
	return nil
}

func (l *link) storeKey(body []byte) error {
	const keyDataBytes = 8
	if len(body) != keyDataBytes {
		return fmt.Errorf("backend key data has %d bytes", len(body))
	}
	l.processID = binary.BigEndian.Uint32(body)
	l.secretKey = binary.BigEndian.Uint32(body[4:])
	return nil
}

// startUpError converts an ErrorResponse during start-up to ErrNoSlot, ErrAuthentication or, for all
// other SQLSTATE values, ErrUnreachable.
func startUpError(body []byte) error {
	err := decodeServerError(body)
	var refusal *ServerError
	if !errors.As(err, &refusal) {
		return err
	}
	switch {
	case refusal.SQLState == sqlStateTooManyConnections:
		return fmt.Errorf("%w: %w", ErrNoSlot, refusal)
	case strings.HasPrefix(refusal.SQLState, sqlStateClassAuthorization):
		return fmt.Errorf("%w: %w", ErrAuthentication, refusal)
	default:
		return fmt.Errorf("%w: %w", ErrUnreachable, refusal)
	}
}
