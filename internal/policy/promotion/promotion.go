// Package promotion decides when a group gets a new primary and carries out the change.
//
// A term is the number of a promotion of a group; it has at most one primary. A fenced target refuses every lower
// term. A term is open until its primary is named in the term record, the object in which the platform keeps the
// newest term of the group.
//
// Promotion is a state machine: it opens the next term by a conditional update of the term record, fences a majority of
// the targets, waits until confirmations of the old term have expired, promotes the fenced target with the highest log
// position, records it and makes the others follow. Of several concurrent promoters, the conditional update and the
// fences let one succeed; a promoter that was suspended and resumes later finds its term refused. If a promoter leaves
// its term open, another one opens the next term.
package promotion

import (
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/invariant"
	"github.com/papayacove/papayacove/internal/logfield"
	"github.com/papayacove/papayacove/internal/policy/confirm"
	"github.com/sirupsen/logrus"
)

// Step is a step of a promotion.
type Step uint8

// The steps of a promotion in their order.
const (
	// StepOpen waits for the conditional update that opens the term.
	StepOpen Step = iota
	// StepFence waits until a majority is fenced.
	StepFence
	// StepAwaitExpiry waits until confirmations of earlier terms have expired.
	StepAwaitExpiry
	// StepPromote waits for the answer of the chosen target.
	StepPromote
	// StepFollow waits until the primary is recorded and a majority follows it.
	StepFollow
	// StepFinished and StepAbandoned are final.
	StepFinished
	StepAbandoned
)

var stepNames = [...]string{
	StepOpen:        "open",
	StepFence:       "fence",
	StepAwaitExpiry: "settle",
	StepPromote:     "promote",
	StepFollow:      "follow",
	StepFinished:    "finished",
	StepAbandoned:   "abandoned",
}

// String returns the name of the step.
func (s Step) String() string {
	return stepNames[s]
}

// Default times of a promotion.
const (
	// DefaultRetryInterval is the time after which unanswered orders are repeated.
	DefaultRetryInterval = 100 * time.Millisecond
	// DefaultTimeout is the time after which a promotion is abandoned.
	DefaultTimeout = 5 * time.Second
)

// Config describes one promotion.
type Config struct {
	Group string
	// Targets are the names of all targets of the group.
	Targets []string
	// Avoid lists targets, such as leaving ones, that are chosen only when no other fenced target has as high a position.
	Avoid []string
	// Promoter names the daemon that runs the promotion.
	Promoter string
	// ChangeID identifies the promotion; no two promotions of any daemons share one.
	ChangeID string
	// Reason is written to the term record.
	Reason string
	// Validity is the time for which confirmations are valid; 0 means confirm.Validity.
	Validity time.Duration
	// RetryInterval is the time after which unanswered orders are repeated; 0 means DefaultRetryInterval.
	RetryInterval time.Duration
	// Timeout is the time after which the promotion is abandoned; 0 means DefaultTimeout.
	Timeout time.Duration
}

// Promotion is the state of one promotion. It is not safe for concurrent use.
type Promotion struct {
	cfg       Config
	term      uint64
	version   uint64
	step      Step
	startedAt time.Time
	retryAt   time.Time
	// expiryAt is the time at which the confirmations of earlier terms have expired; set in StepAwaitExpiry.
	expiryAt time.Time
	// needed is the number of targets that makes a majority.
	needed int

	// reading is true while the term record is being read to learn whether a conditional update took effect.
	reading bool
	// fenced holds the end of the log of each fenced target.
	fenced map[string]api.Position
	// chosen is the only target that may be promoted in this term.
	chosen    string
	start     api.Position
	recorded  bool
	following map[string]bool
}

// New returns the promotion to the term after that of current, and its first orders. version is the version of current
// in the platform. For a group without a term record current is the zero record and version is 0.
func New(cfg Config, current api.TermRecord, version uint64, now time.Time) (*Promotion, []Order) {
	p := &Promotion{
		cfg:       withDefaults(cfg),
		term:      current.Term + 1,
		version:   version,
		startedAt: now,
		needed:    confirm.Majority(len(cfg.Targets)),
		fenced:    make(map[string]api.Position, len(cfg.Targets)),
		following: make(map[string]bool, len(cfg.Targets)),
	}
	return p, append(p.writeRecord(), p.scheduleRetry(now))
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

// Step returns the step that the promotion has reached.
func (p *Promotion) Step() Step { return p.step }

// Primary returns the target that was chosen as the primary of the new term; empty before the choice.
func (p *Promotion) Primary() string { return p.chosen }

// IsDone reports whether the promotion has ended.
func (p *Promotion) IsDone() bool {
	return p.step == StepFinished || p.step == StepAbandoned
}

// Fields returns the fields that describe the state of the promotion in a log line.
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

// Handle applies an event and returns the orders that follow from it, in the sequence in which they have to be carried
// out. Events that are late, repeated or meant for another step change nothing.
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
	if now.Sub(p.startedAt) >= p.cfg.Timeout {
		return p.abandon(AbandonTimeout)
	}
	if p.step == StepAwaitExpiry && !now.Before(p.expiryAt) {
		return p.promote(now)
	}
	if now.Before(p.retryAt) {
		return []Order{WakeAt{At: p.nextWake()}}
	}
	return append(p.unanswered(), p.scheduleRetry(now))
}

// unanswered returns the orders of the current step that are still unanswered.
func (p *Promotion) unanswered() []Order {
	if p.reading {
		return []Order{ReadRecord{Group: p.cfg.Group}}
	}
	switch p.step {
	case StepOpen:
		return p.writeRecord()
	case StepFence, StepAwaitExpiry:
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

// scheduleRetry sets the time of the next retry and returns the order for its Tick.
func (p *Promotion) scheduleRetry(now time.Time) Order {
	p.retryAt = now.Add(p.cfg.RetryInterval)
	return WakeAt{At: p.nextWake()}
}

func (p *Promotion) nextWake() time.Time {
	if p.step == StepAwaitExpiry && p.expiryAt.Before(p.retryAt) {
		return p.expiryAt
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

// promote chooses the fenced target with the highest position, once in the term, and returns the order to promote it.
func (p *Promotion) promote(now time.Time) []Order {
	invariant.Check(p.chosen == "", "promotion_chooses_once", p.Fields())
	invariant.Check(len(p.fenced) >= p.needed, "promotion_fenced_majority", p.Fields())
	p.step = StepPromote
	p.chosen = p.bestFenced()
	return []Order{Promote{Target: p.chosen, Term: p.term}, p.scheduleRetry(now)}
}

// bestFenced returns the fenced target with the highest position, compared by log term and then by offset. Among equals
// it prefers one that is not in Avoid.
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
