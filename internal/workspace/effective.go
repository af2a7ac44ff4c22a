// Package workspace derives the configuration in force from the objects that operators declare.
//
// Resolve checks one workspace against its template and the database groups. Catalog holds the
// newest objects known to a daemon and the result of resolving them. A configuration is in force if
// the daemon applies it; as a rule this is the newest version that is valid.
package workspace

import (
	"slices"
	"time"

	"github.com/papayacove/papayacove/internal/config"
)

// The built-in values of the properties that a template does not map to a parameter.
const (
	DefaultConnections      = 35
	DefaultReplicationWait  = 2 * time.Second
	DefaultStatementTimeout = 30 * time.Second
)

// NoStaleness is the staleness of reads that see every confirmed write. As an allowed age in other packages, such as
// frontend.Credential.MaxAge, a negative value means that the age is not checked, only the minimum position.
const NoStaleness time.Duration = -1

// Problem describes a value that is out of bounds.
type Problem = config.Problem

// User is an account of a workspace.
type User struct {
	// Verifier is a SCRAM-SHA-256 verifier; it is never logged.
	Verifier string
	// MaxStaleness is the maximum age of the data that reads return; negative means that no staleness is allowed.
	MaxStaleness time.Duration
}

// Effective is the configuration in force of one workspace.
type Effective struct {
	Name string
	// Groups are the names of the database groups, in the order that the workspace lists them.
	Groups []string
	// Zones are the availability zones whose targets serve reads; empty means all zones.
	Zones []string
	// MaxStaleness is the maximum age of the data that reads return; negative means that no staleness is allowed.
	MaxStaleness time.Duration
	// Connections is the maximum number of caller connections.
	Connections int
	// Slots is the maximum number of slots of one target used at a time; 0 means all slots.
	Slots int
	// ReplicationWait is the maximum time that a commit waits for a replica.
	ReplicationWait time.Duration
	// StatementTimeout is the maximum duration of a statement batch.
	StatementTimeout time.Duration
	Users            map[string]User
	// Revision is the higher of the versions of the workspace and the template that this was resolved from.
	Revision uint64
}

// ReadsIn reports whether targets in an availability zone serve reads of the workspace.
func (e Effective) ReadsIn(zone string) bool {
	return len(e.Zones) == 0 || slices.Contains(e.Zones, zone)
}

// HasGroup reports whether the workspace uses the group.
func (e Effective) HasGroup(group string) bool {
	for _, name := range e.Groups {
		if name == group {
			return true
		}
	}
	return false
}
