package telemetry

import (
	"cmp"
	"slices"

	"github.com/sirupsen/logrus"

	"github.com/papayacove/papayacove/internal/logfield"
)

// evidenceFields come first in the lines of what a read rested on, so that they are kept where lines are cut after 200
// characters.
var evidenceFields = []string{
	logfield.Evidence, logfield.Target, logfield.From, logfield.AgeAtArrival, logfield.Age, logfield.KnownTerm,
	logfield.Position,
	logfield.Floor, logfield.Via, logfield.Members,
}

// headFields come before all other fields of a line.
var headFields = []string{logrus.FieldKeyTime, logrus.FieldKeyLevel, logrus.FieldKeyMsg, logrus.FieldKeyLogrusError}

// orderFields orders the fields of a line by name, after those that come first.
func orderFields(names []string) {
	first := headFields
	if slices.Contains(names, logfield.Evidence) {
		first = slices.Concat(headFields, evidenceFields)
	}
	rank := func(name string) int {
		if i := slices.Index(first, name); i >= 0 {
			return i
		}
		return len(first)
	}
	slices.SortFunc(names, func(a, b string) int { return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a, b)) })
}
