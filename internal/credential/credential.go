// Package credential makes and parses SCRAM-SHA-256 verifiers in the form that PostgreSQL stores.
package credential

import (
	"crypto/sha256"
	"encoding/base64"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/xdg-go/scram"
)

const (
	// Mechanism is the SASL name of the authentication method.
	Mechanism = "SCRAM-SHA-256"
	// DefaultIterations is the iteration count that PostgreSQL uses for new verifiers.
	DefaultIterations = 4096
	// SaltBytes is the length of the salt that PostgreSQL uses for new verifiers.
	SaltBytes = 16
	// minIterations is the lowest iteration count that RFC 7677 allows.
	minIterations = 4096
)

// ErrMalformed is returned for text that is not a SCRAM-SHA-256 verifier.
var ErrMalformed = errors.New("malformed SCRAM-SHA-256 verifier")

// Make derives the verifier of a password: SCRAM-SHA-256$<iterations>:<salt>$<stored key>:<server key>.
// It returns an error if the iteration count is below 4096 or SASLprep rejects the password.
func Make(password string, iterations int, salt []byte) (string, error) {
	if iterations < minIterations {
		return "", fmt.Errorf("%d iterations are fewer than %d", iterations, minIterations)
	}
	client, err := scram.SHA256.NewClient("", password, "")
	if err != nil {
		return "", fmt.Errorf("prepare password: %w", err)
	}
	factors := scram.KeyFactors{Salt: string(salt), Iters: iterations}
	stored, err := client.GetStoredCredentialsWithError(factors)
	if err != nil {
		return "", fmt.Errorf("derive keys: %w", err)
	}
	return Format(stored), nil
}

// Format returns the verifier of stored credentials.
func Format(stored scram.StoredCredentials) string {
	return fmt.Sprintf("%s$%d:%s$%s:%s",
		Mechanism,
		stored.Iters,
		encode([]byte(stored.Salt)),
		encode(stored.StoredKey),
		encode(stored.ServerKey))
}

// Parse parses a verifier. Every error wraps ErrMalformed and contains no part of the verifier.
func Parse(verifier string) (scram.StoredCredentials, error) {
	parts := strings.Split(verifier, "$")
	if len(parts) != 3 || parts[0] != Mechanism {
		return scram.StoredCredentials{}, ErrMalformed
	}
	iterations, salt, err := parseFactors(parts[1])
	if err != nil {
		return scram.StoredCredentials{}, err
	}
	storedKey, serverKey, err := parseKeys(parts[2])
	if err != nil {
		return scram.StoredCredentials{}, err
	}
	return scram.StoredCredentials{
		KeyFactors: scram.KeyFactors{Salt: string(salt), Iters: iterations},
		StoredKey:  storedKey,
		ServerKey:  serverKey,
	}, nil
}

func parseFactors(text string) (int, []byte, error) {
	count, encodedSalt, _ := strings.Cut(text, ":")
	iterations, err := strconv.Atoi(count)
	if err != nil || iterations < minIterations {
		return 0, nil, fmt.Errorf("%w: iteration count", ErrMalformed)
	}
	salt, err := decode(encodedSalt)
	if err != nil || len(salt) == 0 {
		return 0, nil, fmt.Errorf("%w: salt", ErrMalformed)
	}
	return iterations, salt, nil
}

func parseKeys(text string) (storedKey, serverKey []byte, err error) {
	first, second, _ := strings.Cut(text, ":")
	storedKey, err = decode(first)
	if err != nil || len(storedKey) != sha256.Size {
		return nil, nil, fmt.Errorf("%w: stored key", ErrMalformed)
	}
	serverKey, err = decode(second)
	if err != nil || len(serverKey) != sha256.Size {
		return nil, nil, fmt.Errorf("%w: server key", ErrMalformed)
	}
	return storedKey, serverKey, nil
}

func encode(data []byte) string {
	return base64.StdEncoding.EncodeToString(data)
}

func decode(text string) ([]byte, error) {
	return base64.StdEncoding.DecodeString(text)
}
