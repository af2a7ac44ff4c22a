package database

import (
	"crypto/tls"
	"time"

	"github.com/papayacove/papayacove/internal/target"
)

// Options describe one stand-in target.
type Options struct {
	// Name identifies the target.
	Name string
	// Address is the host:port to listen on; port 0 takes a free one.
	Address string
	// AdminAddress is the host:port of the knobs; empty switches them off.
	AdminAddress string
	// DataDirectory holds the rows, the log and the state.
	DataDirectory string
	// Slots is the number of connections that are accepted, control connections not counted.
	Slots int
	// ConnectDelay is how long a connection takes to set up.
	ConnectDelay time.Duration
	// LockTimeout bounds the wait for the write lock; 0 takes 2 s.
	LockTimeout time.Duration
	// InitialRole, Primary and Term are taken when the data directory is empty.
	InitialRole target.Role
	// Primary is the address to stream from; empty leaves a replica waiting for an order.
	Primary string
	Term    uint64
	// User and Password are asked for; an empty password trusts everybody.
	User     string
	Password string
	// TLS offers encrypted connections; nil refuses them.
	TLS *tls.Config
	// SourceAddress is the IP number that the stream comes from; empty leaves it open.
	SourceAddress string
	// Knobs are the faults at the start.
	Knobs Knobs
}

// Knobs are faults that can be changed at run time.
type Knobs struct {
	// LagMs delays applying received records, in milliseconds after their commit.
	LagMs int64 `json:"lag_ms"`
	// ReceiveLagMs delays receiving records, in milliseconds after their commit.
	ReceiveLagMs int64 `json:"receive_lag_ms"`
	// Cut makes all connections silent in both directions until it is unset.
	Cut bool `json:"cut"`
	// CutFrom names targets whose streams from or to this one are cut.
	CutFrom []string `json:"cut_from"`
	// CutClients cuts the connections whose application_name has one of these prefixes.
	CutClients []string `json:"cut_clients"`
	// Leaving makes the status report that the target is leaving.
	Leaving bool `json:"leaving"`
}

// lag returns LagMs as a duration.
func (k Knobs) lag() time.Duration {
	return time.Duration(k.LagMs) * time.Millisecond
}

// receiveLag returns ReceiveLagMs as a duration.
func (k Knobs) receiveLag() time.Duration {
	return time.Duration(k.ReceiveLagMs) * time.Millisecond
}
