package telemetry

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/logevent"
	"github.com/papayacove/papayacove/internal/logfield"
)

// lineOf returns the line of an event with the fields.
func lineOf(t *testing.T, fields logrus.Fields) string {
	t.Helper()
	setUp(t, api.SettingsLogLevelInfo)
	var output bytes.Buffer
	logrus.SetOutput(&output)
	logrus.WithFields(fields).Warn(logevent.StatementServed)
	return output.String()
}

// TestEvidenceIsWithinTheFirst200Characters guards against a record of cut lines without what a read rested on.
func TestEvidenceIsWithinTheFirst200Characters(t *testing.T) {
	line := lineOf(t, logrus.Fields{
		logfield.Attempts: 1, logfield.Begin: "5c0e7a21d94b36f8", logfield.Consistency: "strict", logfield.Database: "lepu270",
		logfield.Decision: "read", logfield.Elapsed: 12 * time.Millisecond, logfield.Group: "yuvi8fo",
		logfield.Evidence: "proof_promotion", logfield.Target: "i-a2867595", logfield.From: "i-7fdc31e6",
		logfield.AgeAtArrival: -135100 * time.Microsecond, logfield.Age: 141200 * time.Microsecond, logfield.KnownTerm: 4,
		logfield.Position: "4/1656",
	})
	cut := line[:min(len(line), 200)]
	for _, field := range []string{"evidence=", "target=", "from=", "age_at_arrival=", "age=", "known_term=4", "position=4/1656"} {
		if !strings.Contains(cut, field) {
			t.Errorf("got no %s within the first 200 characters of %q", field, line)
		}
	}
}

// TestOtherLinesKeepTheirOrder guards against tools that find the fields of other lines elsewhere.
func TestOtherLinesKeepTheirOrder(t *testing.T) {
	line := lineOf(t, logrus.Fields{logfield.Target: "a", logfield.Age: time.Second, logfield.Group: "g"})
	if want := " level=warning msg=statement_served age=1s group=g target=a\n"; !strings.HasPrefix(line, "time=") || !strings.HasSuffix(line, want) {
		t.Errorf("got %q, want the time and %q", line, want)
	}
}
