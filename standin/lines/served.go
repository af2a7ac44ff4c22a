package lines

import "time"

// Read is a read of a caller.
type Read struct {
	Kind RouteKind
	// Daemon is the IP address of the daemon that it was sent to.
	Daemon string
	// SentAt is the time of its first byte, Took that until the whole response; zero without one.
	SentAt time.Time
	Took   time.Duration
	// Served is true if it was answered with success.
	Served bool
}

// Reads returns the reads of callers.
func (r Records) Reads() []Read {
	var reads []Read
	for _, s := range r.sent {
		if !s.reads() {
			continue
		}
		read := Read{Kind: r.kindOf(s.database), Daemon: s.daemon, SentAt: s.at, Served: !s.succeededAt.IsZero()}
		if !s.answeredAt.IsZero() {
			read.Took = s.answeredAt.Sub(s.at)
		}
		reads = append(reads, read)
	}
	return reads
}
