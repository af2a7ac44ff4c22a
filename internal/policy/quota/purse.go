package quota

import (
	"math"
	"slices"
	"time"

	"github.com/papayacove/papayacove/api"
)

const (
	// demandMemory is the time constant of the moving average of the demand.
	demandMemory = 2 * time.Second
	// prefetchBeyond is the time beyond the next renewal for which tokens are asked for in advance.
	prefetchBeyond = 300 * time.Millisecond
	// refillBefore is the time for which the tokens held suffice at the recent demand when more are asked for.
	refillBefore = 150 * time.Millisecond
	// prefetchAfterUse is the time after the last operation of a workspace for which tokens are asked for in advance.
	prefetchAfterUse = 5 * time.Second
	// forgetAccountAfter is the time after the last operation after which a workspace occupies nothing.
	forgetAccountAfter = time.Minute
)

// Purse holds the tokens of one daemon, and decides when to ask for more. It is not safe for concurrent use. Times are
// those of the daemon's own boot clock.
type Purse struct {
	name        string
	incarnation uint64
	sequence    uint64
	lending     *lending
	accounts    map[string]*account
	limited     map[string]Bucket
}

// account is what a daemon knows of one workspace.
type account struct {
	lots []lot
	// demand is the moving average of the operations a second, at lastUsed.
	demand   float64
	lastUsed time.Duration
	// waiting is the number of operations that wait for a token.
	waiting int
	// refusedUntil is the time until which a coordinator that had no tokens is not asked.
	refusedUntil map[string]time.Duration
}

// lot is the rest of one grant.
type lot struct {
	tokens float64
	until  time.Duration
	from   string
	// firstSpent is when the token was spent before it was given back; 0 for tokens that were not.
	firstSpent time.Duration
}

// Verdict is the decision on one operation.
type Verdict int

// The verdicts of Spend.
const (
	// Spent means that the operation may be sent.
	Spent Verdict = iota
	// Ask means that the operation waits for the answer of a coordinator.
	Ask
	// Refused means that the operation is over the limit.
	Refused
)

// Decision is the verdict on one operation with its inputs.
type Decision struct {
	// SpentAt is when the token of a spent operation was spent first: earlier than now if it was given back meanwhile.
	SpentAt time.Duration
	Verdict Verdict
	// Coordinator is the one to be asked; with Spent, the one to be asked in advance; with Refused, the one that has no
	// tokens; empty for none. Age is the time since its last answer.
	Coordinator string
	Age         time.Duration
	// RetryAfter is the time after which the operation is to be decided on again: with Ask if the coordinator has not
	// answered until then, with Refused by a caller that tries again.
	RetryAfter time.Duration
	// Tokens is the number of tokens left.
	Tokens float64
}

// NewPurse returns the purse of a daemon, which owns nothing until SetFleet. An earlier start of the daemon may have lent
// its rights until LendFor after now; before, it owns them when all candidates have answered.
func NewPurse(name string, incarnation uint64, now time.Duration) *Purse {
	return &Purse{name: name, incarnation: incarnation, lending: newLending(name, now+LendFor), accounts: make(map[string]*account)}
}

// SetBuckets sets the buckets of the limited workspaces.
func (p *Purse) SetBuckets(buckets map[string]Bucket, now time.Duration) {
	p.limited = buckets
	p.lending.setBuckets(buckets, now)
}

// SetEarlierRules sets the number of the rules by which an earlier start of the daemon lent its rights; candidates are those
// to whom it may have lent them by the rules before LendingRules. By unknown rules it may have lent them to anybody.
func (p *Purse) SetEarlierRules(rules int, candidates []string) {
	p.lending.knowsBorrowers = rules == LendingRules || rules == LendingRules-1
	p.lending.earlierCandidates = nil
	if rules == LendingRules-1 {
		p.lending.earlierCandidates = candidates
	}
}

// SetFleet sets the part of each limit that the daemon owns, the number of daemons, the lane of the daemon, and the daemons
// in the order in which they coordinate each lane.
func (p *Purse) SetFleet(weight float64, daemons, home int, orders [Lanes][]string, now time.Duration) {
	p.lending.interval = RenewalInterval(daemons)
	p.lending.setFleet(weight, home, orders, now)
}

// Spend decides on one operation of a workspace. isNew is false when the operation has waited already.
func (p *Purse) Spend(workspace string, isNew bool, now time.Duration) Decision {
	if _, ok := p.limited[workspace]; !ok {
		return Decision{Verdict: Spent}
	}
	a := p.account(workspace)
	if isNew {
		a.recordUse(now)
	}
	a.dropExpired(now)
	if firstSpent, ok := a.take(now); ok {
		return Decision{Verdict: Spent, SpentAt: firstSpent, Coordinator: p.refillFrom(a, now), Tokens: a.tokens()}
	}
	if p.lending.spendOwn(workspace, now) {
		return Decision{Verdict: Spent, SpentAt: now}
	}
	return p.withoutTokens(a, now)
}

// withoutTokens decides on an operation for which the daemon has no token: it asks the first source that may have one and
// that answers as usual, or one that is overdue where there is no other. Where no source has a token, it is refused.
func (p *Purse) withoutTokens(a *account, now time.Duration) Decision {
	refused := Decision{Verdict: Refused, RetryAfter: maxRetryAfter}
	overdue := ""
	for _, coordinator := range p.sources(now) {
		until := a.refusedUntil[coordinator]
		switch {
		case now < until:
			refused.RetryAfter = min(refused.RetryAfter, until-now)
			refused.Coordinator, refused.Age = coordinator, now-p.lending.stamps[coordinator].receivedAt
		case !p.lending.isOverdue(coordinator, now):
			return Decision{Verdict: Ask, Coordinator: coordinator, RetryAfter: p.lending.overdueAfter(coordinator)}
		case overdue == "":
			overdue = coordinator
		}
	}
	if overdue != "" {
		return Decision{Verdict: Ask, Coordinator: overdue, RetryAfter: CallTimeout}
	}
	return refused
}

// sources returns the coordinators to ask for tokens, in order, that of the daemon's own lane first: those that the
// rights are lent to, and then those that others lend theirs to while this daemon has not moved its own yet.
func (p *Purse) sources(now time.Duration) []string {
	list := make([]string, 0, 2*Lanes)
	for _, choose := range []func(int, time.Duration) string{p.lending.coordinator, p.lending.first} {
		for i := range Lanes {
			if name := choose((p.lending.home+i)%Lanes, now); name != "" && !slices.Contains(list, name) {
				list = append(list, name)
			}
		}
	}
	return list
}

// Wait changes the number of operations that wait for tokens of a workspace.
func (p *Purse) Wait(workspace string, change int) {
	a := p.account(workspace)
	a.waiting = max(0, a.waiting+change)
}

// Return gives back the token of an operation that did not run, with Decision.SpentAt. It may be spent again until
// maxWaitToSend after it was spent first.
func (p *Purse) Return(workspace string, spentAt, now time.Duration) {
	if _, ok := p.limited[workspace]; !ok {
		return
	}
	p.account(workspace).restore(spentAt, now)
}

func (p *Purse) account(workspace string) *account {
	a, ok := p.accounts[workspace]
	if !ok {
		a = &account{}
		p.accounts[workspace] = a
	}
	return a
}

// refillFrom returns the coordinator to ask in advance, when the tokens left do not last for refillBefore.
func (p *Purse) refillFrom(a *account, now time.Duration) string {
	if a.tokens() >= a.demand*refillBefore.Seconds() {
		return ""
	}
	sources := p.sources(now)
	if len(sources) == 0 || now < a.refusedUntil[sources[0]] {
		return ""
	}
	return sources[0]
}

// Due returns the coordinators that are to be asked now because what is lent to them is to be renewed.
func (p *Purse) Due(now time.Duration) []string { return p.lending.due(now) }

// Request returns the next request to a coordinator, which renews what is lent and asks for tokens of all workspaces that
// need some. One request to a coordinator may be under way at a time.
func (p *Purse) Request(coordinator string, now time.Duration) *api.QuotaRequest {
	p.sequence++
	r := &api.QuotaRequest{Daemon: p.name, Incarnation: p.incarnation, Sequence: p.sequence}
	r.Delegations = p.lending.delegations(coordinator, now)
	place := slices.Index(p.sources(now), coordinator)
	for workspace, a := range p.accounts {
		if want, ok := p.want(workspace, a, coordinator, place, now); ok {
			r.Wants = append(r.Wants, want)
		}
		if a.waiting == 0 && len(a.lots) == 0 && now-a.lastUsed > forgetAccountAfter {
			delete(p.accounts, workspace)
		}
	}
	return r
}

// want returns what to ask a coordinator for, given its place among the sources. Tokens that would expire before the next renewal are given back.
func (p *Purse) want(workspace string, a *account, coordinator string, place int, now time.Duration) (api.QuotaWant, bool) {
	if _, ok := p.limited[workspace]; !ok {
		return api.QuotaWant{}, false
	}
	a.dropExpired(now)
	want := api.QuotaWant{Workspace: workspace}
	want.Returned = a.giveBack(coordinator, now+p.lending.interval)
	want.Held = a.tokensOf(coordinator)
	if now >= a.refusedUntil[coordinator] {
		want.Tokens = p.wantedFrom(a, place, now)
		want.Waiting = min(want.Tokens, float64(a.waiting))
	}
	return want, want.Tokens > 0 || want.Returned > 0 || want.Held > 0
}

// wantedFrom returns the number of tokens to ask the coordinator at a place among the sources for. Only the first source is
// asked for tokens in advance; a negative place is that of none.
func (p *Purse) wantedFrom(a *account, place int, now time.Duration) float64 {
	if place < 0 {
		return 0
	}
	if place > 0 {
		return float64(a.waiting)
	}
	needed := float64(a.waiting)
	if now-a.lastUsed < prefetchAfterUse {
		needed += math.Ceil(a.demandAt(now) * (p.lending.interval + prefetchBeyond).Seconds())
	}
	return max(0, math.Ceil(needed-a.tokens()))
}

// HandleReply takes in the answer to a request that was sent at sentAt. No more is taken than was asked for.
func (p *Purse) HandleReply(coordinator string, r *api.QuotaRequest, reply *api.QuotaReply, sentAt, now time.Duration) {
	p.lending.recordReply(coordinator, reply, sentAt, now)
	wanted := make(map[string]float64, len(r.Wants))
	for _, want := range r.Wants {
		wanted[want.Workspace] = want.Tokens
	}
	for _, grant := range reply.Grants {
		most, ok := wanted[grant.Workspace]
		if !ok {
			continue
		}
		delete(wanted, grant.Workspace)
		a := p.account(grant.Workspace)
		if tokens := min(most, math.Floor(amount(grant.Tokens))); tokens > 0 {
			a.lots = append(a.lots, lot{tokens: tokens, until: sentAt + TokensValidFor, from: coordinator})
		}
		if most > 0 && grant.RetryAfterUs > 0 && grant.Tokens < 1 {
			a.refuse(coordinator, now+clampRetry(float64(grant.RetryAfterUs)/1e6))
		}
	}
	for workspace, most := range wanted {
		if most > 0 {
			p.account(workspace).refuse(coordinator, now+noRightsRetry)
		}
	}
}

// HandleFailure records that a coordinator did not answer. It is not asked for a while.
func (p *Purse) HandleFailure(coordinator string, now time.Duration) {
	p.lending.avoid(coordinator, now)
}

// RecordMove records that a daemon has another address than before.
func (p *Purse) RecordMove(daemon string, now time.Duration) { p.lending.movedAt[daemon] = now }

// OwnWeight returns the part of the limits that the daemon owns and has not lent.
func (p *Purse) OwnWeight(now time.Duration) float64 { return p.lending.ownWeight(now) }

// Weight returns the part of each limit that the daemon owns.
func (p *Purse) Weight() float64 { return p.lending.weight }
