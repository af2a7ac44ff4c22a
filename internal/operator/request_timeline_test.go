package operator

import (
	"strings"
	"testing"
)

// sampleLog holds lines of two daemons whose clocks differ by several seconds, with the prefix of a log collector.
const sampleLog = `
  1.0 entry-1 time="2026-04-19T20:12:38Z" level=info msg=primary_changed group=g new_primary=a new_term=1 primary= term=0
  2.0 entry-1 time="2026-04-19T20:12:40Z" level=warning msg=isolation_changed group=g isolated=true answered=1 members=3
  2.1 entry-1 time="2026-04-19T20:12:41Z" level=info msg=statement_refused request=f00 code=2010 outcome=not_run_unreachable reason="the target, \"a\", is silent"
  2.1 entry-1 time="2026-04-19T20:12:41Z" level=info msg=attempt_failed request=f00 group=g attempt=2 target=a
  2.1 entry-1 time="2026-04-19T20:12:41Z" level=info msg=attempt_failed request=f00 group=g attempt=1 target=b
  2.2 entry-2 time="2026-04-19T20:12:36Z" level=info msg=promotion_done group=g target=c new_term=2
  2.2 entry-2 time="2026-04-19T20:12:36Z" level=info msg=promotion_done group=other target=d new_term=2
  2.3 entry-1 time="2026-04-19T20:12:42Z" level=info msg=statement_refused request=f01 code=2001
`

func TestRequestTimelineIgnoresClockDifferences(t *testing.T) {
	lines, err := parseLog("", strings.NewReader(sampleLog))
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, l := range requestTimeline(lines, "f00") {
		got = append(got, l.daemon+" "+l.event+" "+l.field("attempt")+l.field("target"))
	}
	want := []string{
		"entry-1 primary_changed ", "entry-1 isolation_changed ", "entry-1 attempt_failed 1b", "entry-1 attempt_failed 2a",
		"entry-1 statement_refused ", "entry-2 promotion_done c",
	}
	if strings.Join(got, "\n") != strings.Join(want, "\n") {
		t.Errorf("got\n%s\nwant\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
	if text := requestTimelineText(requestTimeline(lines, "f00")); !strings.Contains(text, `the target, "a", is silent`) {
		t.Errorf("timeline, want the reason of the refusal, got: %s", text)
	}
	if text := requestTimelineText(requestTimeline(lines, "missing")); !strings.Contains(text, "no line") {
		t.Errorf("timeline of a request that is not in the log, want \"no line\", got: %s", text)
	}
}
