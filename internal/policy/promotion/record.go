package promotion

import (
	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/logfield"
	"github.com/sirupsen/logrus"
)

// RecordAction is what a controller does after it has read the term record for a promotion.
type RecordAction string

// The actions after a read of the term record.
const (
	// RecordOpenNext starts the promotion from the record.
	RecordOpenNext RecordAction = "open_next_term"
	// RecordLearn takes over what the record says and decides anew.
	RecordLearn RecordAction = "learn_from_record"
	// RecordRefuse leaves the group alone, because the record is older than what is known.
	RecordRefuse RecordAction = "refuse_older_record"
)

// RecordReason says why a record may be promoted from or not.
type RecordReason string

// The reasons of a RecordDecision.
const (
	RecordAsKnown     RecordReason = "record_as_known"
	RecordLaterTerm   RecordReason = "record_of_later_term"
	RecordNewPrimary  RecordReason = "record_names_primary"
	RecordOpenTerm    RecordReason = "primary_known_but_not_recorded"
	RecordEarlierTerm RecordReason = "record_of_earlier_term"
)

// RecordDecision says whether a promotion may start from a term record.
type RecordDecision struct {
	Action  RecordAction
	Reason  RecordReason
	Known   api.GroupTerm
	Term    uint64
	Primary string
}

// Fields returns the fields of the log line of the decision.
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

// DecideRecord compares the term that a controller decided on with the term record. A primary
// that was announced by a promoter that could not record it is no hindrance: the record stays
// open, and its next term may be opened. A record older than what is known must not be promoted
// from, since its next term is in use.
func DecideRecord(known api.GroupTerm, record api.TermRecord) RecordDecision {
	d := RecordDecision{Known: known, Term: record.Term, Primary: record.Primary}
	switch {
	case record.Term > known.Term:
		d.Action, d.Reason = RecordLearn, RecordLaterTerm
	case record.Term < known.Term:
		d.Action, d.Reason = RecordRefuse, RecordEarlierTerm
	case record.Primary == known.Primary:
		d.Action, d.Reason = RecordOpenNext, RecordAsKnown
	case record.Primary == "":
		d.Action, d.Reason = RecordOpenNext, RecordOpenTerm
	default:
		d.Action, d.Reason = RecordLearn, RecordNewPrimary
	}
	return d
}

// CompleteRecord returns the update that names the known primary in a record that its promoter
// left open; false when there is nothing to complete. It is safe from any daemon, because a term
// has one primary, and it keeps the change id, so that a promoter that still runs sees its own.
func CompleteRecord(known api.GroupTerm, record api.TermRecord, version uint64) (WriteRecord, bool) {
	if record.Term != known.Term || record.Primary != "" || known.Primary == "" {
		return WriteRecord{}, false
	}
	record.Primary = known.Primary
	record.Start = known.Start
	return WriteRecord{Record: record, Version: version}, true
}
