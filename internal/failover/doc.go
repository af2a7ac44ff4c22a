// Package failover is responsible for the primary of each group: it suspects one that went silent,
// asks the other vantage points, promotes a replica, switches over from a leaving primary and makes
// targets that have come back follow. The decisions are those of internal/policy/promotion; this
// package carries them out.
package failover
