package workspace

import (
	"fmt"
	"strings"

	"github.com/sirupsen/logrus"

	"github.com/papayacove/papayacove/internal/config"
	"github.com/papayacove/papayacove/internal/logevent"
	"github.com/papayacove/papayacove/internal/logfield"
)

// Status tells of an object whose newest version is not in force.
type Status struct {
	Kind string
	Name string
	// Version is the newest version, which was refused.
	Version uint64
	// InForce is the version in force; 0 for none.
	InForce  uint64
	Problems []Problem
}

// String returns the status on one line.
func (s Status) String() string {
	return fmt.Sprintf("%s %s: version %d refused, version %d in force: %s",
		s.Kind, s.Name, s.Version, s.InForce, problemLine(s.Problems))
}

func problemLine(problems []Problem) string {
	lines := make([]string, 0, len(problems))
	for _, p := range problems {
		lines = append(lines, p.String())
	}
	return strings.Join(lines, "; ")
}

// refuse notes that the newest version of an object is not in force and logs it once for each version.
func (v *view) refuse(key objectKey, version, inForce uint64, problems []Problem) {
	before, known := v.statuses[key]
	status := Status{Kind: key.kind, Name: key.name, Version: version, InForce: inForce, Problems: problems}
	v.statuses[key] = status
	if known && before.Version == version && problemLine(before.Problems) == problemLine(problems) {
		return
	}
	logrus.WithFields(logrus.Fields{
		logfield.Kind:     key.kind,
		logfield.Name:     key.name,
		logfield.Version:  version,
		logfield.InForce:  inForce,
		logfield.Problems: problemLine(problems),
	}).Warn(logevent.ConfigurationRefused)
}

// accept notes that the newest version of an object is in force.
func (v *view) accept(key objectKey) {
	delete(v.statuses, key)
}

// malformed is the problem of an object whose document cannot be decoded.
// The decoder's own text is left out, because it may quote a secret.
func malformed(key objectKey) []Problem {
	return []Problem{{
		Object: key.kind + " " + key.name,
		Key:    "data",
		Value:  config.Hidden,
		Bound:  "a document of kind " + key.kind + " with the name of its object",
	}}
}
