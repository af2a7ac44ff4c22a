// Package invariant checks statements that must hold at all times inside the program.
//
// A violation is counted and logged, and the caller ends the request that it concerns.
package invariant

import (
	"expvar"

	"github.com/sirupsen/logrus"

	"github.com/papayacove/papayacove/internal/logevent"
	"github.com/papayacove/papayacove/internal/logfield"
)

// violations counts violations by the name of the invariant.
var violations = expvar.NewMap("invariant_violations")

// Check returns ok, and records a violation of the named invariant when ok is false.
func Check(ok bool, name string, fields logrus.Fields) bool {
	if ok {
		return true
	}
	violations.Add(name, 1)
	logrus.WithFields(fields).WithField(logfield.Invariant, name).Error(logevent.InvariantViolated)
	return false
}
