package operator

import (
	"fmt"
	"sort"
	"strconv"
	"strings"

	"github.com/papayacove/papayacove/api"
)

// terms returns the newest term of each group that any daemon knows, ordered by group. Among entries of the same
// term, it prefers one with a primary.
func (f *FleetStatus) terms() []api.GroupTerm {
	newest := map[string]api.GroupTerm{}
	for _, d := range f.Daemons {
		for _, term := range d.Groups {
			known, found := newest[term.Group]
			if !found || term.Term > known.Term || (term.Term == known.Term && known.Primary == "") {
				newest[term.Group] = term
			}
		}
	}
	list := make([]api.GroupTerm, 0, len(newest))
	for _, term := range newest {
		list = append(list, term)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Group < list[j].Group })
	return list
}

func (f *FleetStatus) text() string {
	var text strings.Builder
	text.WriteString(f.daemonTable())
	text.WriteString("\n")
	text.WriteString(f.groupTable())
	text.WriteString("\n")
	text.WriteString(f.targetTable())
	text.WriteString("\nproblems:\n")
	for _, problem := range f.Problems {
		fmt.Fprintf(&text, "  %s\n", problem)
	}
	if len(f.Problems) == 0 {
		text.WriteString("  (none)\n")
	}
	return text.String()
}

func (f *FleetStatus) daemonTable() string {
	var rows [][]string
	for _, d := range f.Daemons {
		rows = append(rows, []string{
			d.Name, d.Zone, d.Version, stateOf(d),
			strconv.FormatUint(d.ConfigRevision, 10), yesNo(d.PlatformReached),
			strconv.Itoa(liveMembers(d.Members)), strconv.Itoa(len(d.Targets)),
			strconv.FormatInt(sum(d.PlatformCalls), 10),
		})
	}
	header := []string{"DAEMON", "ZONE", "VERSION", "STATE", "CONFIG", "PLATFORM", "PEERS", "TARGETS", "CALLS"}
	return table(header, rows)
}

func (f *FleetStatus) groupTable() string {
	var rows [][]string
	for _, term := range f.terms() {
		rows = append(rows, []string{
			term.Group, strconv.FormatUint(term.Term, 10), displayValue(term.Primary), term.Start.String(),
		})
	}
	return table([]string{"GROUP", "TERM", "PRIMARY", "START"}, rows)
}

func (f *FleetStatus) targetTable() string {
	var rows [][]string
	for _, d := range f.Daemons {
		for _, t := range d.Targets {
			rows = append(rows, targetRow(d.Name, t))
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i][0] < rows[j][0] })
	header := []string{"TARGET", "GROUP", "ROLE", "TERM", "SLOTS", "QUEUE", "AGE", "RECEIVED", "APPLIED", "GATE"}
	return table(header, rows)
}

func targetRow(gate string, t api.HeldTargetStatus) []string {
	return []string{
		t.Target, t.Group, roleText(t.Role), strconv.FormatUint(t.Term, 10),
		fmt.Sprintf("%d/%d", t.SlotsInUse, t.Slots), strconv.Itoa(t.Queue),
		ageText(t.AgeMs), t.Received.String(), t.Applied.String(), gate,
	}
}

func stateOf(d api.DaemonStatus) string {
	if d.Leaving {
		return "leaving"
	}
	return "live"
}

func roleText(role string) string {
	if role == "" {
		return "silent"
	}
	return role
}

func ageText(ageMs int64) string {
	if ageMs < 0 {
		return "unknown"
	}
	return fmt.Sprintf("%d ms", ageMs)
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

func liveMembers(members []api.MemberStatus) int {
	live := 0
	for _, m := range members {
		if m.Live {
			live++
		}
	}
	return live
}

func sum(counters []api.Counter) int64 {
	var total int64
	for _, c := range counters {
		total += c.Value
	}
	return total
}
