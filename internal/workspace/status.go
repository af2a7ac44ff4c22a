package workspace

import (
	"fmt"
	"strings"

	"github.com/sirupsen/logrus"

	"github.com/papayacove/papayacove/internal/config"
	"github.com/papayacove/papayacove/internal/logevent"
	"github.com/papayacove/papayacove/internal/logfield"
)

// ObjectStatus describes an object whose newest version is not in force.
type ObjectStatus struct {
	Kind string
	Name string
	// Version is the newest version, which has problems.
	Version uint64
	// InForce is the version in force; 0 means none.
	InForce  uint64
	Problems []Problem
}

// String returns the status on one line.
func (s ObjectStatus) String() string {
	return fmt.Sprintf("%s %s: version %d refused, version %d in force: %s",
		s.Kind, s.Name, s.Version, s.InForce, joinProblems(s.Problems))
}

func joinProblems(problems []Problem) string {
	lines := make([]string, 0, len(problems))
	for _, p := range problems {
		lines = append(lines, p.String())
	}
	return strings.Join(lines, "; ")
}

// recordRefused records that the newest version of an object has problems. It logs this unless the same version is
// already recorded with the same problems.
func (v *view) recordRefused(key objectKey, version, inForce uint64, problems []Problem) {
	before, known := v.statuses[key]
	status := ObjectStatus{Kind: key.kind, Name: key.name, Version: version, InForce: inForce, Problems: problems}
	v.statuses[key] = status
	if known && before.Version == version && joinProblems(before.Problems) == joinProblems(problems) {
		return
	}
	logrus.WithFields(logrus.Fields{
		logfield.Kind:     key.kind,
		logfield.Name:     key.name,
		logfield.Version:  version,
		logfield.InForce:  inForce,
		logfield.Problems: joinProblems(problems),
	}).Warn(logevent.ConfigurationRefused)
}

// recordAccepted records that the newest version of an object is in force or that the object is deleted.
func (v *view) recordAccepted(key objectKey) {
	delete(v.statuses, key)
}

// malformedProblems returns the problem of an object whose document cannot be decoded or has another name.
// It omits the error of the decoder, which may quote a secret.
func malformedProblems(key objectKey) []Problem {
	return []Problem{{
		Object: key.kind + " " + key.name,
		Key:    "data",
		Value:  config.Hidden,
		Bound:  "a document of kind " + key.kind + " with the name of its object",
	}}
}
