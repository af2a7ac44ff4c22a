package promotion

import (
	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/logfield"
	"github.com/sirupsen/logrus"
)

// RecordAction is what a controller does with a term record that it has read in order to start a promotion.
type RecordAction string

// The actions after a read of the term record.
const (
	// RecordOpenNext starts the promotion, which opens the term after that of the record.
	RecordOpenNext RecordAction = "open_next_term"
	// RecordAdopt applies the term and primary of the record, with which the controller decides again.
	RecordAdopt RecordAction = "learn_from_record"
	// RecordRefuse starts no promotion, because the record is older than the known term.
	RecordRefuse RecordAction = "refuse_older_record"
)

// RecordReason says why a promotion may start from a term record or not.
type RecordReason string

// The reasons of a RecordDecision.
const (
	RecordAsKnown     RecordReason = "record_as_known"
	RecordLaterTerm   RecordReason = "record_of_later_term"
	RecordNewPrimary  RecordReason = "record_names_primary"
	RecordOpenTerm    RecordReason = "primary_known_but_not_recorded"
	RecordEarlierTerm RecordReason = "record_of_earlier_term"
)

// RecordDecision is the decision whether a promotion may start from a term record, whose term and primary it holds.
type RecordDecision struct {
	Action  RecordAction
	Reason  RecordReason
	Known   api.GroupTerm
	Term    uint64
	Primary string
}

// Fields returns the fields that describe the decision in a log line.
func (d RecordDecision) Fields() logrus.Fields {
	return logrus.Fields{
		logfield.Action:        string(d.Action),
		logfield.Reason:        string(d.Reason),
		logfield.Group:         d.Known.Group,
		logfield.KnownTerm:     d.Known.Term,
		logfield.KnownPrimary:  d.Known.Primary,
		logfield.RecordTerm:    d.Term,
		logfield.RecordPrimary: d.Primary,
	}
}

// DecideRecord compares the known term, on which a controller based its decision, with the term record. If the known
// primary is missing in the record, because its promoter announced it and could not record it, the term is still open
// and the next one may be opened. No promotion may start from a record that is older than the known term, because the
// next term of that record is already in use.
func DecideRecord(known api.GroupTerm, record api.TermRecord) RecordDecision {
	d := RecordDecision{Known: known, Term: record.Term, Primary: record.Primary}
	switch {
	case record.Term > known.Term:
		d.Action, d.Reason = RecordAdopt, RecordLaterTerm
	case record.Term < known.Term:
		d.Action, d.Reason = RecordRefuse, RecordEarlierTerm
	case record.Primary == known.Primary:
		d.Action, d.Reason = RecordOpenNext, RecordAsKnown
	case record.Primary == "":
		d.Action, d.Reason = RecordOpenNext, RecordOpenTerm
	default:
		d.Action, d.Reason = RecordAdopt, RecordNewPrimary
	}
	return d
}

// CompleteRecord returns the update that adds the known primary to a record that its promoter left open; false when
// there is nothing to add. Any daemon may send the update, because a term has only one primary. It keeps the change
// ID, so that a promoter that is still running recognizes the record as its own.
func CompleteRecord(known api.GroupTerm, record api.TermRecord, version uint64) (WriteRecord, bool) {
	if record.Term != known.Term || record.Primary != "" || known.Primary == "" {
		return WriteRecord{}, false
	}
	record.Primary = known.Primary
	record.Start = known.Start
	return WriteRecord{Record: record, Version: version}, true
}
