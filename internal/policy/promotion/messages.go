package promotion

import (
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/logfield"
	"github.com/sirupsen/logrus"
)

// Event is an input of a Promotion: the result of an order, or the passing of time.
type Event interface{ isEvent() }

// RecordWritten reports that the conditional update of the term record took effect.
type RecordWritten struct{ Version uint64 }

// RecordConflict reports that the term record had another version; nothing was changed.
type RecordConflict struct{}

// RecordUnknown reports that the conditional update got no answer, so that it may have taken effect.
type RecordUnknown struct{}

// RecordRead is the answer to ReadRecord.
type RecordRead struct {
	Record  api.TermRecord
	Version uint64
}

// RecordReadFailed reports that the term record could not be read.
type RecordReadFailed struct{}

// FenceAnswered is the answer of a target to Fence, whether it accepted or refused.
type FenceAnswered struct {
	Target string
	// Term is the highest term of the target after the call.
	Term uint64
	// Received is the end of the log of the target after the call; its Term is the log term.
	Received api.Position
}

// PromoteAnswered is the answer of a target to Promote, whether it accepted or refused.
type PromoteAnswered struct {
	Target string
	// Term is the highest term of the target after the call.
	Term uint64
	// IsPrimary is true when the target is now the primary of Term.
	IsPrimary bool
	// Start is the position of the first record of the term.
	Start api.Position
}

// FollowAnswered is the answer of a target to Follow, whether it accepted or refused.
type FollowAnswered struct {
	Target string
	// Term is the highest term of the target after the call.
	Term uint64
	// IsFollowing is true when the target now follows the primary of Term.
	IsFollowing bool
}

// Tick reports that time has passed.
type Tick struct{}

func (RecordWritten) isEvent()    {}
func (RecordConflict) isEvent()   {}
func (RecordUnknown) isEvent()    {}
func (RecordRead) isEvent()       {}
func (RecordReadFailed) isEvent() {}
func (FenceAnswered) isEvent()    {}
func (PromoteAnswered) isEvent()  {}
func (FollowAnswered) isEvent()   {}
func (Tick) isEvent()             {}

// Order is an action that the caller of New or Handle has to carry out.
type Order interface {
	// Fields returns the fields that describe the order in a log line.
	Fields() logrus.Fields
}

// WriteRecord asks for a conditional update of the term record of the group.
type WriteRecord struct {
	Record api.TermRecord
	// Version is the version that the record must have; 0 asks for its creation.
	Version uint64
}

// ReadRecord asks for the term record of a group.
type ReadRecord struct{ Group string }

// Fence asks a target to refuse every term below Term.
type Fence struct {
	Target string
	Term   uint64
}

// Promote asks a fenced target to become the primary of Term.
type Promote struct {
	Target string
	Term   uint64
}

// Follow asks a target to replicate from Primary, the primary of Term.
type Follow struct {
	Target  string
	Term    uint64
	Primary string
}

// WakeAt asks for a Tick at a time.
type WakeAt struct{ At time.Time }

// Finished reports that the promotion is recorded and a majority follows the new primary.
type Finished struct {
	Group   string
	Term    uint64
	Primary string
	Start   api.Position
	// Duration is the time since the promotion began.
	Duration time.Duration
}

// Abandoned reports that the promotion has ended without success. If its term stays open, a later promotion opens the
// next term.
type Abandoned struct {
	Group  string
	Term   uint64
	Reason AbandonReason
	// Step is the step in which the promotion was abandoned.
	Step Step
	// Fenced is the number of fenced targets, and Needed the number that makes a majority.
	Fenced int
	Needed int
}

// AbandonReason says why a promotion ended without success.
type AbandonReason string

// The reasons of Abandoned.
const (
	AbandonRecordConflict AbandonReason = "another_promoter_changed_the_record"
	AbandonLaterTerm      AbandonReason = "target_at_later_term"
	AbandonTimeout        AbandonReason = "timeout"
	AbandonRecordUnknown  AbandonReason = "record_unreadable"
)

// Fields returns the fields that describe the order in a log line.
func (o WriteRecord) Fields() logrus.Fields {
	return logrus.Fields{
		logfield.Order:   "write_record",
		logfield.Group:   o.Record.Group,
		logfield.Term:    o.Record.Term,
		logfield.Primary: o.Record.Primary,
		logfield.Reason:  o.Record.Reason,
		logfield.Version: o.Version,
	}
}

// Fields returns the fields that describe the order in a log line.
func (o ReadRecord) Fields() logrus.Fields {
	return logrus.Fields{logfield.Order: "read_record", logfield.Group: o.Group}
}

// Fields returns the fields that describe the order in a log line.
func (o Fence) Fields() logrus.Fields {
	return logrus.Fields{logfield.Order: "fence", logfield.Target: o.Target, logfield.Term: o.Term}
}

// Fields returns the fields that describe the order in a log line.
func (o Promote) Fields() logrus.Fields {
	return logrus.Fields{logfield.Order: "promote", logfield.Target: o.Target, logfield.Term: o.Term}
}

// Fields returns the fields that describe the order in a log line.
func (o Follow) Fields() logrus.Fields {
	return logrus.Fields{logfield.Order: "follow", logfield.Target: o.Target, logfield.Term: o.Term, logfield.Primary: o.Primary}
}

// Fields returns the fields that describe the order in a log line.
func (o WakeAt) Fields() logrus.Fields {
	return logrus.Fields{logfield.Order: "wake"}
}

// Fields returns the fields that describe the order in a log line.
func (o Finished) Fields() logrus.Fields {
	return logrus.Fields{
		logfield.Order:    "finished",
		logfield.Group:    o.Group,
		logfield.Term:     o.Term,
		logfield.Primary:  o.Primary,
		logfield.Start:    o.Start.String(),
		logfield.Duration: o.Duration,
	}
}

// Fields returns the fields that describe the order in a log line.
func (o Abandoned) Fields() logrus.Fields {
	return logrus.Fields{
		logfield.Order:  "abandoned",
		logfield.Group:  o.Group,
		logfield.Term:   o.Term,
		logfield.Reason: string(o.Reason),
		logfield.Step:   o.Step.String(),
		logfield.Fenced: o.Fenced,
		logfield.Needed: o.Needed,
	}
}
