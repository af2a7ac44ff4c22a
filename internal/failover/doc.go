// Package failover maintains the primary of each group. It suspects a primary that is unresponsive, asks the other
// failure detectors, promotes a replica, switches over from a primary that is leaving, and makes targets that have
// returned follow the primary. The package internal/policy/promotion makes the decisions; this package carries them
// out.
//
// A failure detector is a daemon that reports whether it reaches the primary. The controller of a group is the
// daemon that decides on its primary. A promoter carries out one promotion: it opens the next term in the group's
// term record, fences targets, so that they accept no more writes of a lower term, promotes one, and makes the
// others follow it. A planned switchover stops the admission of new work at the gate of the primary until a replica
// has the whole log.
package failover
