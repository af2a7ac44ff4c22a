// Package workspace turns the objects that operators declare into the configuration in force.
//
// Resolve checks one workspace against its template and the database groups. Catalog keeps the
// newest objects of a daemon and the result of resolving them.
package workspace

import (
	"slices"
	"time"

	"github.com/papayacove/papayacove/internal/config"
)

// Built-in values of properties that a template does not map to a parameter.
const (
	DefaultConnections      = 35
	DefaultReplicationWait  = 2 * time.Second
	DefaultStatementTimeout = 30 * time.Second
)

// NoStaleness means that reads see every confirmed write.
const NoStaleness time.Duration = -1

// Problem names a value that is out of bounds.
type Problem = config.Problem

// User is an account of a workspace.
type User struct {
	// Verifier is a SCRAM-SHA-256 verifier; it is never logged.
	Verifier string
	// MaxStaleness is the allowed age of reads; negative for none.
	MaxStaleness time.Duration
}

// Effective is the configuration of one workspace that is in force.
type Effective struct {
	Name string
	// Groups are the database groups, in the order of the workspace.
	Groups []string
	// Zones are the availability zones whose targets serve reads; empty for all.
	Zones []string
	// MaxStaleness is the allowed age of reads; negative for none.
	MaxStaleness time.Duration
	// Connections is the largest number of caller connections.
	Connections int
	// Slots is the largest number of slots used of one target at a time; 0 for all.
	Slots int
	// ReplicationWait is the time that a commit waits for a replica.
	ReplicationWait time.Duration
	// StatementTimeout is the time that a statement batch may take.
	StatementTimeout time.Duration
	Users            map[string]User
	// Revision is the newest version of the objects that this was resolved from.
	Revision uint64
}

// ReadsIn reports whether targets of an availability zone serve reads of the workspace.
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
