package lines

import (
	"fmt"
	"slices"
	"time"
)

// Audit compares what callers sent with what targets ran, against the versions of the workspaces that were acknowledged.
type Audit struct {
	Bounds     Bounds
	sent       map[string]sent
	executions []Execution
	versions   []workspaceVersion
}

// NewAudit returns the audit of what has been recorded so far.
func NewAudit(bounds Bounds, callers *CallerLog, operator *OperatorLog, groups ...*Group) Audit {
	a := Audit{Bounds: bounds, sent: map[string]sent{}}
	callers.mu.Lock()
	for id, s := range callers.sent {
		a.sent[id] = s
	}
	callers.mu.Unlock()
	operator.mu.Lock()
	a.versions = slices.Clone(operator.versions)
	operator.mu.Unlock()
	for _, g := range groups {
		a.executions = append(a.executions, g.Executions()...)
	}
	return a
}

// auditRules are the rules of keys and limits. Each returns a description of every breach.
var auditRules = []struct {
	name  string
	check func(Audit) []string
}{
	{"workspace of another caller", Audit.foreignExecutions},
	{"key that no configuration held", Audit.unknownKeyExecutions},
	{"withdrawn key", Audit.withdrawnKeyExecutions},
	{"limit of a workspace", Audit.exceededLimits},
}

// Breaches returns a description of each breach of a rule.
func (a Audit) Breaches() []string {
	var breaches []string
	for _, rule := range auditRules {
		for _, breach := range rule.check(a) {
			breaches = append(breaches, rule.name+": "+breach)
		}
	}
	return breaches
}

// eachKeyed calls check for each execution of a statement whose caller stated a key.
func (a Audit) eachKeyed(check func(Execution, sent) string) []string {
	var breaches []string
	for _, e := range a.executions {
		if s, ok := a.sent[e.ID]; ok && s.key != "" {
			if breach := check(e, s); breach != "" {
				breaches = append(breaches, fmt.Sprintf("statement %s ran for workspace %q: %s", e.ID, e.Workspace, breach))
			}
		}
	}
	return breaches
}

// workspaceOf returns the workspace that held a key in any version.
func (a Audit) workspaceOf(key string) (string, bool) {
	for _, v := range a.versions {
		if name, ok := holderOf(key, v.workspaces); ok {
			return name, true
		}
	}
	return "", false
}

func (a Audit) foreignExecutions() []string {
	return a.eachKeyed(func(e Execution, s sent) string {
		if owner, ok := a.workspaceOf(s.key); ok && owner != e.Workspace {
			return "the caller's is " + owner
		}
		return ""
	})
}

func (a Audit) unknownKeyExecutions() []string {
	return a.eachKeyed(func(_ Execution, s sent) string {
		if _, ok := a.workspaceOf(s.key); !ok {
			return "its key is unknown"
		}
		return ""
	})
}

// withdrawnAt returns the time at which the withdrawal of a key was acknowledged; false if the last version has it.
func (a Audit) withdrawnAt(key string) (time.Time, bool) {
	var at time.Time
	held := false
	for _, v := range a.versions {
		_, holds := holderOf(key, v.workspaces)
		if held && !holds {
			at = v.at
		}
		held = holds
	}
	return at, !held && !at.IsZero()
}

func (a Audit) withdrawnKeyExecutions() []string {
	return a.eachKeyed(func(_ Execution, s sent) string {
		at, withdrawn := a.withdrawnAt(s.key)
		if late := s.at.Sub(at); withdrawn && late > a.Bounds.Revoke {
			return fmt.Sprintf("sent %s after the withdrawal of its key was acknowledged", late.Round(time.Millisecond))
		}
		return ""
	})
}

// operation is an operation that ran: when its first statement was sent, and when that arrived at the target.
type operation struct{ sentAt, arrivedAt time.Time }

// operations returns the operations that ran, by the workspace of their caller, in the order in which they were sent.
func (a Audit) operations() map[string][]operation {
	byWorkspace := map[string][]operation{}
	for _, e := range a.executions {
		s := a.sent[e.ID]
		if workspace, ok := a.workspaceOf(s.key); ok && e.BeginsOperation {
			byWorkspace[workspace] = append(byWorkspace[workspace], operation{s.at, e.ArrivedAt})
		}
	}
	for _, list := range byWorkspace {
		slices.SortFunc(list, func(x, y operation) int { return x.sentAt.Compare(y.sentAt) })
	}
	return byWorkspace
}

// allowedFrom returns the operations of a workspace that may run in the window that begins at a time: the most that a
// version allows which was in force in the window, or may have been. A lower limit binds one window after ConfigApply.
func (a Audit) allowedFrom(workspace string, start time.Time) float64 {
	most := 0.0
	for i, v := range a.versions {
		replaced := i+1 < len(a.versions) && !start.Before(a.versions[i+1].at.Add(a.Bounds.ConfigApply+a.Bounds.Window))
		if replaced || v.at.After(start.Add(a.Bounds.Window)) {
			continue
		}
		for _, w := range v.workspaces {
			if w.Name == workspace {
				most = max(most, a.Bounds.allowed(w))
			}
		}
	}
	return most
}

// exceededLimits checks each window that begins when an operation is sent: what was sent and arrived within it counts.
// It returns the worst window of each workspace.
func (a Audit) exceededLimits() []string {
	if a.Bounds.Window == 0 {
		return nil
	}
	var breaches []string
	for workspace, list := range a.operations() {
		worst, text := 0.0, ""
		for i, first := range list {
			allowed := a.allowedFrom(workspace, first.sentAt)
			count := float64(countWithin(list[i:], first.sentAt.Add(a.Bounds.Window)))
			if count-allowed > worst {
				worst = count - allowed
				text = fmt.Sprintf("workspace %q ran %.0f operations in %s, allowed %.0f", workspace, count, a.Bounds.Window, allowed)
			}
		}
		if text != "" {
			breaches = append(breaches, text)
		}
	}
	slices.Sort(breaches)
	return breaches
}

// countWithin returns how many of the operations were sent and arrived before a time.
func countWithin(list []operation, end time.Time) int {
	count := 0
	for _, o := range list {
		if o.sentAt.After(end) {
			break
		}
		if !o.arrivedAt.After(end) {
			count++
		}
	}
	return count
}

// WronglyRefused returns how many operations of a workspace, sent at or after a time, were refused over its quota although its callers had sent
// no more than its rate allows in the window before, and how many they sent in all.
func (a Audit) WronglyRefused(w Workspace, from time.Time) (refused, asked int) {
	var all []sent
	for _, s := range a.sent {
		if owner, ok := a.workspaceOf(s.key); ok && owner == w.Name {
			all = append(all, s)
		}
	}
	slices.SortFunc(all, func(x, y sent) int { return x.at.Compare(y.at) })
	first := 0
	for i, s := range all {
		for all[first].at.Before(s.at.Add(-a.Bounds.Window)) {
			first++
		}
		if s.at.Before(from) {
			continue
		}
		asked++
		if s.refusedOverQuota && float64(i-first+1) <= w.RatePerS*a.Bounds.Window.Seconds() {
			refused++
		}
	}
	return refused, asked
}
