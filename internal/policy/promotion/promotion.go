// Package promotion decides when a group gets a new primary and carries the change out.
//
// Promotion is a state machine: it opens the next term by a conditional update of the term
// record, fences a majority, waits until confirmations of the old term have lapsed, promotes the
// fenced target with the highest log position, records it and makes the others follow. Racing
// promoters meet at the conditional update and at the fences; a paused promoter that goes on
// later finds its term refused. A term that a promoter left open is taken over by opening the
// next term.
package promotion

import (
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/invariant"
	"github.com/papayacove/papayacove/internal/logfield"
	"github.com/papayacove/papayacove/internal/policy/confirm"
	"github.com/sirupsen/logrus"
)

// Step is the stage that a promotion has reached.
type Step uint8

// The steps of a promotion in their order.
const (
	// StepOpen waits for the conditional update that opens the term.
	StepOpen Step = iota
	// StepFence waits until a majority is fenced.
	StepFence
	// StepSettle waits until confirmations of earlier terms have lapsed.
	StepSettle
	// StepPromote waits for the answer of the chosen target.
	StepPromote
	// StepFollow waits until the primary is recorded and a majority follows it.
	StepFollow
	// StepFinished and StepAbandoned are final.
	StepFinished
	StepAbandoned
)

var stepNames = [...]string{
	StepOpen:      "open",
	StepFence:     "fence",
	StepSettle:    "settle",
	StepPromote:   "promote",
	StepFollow:    "follow",
	StepFinished:  "finished",
	StepAbandoned: "abandoned",
}

// String returns the name of the step.
func (s Step) String() string {
	return stepNames[s]
}

// Default times of a promotion.
const (
	// DefaultRetryInterval is the time after which an unanswered order is repeated.
	DefaultRetryInterval = 100 * time.Millisecond
	// DefaultTimeout is the time after which a promotion is abandoned.
	DefaultTimeout = 5 * time.Second
)

// Config describes one promotion.
type Config struct {
	Group string
	// Targets are the names of all targets of the group.
	Targets []string
	// Avoid lists targets that are chosen only when no other has as high a position, such as
	// leaving ones.
	Avoid []string
	// Promoter names the daemon that runs the promotion.
	Promoter string
	// ChangeID is unique for each promotion of any daemon.
	ChangeID string
	// Reason is written to the term record.
	Reason string
	// Validity is the validity of confirmations; 0 means confirm.Validity.
	Validity time.Duration
	// RetryInterval is the time after which an unanswered order is repeated; 0 means the default.
	RetryInterval time.Duration
	// Timeout is the time after which the promotion is abandoned; 0 means the default.
	Timeout time.Duration
}

// Promotion is the state of one promotion. It is not safe for concurrent use.
type Promotion struct {
	cfg      Config
	term     uint64
	version  uint64
	step     Step
	began    time.Time
	retryAt  time.Time
	settleAt time.Time
	needed   int

	// reading is true while the outcome of a conditional update is being looked up.
	reading bool
	fenced  map[string]api.Position
	// chosen is the only target that this term may promote.
	chosen    string
	start     api.Position
	recorded  bool
	following map[string]bool
}

// New returns the promotion to the term after current, whose version in the platform is given,
// and its first orders. A group without a term record has a zero current record and version 0.
func New(cfg Config, current api.TermRecord, version uint64, now time.Time) (*Promotion, []Order) {
	p := &Promotion{
		cfg:       withDefaults(cfg),
		term:      current.Term + 1,
		version:   version,
		began:     now,
		needed:    confirm.Majority(len(cfg.Targets)),
		fenced:    make(map[string]api.Position, len(cfg.Targets)),
		following: make(map[string]bool, len(cfg.Targets)),
	}
	return p, append(p.writeRecord(), p.rearm(now))
}

func withDefaults(cfg Config) Config {
	if cfg.Validity == 0 {
		cfg.Validity = confirm.Validity
	}
	if cfg.RetryInterval == 0 {
		cfg.RetryInterval = DefaultRetryInterval
	}
	if cfg.Timeout == 0 {
		cfg.Timeout = DefaultTimeout
	}
	return cfg
}

// Term returns the term that the promotion opens.
func (p *Promotion) Term() uint64 { return p.term }

// Step returns the stage that the promotion has reached.
func (p *Promotion) Step() Step { return p.step }

// Primary returns the target that leads the new term; empty until it was chosen.
func (p *Promotion) Primary() string { return p.chosen }

// IsDone reports whether the promotion has ended.
func (p *Promotion) IsDone() bool {
	return p.step == StepFinished || p.step == StepAbandoned
}

// Fields returns the fields of a log line on the state of the promotion.
func (p *Promotion) Fields() logrus.Fields {
	return logrus.Fields{
		logfield.Group:     p.cfg.Group,
		logfield.Term:      p.term,
		logfield.Step:      p.step.String(),
		logfield.Fenced:    len(p.fenced),
		logfield.Following: len(p.following),
		logfield.Needed:    p.needed,
		logfield.Primary:   p.chosen,
		logfield.Reason:    p.cfg.Reason,
	}
}

// Handle takes in an event and returns the orders that follow from it, in the order in which they
// have to be given. Events that come late, twice or for another step change nothing.
func (p *Promotion) Handle(event Event, now time.Time) []Order {
	if p.IsDone() {
		return nil
	}
	switch e := event.(type) {
	case RecordWritten:
		return p.onRecordWritten(e.Version, now)
	case RecordConflict:
		return p.onRecordConflict()
	case RecordUnknown:
		return p.onRecordUnknown()
	case RecordRead:
		return p.onRecordRead(e, now)
	case RecordReadFailed:
		return nil
	case FenceAnswered:
		return p.onFenceAnswered(e, now)
	case PromoteAnswered:
		return p.onPromoteAnswered(e, now)
	case FollowAnswered:
		return p.onFollowAnswered(e, now)
	case Tick:
		return p.onTick(now)
	}
	return nil
}

func (p *Promotion) onTick(now time.Time) []Order {
	if now.Sub(p.began) >= p.cfg.Timeout {
		return p.abandon(AbandonTimeout)
	}
	if p.step == StepSettle && !now.Before(p.settleAt) {
		return p.promote(now)
	}
	if now.Before(p.retryAt) {
		return []Order{WakeAt{At: p.nextWake()}}
	}
	return append(p.repeat(), p.rearm(now))
}

// repeat returns the orders of the step that are still unanswered.
func (p *Promotion) repeat() []Order {
	if p.reading {
		return []Order{ReadRecord{Group: p.cfg.Group}}
	}
	switch p.step {
	case StepOpen:
		return p.writeRecord()
	case StepFence, StepSettle:
		return p.fenceOthers()
	case StepPromote:
		return []Order{Promote{Target: p.chosen, Term: p.term}}
	case StepFollow:
		orders := p.followOthers()
		if !p.recorded {
			orders = append(orders, p.writeRecord()...)
		}
		return orders
	default:
		return nil
	}
}

// rearm sets the next retry and returns the order for its Tick.
func (p *Promotion) rearm(now time.Time) Order {
	p.retryAt = now.Add(p.cfg.RetryInterval)
	return WakeAt{At: p.nextWake()}
}

func (p *Promotion) nextWake() time.Time {
	if p.step == StepSettle && p.settleAt.Before(p.retryAt) {
		return p.settleAt
	}
	return p.retryAt
}

func (p *Promotion) abandon(reason AbandonReason) []Order {
	at := p.step
	p.step = StepAbandoned
	return []Order{Abandoned{
		Group:  p.cfg.Group,
		Term:   p.term,
		Reason: reason,
		Step:   at,
		Fenced: len(p.fenced),
		Needed: p.needed,
	}}
}

// promote chooses the fenced target with the highest position, once for the term.
func (p *Promotion) promote(now time.Time) []Order {
	invariant.Check(p.chosen == "", "promotion_chooses_once", p.Fields())
	invariant.Check(len(p.fenced) >= p.needed, "promotion_fenced_majority", p.Fields())
	p.step = StepPromote
	p.chosen = p.bestFenced()
	return []Order{Promote{Target: p.chosen, Term: p.term}, p.rearm(now)}
}

// bestFenced returns the fenced target with the highest (log term, offset); among equals one
// that need not be avoided.
func (p *Promotion) bestFenced() string {
	best := ""
	for _, name := range p.cfg.Targets {
		position, ok := p.fenced[name]
		if !ok {
			continue
		}
		if best == "" || p.isBetter(name, position, best, p.fenced[best]) {
			best = name
		}
	}
	return best
}

func (p *Promotion) isBetter(name string, position api.Position, best string, bestPosition api.Position) bool {
	if c := position.Compare(bestPosition); c != 0 {
		return c > 0
	}
	return p.isAvoided(best) && !p.isAvoided(name)
}

func (p *Promotion) isAvoided(name string) bool {
	for _, avoided := range p.cfg.Avoid {
		if avoided == name {
			return true
		}
	}
	return false
}
