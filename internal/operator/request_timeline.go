package operator

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"github.com/go-logfmt/logfmt"

	"github.com/papayacove/papayacove/internal/logevent"
	"github.com/papayacove/papayacove/internal/logfield"
	"github.com/papayacove/papayacove/internal/result"
)

const (
	// maxContextLines is the maximum number of lines about the group that are shown from before the request.
	maxContextLines = 6
	// maxLogLineBytes is the maximum length of a line in a log.
	maxLogLineBytes = 1 << 20
)

// groupStateEvents are the log events that report a change in the group's state as the daemon knows it.
var groupStateEvents = map[string]bool{
	logevent.PrimaryChanged: true, logevent.PrimarySuspected: true, logevent.IsolationChanged: true, logevent.PromotionBegun: true, logevent.PromotionChoice: true,
	logevent.PromotionOrdered: true, logevent.PromotionDone: true, logevent.PromotionGivenUp: true, logevent.PromotionNotStarted: true,
	logevent.TargetMissing: true, logevent.TargetGone: true, logevent.WitnessLost: true, logevent.DirectoryNotSettled: true,
}

// promotionEvents are the log events that show how a primary was replaced; a timeline includes those of other daemons.
var promotionEvents = map[string]bool{
	logevent.PromotionBegun: true, logevent.PromotionChoice: true, logevent.PromotionOrdered: true, logevent.PromotionDone: true, logevent.PromotionGivenUp: true,
}

// logLine is one line of a daemon's log.
type logLine struct {
	daemon string
	number int
	event  string
	fields [][2]string
}

// field returns the value of the first field of a name, or "" if there is none.
func (l logLine) field(name string) string {
	for _, f := range l.fields {
		if f[0] == name {
			return f[1]
		}
	}
	return ""
}

// readLogs reads the log files, or input if files is empty. The daemon of a file's lines is the base name of the file
// without its extension, unless the line names one.
func readLogs(files []string, input io.Reader) ([]logLine, error) {
	if len(files) == 0 {
		return parseLog("", input)
	}
	var lines []logLine
	for _, path := range files {
		file, err := os.Open(path)
		if err != nil {
			return nil, result.Errorf(result.ObjectNotFound, "%s", err)
		}
		part, err := parseLog(strings.TrimSuffix(filepath.Base(path), filepath.Ext(path)), file)
		_ = file.Close()
		if err != nil {
			return nil, err
		}
		lines = append(lines, part...)
	}
	return lines, nil
}

// parseLog parses the lines of a log and skips those without a time field. If there is text before that field, as a log
// collector adds it, its last word names the daemon of the line; otherwise the line belongs to the given daemon.
func parseLog(daemon string, input io.Reader) ([]logLine, error) {
	var lines []logLine
	scanner := bufio.NewScanner(input)
	scanner.Buffer(nil, maxLogLineBytes)
	for number := 1; scanner.Scan(); number++ {
		prefix, rest, ok := strings.Cut(scanner.Text(), "time=")
		if !ok {
			continue
		}
		line := logLine{daemon: daemon, number: number}
		if words := strings.Fields(prefix); len(words) > 0 {
			line.daemon = words[len(words)-1]
		}
		decoder := logfmt.NewDecoder(strings.NewReader("time=" + rest))
		for decoder.ScanRecord() {
			for decoder.ScanKeyval() {
				line.fields = append(line.fields, [2]string{string(decoder.Key()), string(decoder.Value())})
			}
		}
		line.event = line.field("msg")
		lines = append(lines, line)
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("read log: %w", err)
	}
	return lines, nil
}

// requestTimeline returns the log lines on one request in order: the last changes in the state of its group that its
// daemon logged before, each attempt, the end, and the promotions in its group that other daemons logged.
func requestTimeline(lines []logLine, request string) []logLine {
	var own []logLine
	for _, l := range lines {
		if l.field(logfield.Request) == request {
			own = append(own, l)
		}
	}
	if len(own) == 0 {
		return nil
	}
	slices.SortStableFunc(own, func(a, b logLine) int { return cmp.Compare(attemptOrder(a), attemptOrder(b)) })
	first := own[0]
	group := first.field(logfield.Group)
	timeline := append(groupStateBefore(lines, first, group), own...)
	for _, l := range lines {
		if group != "" && l.daemon != first.daemon && promotionEvents[l.event] && l.field(logfield.Group) == group {
			timeline = append(timeline, l)
		}
	}
	return timeline
}

// attemptOrder returns the sort key of a line on one request: its attempt number. Lines without one, such as the end of
// the request, come last.
func attemptOrder(l logLine) int {
	if attempt, err := strconv.Atoi(l.field(logfield.Attempt)); err == nil {
		return attempt
	}
	return int(^uint(0) >> 1)
}

// groupStateBefore returns the last lines before the request in which its daemon logged a change in the state of the
// group, at most maxContextLines.
func groupStateBefore(lines []logLine, first logLine, group string) []logLine {
	var before []logLine
	for _, l := range lines {
		if l.daemon != first.daemon {
			continue
		}
		if l.number >= first.number {
			break
		}
		if groupStateEvents[l.event] && l.field(logfield.Group) == group {
			before = append(before, l)
		}
	}
	return before[max(0, len(before)-maxContextLines):]
}

// requestTimelineText returns one numbered line for each step of a request.
func requestTimelineText(timeline []logLine) string {
	if len(timeline) == 0 {
		return "no line of the logs names this request\n"
	}
	var rows [][]string
	for i, l := range timeline {
		rows = append(rows, []string{strconv.Itoa(i + 1), l.daemon, l.field("time"), eventText(l.event), detailsOf(l)})
	}
	return "steps in the request's own order; times are those of each daemon's own clock\n" +
		table([]string{"STEP", "DAEMON", "TIME", "WHAT", "DETAILS"}, rows)
}

// detailsOf returns the fields of a line without those that have columns of their own.
func detailsOf(l logLine) string {
	var details []string
	for _, f := range l.fields {
		switch f[0] {
		case "time", "level", "msg", logfield.Request, logfield.Session, logfield.Database:
		default:
			details = append(details, f[0]+"="+f[1])
		}
	}
	return strings.Join(details, " ")
}
