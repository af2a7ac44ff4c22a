// Package invariant checks conditions that must always hold inside the program.
//
// A violation is counted and logged. The caller of Check must end the request that it concerns.
package invariant

import (
	"expvar"

	"github.com/sirupsen/logrus"

	"github.com/papayacove/papayacove/internal/logevent"
	"github.com/papayacove/papayacove/internal/logfield"
)

// violations counts the violations of each invariant by its name.
var violations = expvar.NewMap("invariant_violations")

// Check returns ok. When ok is false, it counts a violation of the invariant name and logs it with the fields.
func Check(ok bool, name string, fields logrus.Fields) bool {
	if ok {
		return true
	}
	violations.Add(name, 1)
	logrus.WithFields(fields).WithField(logfield.Invariant, name).Error(logevent.InvariantViolated)
	return false
}
