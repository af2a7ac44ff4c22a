// Package callers decides which workspace a caller belongs to, by the key that the caller states.
//
// Keys are compared by digest, and no key is kept.
package callers

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
)

// digestBytes is the length of a digest. Half of a SHA-256 digest is enough: keys are not chosen by callers.
const digestBytes = 16

// KeyDigest is the digest of a key. The zero value stands for no key.
type KeyDigest [digestBytes]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) KeyDigest {
	var digest KeyDigest
	sum := sha256.Sum256([]byte(key))
	copy(digest[:], sum[:])
	return digest
}

// IsZero reports whether the digest stands for no key.
func (d KeyDigest) IsZero() bool { return d == KeyDigest{} }

// Hex returns the digest in hexadecimal digits, and an empty text for no key.
func (d KeyDigest) Hex() string {
	if d.IsZero() {
		return ""
	}
	return hex.EncodeToString(d[:])
}

// ParseDigest parses what Hex returns.
func ParseDigest(text string) (KeyDigest, error) {
	var digest KeyDigest
	if text == "" {
		return digest, nil
	}
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != digestBytes {
		return KeyDigest{}, fmt.Errorf("key digest of %d characters", len(text))
	}
	copy(digest[:], raw)
	return digest, nil
}

// Limit bounds the operations of a workspace over all daemons.
type Limit struct {
	// RatePerS is the number of operations a second; 0 for no limit.
	RatePerS float64
	// Burst is the number of operations beyond the rate that may come at once.
	Burst float64
}

// Workspace is one workspace with the keys of its callers.
type Workspace struct {
	Name string
	Keys []string
	Limit
}

// Identity says on whose behalf a session runs. The zero value stands for a caller that is not told apart from others.
type Identity struct {
	// Workspace is the name of the workspace, which targets are told.
	Workspace string
	// Key is the digest of the caller's key. The session ends when the key is withdrawn.
	Key KeyDigest
}

// Directory holds the keys and limits of the workspaces of one configuration. It does not change. A nil Directory is that of
// a configuration that does not tell callers apart.
type Directory struct {
	byKey  map[KeyDigest]string
	limits map[string]Limit
}

// NewDirectory returns the directory of the workspaces, without what Resolve leaves out.
func NewDirectory(workspaces []Workspace) *Directory {
	entries := make([]Entry, len(workspaces))
	for i, w := range workspaces {
		entries[i].Workspace = w
	}
	directory, _ := Resolve(entries)
	return directory
}

// WorkspaceOf returns the workspace that holds a key.
func (d *Directory) WorkspaceOf(key KeyDigest) (string, bool) {
	name, ok := d.byKey[key]
	return name, ok
}

// LimitOf returns the limit of a workspace; false when there is no such workspace.
func (d *Directory) LimitOf(workspace string) (Limit, bool) {
	if d == nil {
		return Limit{}, false
	}
	limit, ok := d.limits[workspace]
	return limit, ok
}

// Limits returns the limits by workspace, which must not be changed.
func (d *Directory) Limits() map[string]Limit { return d.limits }

// Identify returns the identity of a caller that states a key, which is zero when callers are not told apart or the route
// is open to all. It returns false when no workspace holds the key.
func (d *Directory) Identify(key KeyDigest, isPublic bool) (Identity, bool) {
	if d == nil || isPublic {
		return Identity{}, true
	}
	workspace, ok := d.byKey[key]
	if !ok {
		return Identity{}, false
	}
	return Identity{Workspace: workspace, Key: key}, true
}

// Holds reports whether an identity is still valid: its workspace holds its key. The zero identity always is, and so is
// each while callers are not told apart.
func (d *Directory) Holds(identity Identity) bool {
	if d == nil || identity.Workspace == "" {
		return true
	}
	workspace, ok := d.byKey[identity.Key]
	return ok && workspace == identity.Workspace
}
