package operator

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"

	"github.com/papayacove/papayacove/internal/result"
)

const (
	changeIDSeparator   = "."
	changeIDParts       = 4
	changeIDRandomBytes = 8
)

// ChangeID identifies a change. It names the object and the version that the change replaces,
// so that Editor.Resolve can determine its outcome later.
type ChangeID struct {
	Kind string
	Name string
	// Base is the version that the change replaces; 0 for a creation.
	Base uint64
	// Unique is a random part that distinguishes changes of the same version.
	Unique string
}

// newChangeID returns an id with a random part.
func newChangeID(kind, name string, base uint64) ChangeID {
	random := make([]byte, changeIDRandomBytes)
	// Read of crypto/rand never returns an error.
	_, _ = rand.Read(random)
	return ChangeID{Kind: kind, Name: name, Base: base, Unique: hex.EncodeToString(random)}
}

// String returns the id as kind.name.base.unique.
func (id ChangeID) String() string {
	base := strconv.FormatUint(id.Base, 10)
	return strings.Join([]string{id.Kind, id.Name, base, id.Unique}, changeIDSeparator)
}

// ParseChangeID parses the text that ChangeID.String returns. The error carries ObjectInvalid.
func ParseChangeID(text string) (ChangeID, error) {
	parts := strings.Split(text, changeIDSeparator)
	if len(parts) != changeIDParts {
		return ChangeID{}, malformedChangeID(text)
	}
	base, err := strconv.ParseUint(parts[2], 10, 64)
	if err != nil {
		return ChangeID{}, malformedChangeID(text)
	}
	if _, err := newDocument(parts[0]); err != nil {
		return ChangeID{}, malformedChangeID(text)
	}
	return ChangeID{Kind: parts[0], Name: parts[1], Base: base, Unique: parts[3]}, nil
}

func malformedChangeID(text string) error {
	return fmt.Errorf("parse change id: %w",
		result.Errorf(result.ObjectInvalid, "change id %q: want kind.name.version.random", text))
}
