package database

import (
	"crypto/tls"
	"time"

	"github.com/papayacove/papayacove/internal/target"
)

// Options configure one stand-in target.
type Options struct {
	// Name identifies the target.
	Name string
	// Address is the host:port to listen on; port 0 selects a free port. Empty is 127.0.0.1:0.
	Address string
	// AdminAddress is the host:port of the admin API; empty disables it.
	AdminAddress string
	// DataDirectory is the directory of the rows, the log and the durable state.
	DataDirectory string
	// Slots is the maximum number of client connections, not counting control connections; 0 is no limit.
	Slots int
	// ConnectDelay is added to the start-up of each connection.
	ConnectDelay time.Duration
	// LockTimeout bounds the wait for the write lock; 0 selects 2 s.
	LockTimeout time.Duration
	// InitialRole, Primary and Term apply only if the data directory holds no state yet. The
	// defaults are primary for the role and 1 for the term.
	InitialRole target.Role
	// Primary is the host:port to stream from; if it is empty, a replica waits for a Follow order.
	Primary string
	Term    uint64
	// User and Password are the credentials that clients must present, and those that a replica
	// presents to its primary. With an empty password every client is accepted.
	User     string
	Password string
	// TLS enables encrypted connections; nil refuses them.
	TLS *tls.Config
	// SourceAddress is the local IP address from which a replica connects to its primary; if it is
	// empty, the operating system chooses one.
	SourceAddress string
	// Faults are the faults in force at the start.
	Faults Faults
}

// Faults are the injected faults. They can be changed at run time.
type Faults struct {
	// LagMs is the minimum time in milliseconds from the commit of a record on the primary until it is applied.
	LagMs int64 `json:"lag_ms"`
	// ReceiveLagMs is the minimum time in milliseconds from the commit of a record on the primary until it is stored.
	ReceiveLagMs int64 `json:"receive_lag_ms"`
	// Partitioned partitions the target: all connections block in both directions until it is unset.
	Partitioned bool `json:"cut"`
	// PartitionedFrom names targets from which this one is partitioned: streams from and to them block.
	PartitionedFrom []string `json:"cut_from"`
	// PartitionedClients holds prefixes of application_name; connections with such a name block.
	PartitionedClients []string `json:"cut_clients"`
	// Leaving makes the status report that a planned stop of the target has begun.
	Leaving bool `json:"leaving"`
}

// lag returns LagMs as a duration.
func (k Faults) lag() time.Duration {
	return time.Duration(k.LagMs) * time.Millisecond
}

// receiveLag returns ReceiveLagMs as a duration.
func (k Faults) receiveLag() time.Duration {
	return time.Duration(k.ReceiveLagMs) * time.Millisecond
}
