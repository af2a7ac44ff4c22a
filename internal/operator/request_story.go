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
	// contextLines is the number of lines about the group that are shown from before the request.
	contextLines = 6
	// maxLogLine bounds one line of a log.
	maxLogLine = 1 << 20
)

// beliefEvents change what a daemon takes for true of a group.
var beliefEvents = map[string]bool{
	logevent.PrimaryChanged: true, logevent.PrimarySuspected: true, logevent.IsolationChanged: true, logevent.PromotionBegun: true, logevent.PromotionChoice: true,
	logevent.PromotionOrdered: true, logevent.PromotionDone: true, logevent.PromotionGivenUp: true, logevent.PromotionNotStarted: true,
	logevent.TargetMissing: true, logevent.TargetGone: true, logevent.WitnessLost: true, logevent.DirectoryNotSettled: true,
}

// promotionEvents tell across daemons how a primary was replaced.
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

func (l logLine) field(name string) string {
	for _, f := range l.fields {
		if f[0] == name {
			return f[1]
		}
	}
	return ""
}

// readLogs reads the files, or the input when there are none.
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

// parseLog reads the lines of a log. What stands before the first key, as a collector puts it there, names the daemon
// with its last word; otherwise the daemon is that of the file.
func parseLog(daemon string, input io.Reader) ([]logLine, error) {
	var lines []logLine
	scanner := bufio.NewScanner(input)
	scanner.Buffer(nil, maxLogLine)
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

// requestStory returns what the logs tell of one request: what its daemon believed before, each attempt, the end, and how
// the primary of its group was replaced, by whichever daemon.
func requestStory(lines []logLine, request string) []logLine {
	var own []logLine
	for _, l := range lines {
		if l.field(logfield.Request) == request {
			own = append(own, l)
		}
	}
	if len(own) == 0 {
		return nil
	}
	slices.SortStableFunc(own, func(a, b logLine) int { return cmp.Compare(sequence(a), sequence(b)) })
	first := own[0]
	group := first.field(logfield.Group)
	story := append(beliefBefore(lines, first, group), own...)
	for _, l := range lines {
		if group != "" && l.daemon != first.daemon && promotionEvents[l.event] && l.field(logfield.Group) == group {
			story = append(story, l)
		}
	}
	return story
}

// sequence orders the lines of one request by its own count of attempts; the end comes last.
func sequence(l logLine) int {
	if attempt, err := strconv.Atoi(l.field(logfield.Attempt)); err == nil {
		return attempt
	}
	return int(^uint(0) >> 1)
}

// beliefBefore returns the last lines of the request's daemon that changed its belief of the group before the request.
func beliefBefore(lines []logLine, first logLine, group string) []logLine {
	var before []logLine
	for _, l := range lines {
		if l.daemon != first.daemon {
			continue
		}
		if l.number >= first.number {
			break
		}
		if beliefEvents[l.event] && l.field(logfield.Group) == group {
			before = append(before, l)
		}
	}
	return before[max(0, len(before)-contextLines):]
}

// requestStoryText prints one numbered line for each step.
func requestStoryText(story []logLine) string {
	if len(story) == 0 {
		return "no line of the logs names this request\n"
	}
	var rows [][]string
	for i, l := range story {
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
