package lines

import (
	"slices"
	"sync"
	"time"
)

// Workspace is one workspace of the configuration, as the operator writes it.
type Workspace struct {
	Name string   `json:"Name"`
	Keys []string `json:"ApiKeys"`
	// RatePerS is the number of operations a second that its callers may run, over all daemons.
	RatePerS float64 `json:"RatePerS"`
	// Burst is the number of operations beyond the rate that may come at once.
	Burst float64 `json:"Burst"`
}

// Bounds are the bounds of keys and limits that the settings of the daemons state. The zero value stands for none.
type Bounds struct {
	// Revoke is the time after which no statement of a withdrawn key may run.
	Revoke time.Duration
	// ConfigApply is the time within which a configuration comes into force.
	ConfigApply time.Duration
	// Window is the length of the sliding window in which operations are counted.
	Window time.Duration
	// Overage is the part of a limit by which it may be exceeded in a window, Slack the number of operations.
	Overage, Slack float64
}

// allowed returns the number of operations of a workspace that may run in one window.
func (b Bounds) allowed(w Workspace) float64 {
	return (w.RatePerS*b.Window.Seconds()+w.Burst)*(1+b.Overage) + b.Slack
}

// CallerLog records the statements of callers. Its methods are safe for concurrent use.
type CallerLog struct {
	mu   sync.Mutex
	sent map[string]sent
}

// NewCallerLog returns an empty log.
func NewCallerLog() *CallerLog { return &CallerLog{sent: map[string]sent{}} }

func (l *CallerLog) recordSent(id string, s sent) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent[id] = s
}

func (l *CallerLog) recordResponse(id string, r Result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.sent[id]
	s.code, s.answeredAt, s.answer = r.Code, time.Now(), r.Text
	if r.Code == "" {
		s.succeededAt, s.signature = s.answeredAt, r.Signature
	}
	l.sent[id] = s
}

// change changes the record of a statement.
func (l *CallerLog) change(id string, by func(*sent)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.sent[id]
	by(&s)
	l.sent[id] = s
}

// recordBytes records the times at which the first byte of a statement was about to be sent and the last had been.
func (l *CallerLog) recordBytes(id string, first, last time.Time) {
	l.change(id, func(s *sent) { s.at, s.lastByteAt = first, last })
}

// recordEnd records that the connection of a statement has ended before the whole answer.
func (l *CallerLog) recordEnd(id string) { l.change(id, func(s *sent) { s.endedAt = time.Now() }) }

func (l *CallerLog) recordRefusedOverQuota(id string) {
	l.change(id, func(s *sent) { s.refusedOverQuota = true })
}

// OperatorLog records the versions of the workspaces that the store acknowledged. Its methods are safe for concurrent
// use.
type OperatorLog struct {
	mu       sync.Mutex
	versions []workspaceVersion
	routes   []routeVersion
}

// recordRoutes records the routes of a configuration before it is sent.
func (l *OperatorLog) recordRoutes(at time.Time, routes []Route) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.routes = append(l.routes, routeVersion{at, routes})
}

type workspaceVersion struct {
	at         time.Time
	workspaces []Workspace
}

func (l *OperatorLog) record(at time.Time, workspaces []Workspace) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.versions = append(l.versions, workspaceVersion{at, slices.Clone(workspaces)})
}

// recordRestore records that the store was restored to its state of a time. Withdrawals since then have to be
// acknowledged again.
func (l *OperatorLog) recordRestore(state time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := len(l.versions) - 1; i > 0; i-- {
		if !l.versions[i-1].at.After(state) {
			l.versions = append(l.versions, workspaceVersion{time.Now(), l.versions[i-1].workspaces})
			return
		}
	}
}

func holderOf(key string, workspaces []Workspace) (string, bool) {
	for _, w := range workspaces {
		if slices.Contains(w.Keys, key) {
			return w.Name, true
		}
	}
	return "", false
}
