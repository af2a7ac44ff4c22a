package engine

import (
	"slices"
	"time"

	"github.com/papayacove/papayacove/internal/policy/callers"
)

// Consistency says which commits a read has to see.
type Consistency uint8

// The consistencies of routes.
const (
	// ConsistencyStrict sees every acknowledged commit.
	ConsistencyStrict Consistency = iota
	// ConsistencySession sees the commits of the session, and others up to an allowed age.
	ConsistencySession
	// ConsistencyBoundedStaleness sees commits up to an allowed age.
	ConsistencyBoundedStaleness
)

var consistencyNames = [...]string{ConsistencyStrict: "strict", ConsistencySession: "session", ConsistencyBoundedStaleness: "aged"}

// String returns the name of the consistency.
func (c Consistency) String() string { return consistencyNames[c] }

// Route describes how the sessions of one database are served.
type Route struct {
	// Name identifies the route in logs and metrics.
	Name string
	// Database is the database name that sessions ask for.
	Database string
	// Group is the name of the group that serves the database.
	Group       string
	Consistency Consistency
	// MaxAge is the largest allowed age of data. It is not used with ConsistencyStrict.
	MaxAge time.Duration
	// Timeout bounds the time from the arrival of a statement to its answer.
	Timeout time.Duration
	// Objective is the time in which an operation should be answered.
	Objective time.Duration
	// Priority orders routes under load; 0 is the highest.
	Priority int
	// IsPublic is true if callers need no key.
	IsPublic bool
	// rank is the number of priorities of the configuration that are higher than that of the route.
	rank int
}

// GroupLimits bound the use of a group's targets.
type GroupLimits struct {
	// MaxConnections is the number of connections that all daemons together may open to one target; 0 for no
	// limit.
	MaxConnections int
	// SyncReplicas is the number of replicas that must have received a commit before it is acknowledged.
	SyncReplicas int
}

// Configuration is one version of the routes and limits.
type Configuration struct {
	Version uint64
	// Routes holds the routes by database name.
	Routes map[string]Route
	// Groups holds the limits of the groups by group name.
	Groups map[string]GroupLimits
	// IdleTransaction is the time after which an idle transaction is rolled back; 0 for never.
	IdleTransaction time.Duration
	// Callers tells callers apart by their keys; nil if they are not told apart.
	Callers *callers.Directory
}

// rankRoutes sets the ranks of the routes. A rank compares any two routes, so that one which nobody uses, whatever its
// priority, does not change the order of the others.
func rankRoutes(routes map[string]Route) {
	priorities := make([]int, 0, len(routes))
	for _, r := range routes {
		priorities = append(priorities, r.Priority)
	}
	slices.Sort(priorities)
	priorities = slices.Compact(priorities)
	for database, r := range routes {
		r.rank, _ = slices.BinarySearch(priorities, r.Priority)
		routes[database] = r
	}
}

// Target is the entry of one target of a database group, as the target itself reports it.
type Target struct {
	Name    string
	Group   string
	Address string
	Zone    string
	// Slots is the number of statements that the target runs at the same time.
	Slots int
	// Leaving is true when the target has announced that it will stop.
	Leaving bool
	// ReportsPrimary is true when the target reports that it is the primary.
	ReportsPrimary bool
	// Incarnation changes each time the target restarts.
	Incarnation int64
}
