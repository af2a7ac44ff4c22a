package watching

import (
	"slices"
	"time"
)

const (
	// silenceBeforeStore is the time without an answer after which a reader asks the store itself, and storeSpread the
	// time over which the readers do so.
	silenceBeforeStore = time.Second
	storeSpread        = time.Second
	// firstStoreDelay is the time after the first failure of the store before it is asked again. It doubles with each.
	firstStoreDelay = 100 * time.Millisecond
	// maxWatcherDelay bounds it for a daemon that follows the store and hears nothing, maxFedDelay for one that other
	// daemons answer meanwhile.
	maxWatcherDelay = 400 * time.Millisecond
	maxFedDelay     = 3 * time.Second
	// minReaderDelay bounds it from below for a reader, and readerDelayPerDaemon, for each daemon, from above, so that all
	// readers together ask a store that is down about ten times a second.
	minReaderDelay       = time.Second
	readerDelayPerDaemon = 100 * time.Millisecond
	// minCheckInterval and checkIntervalPerDaemon bound the interval at which a reader asks the store although others
	// answer: all readers together do so about once in four seconds.
	minCheckInterval       = time.Minute
	checkIntervalPerDaemon = 4 * time.Second
	// lostDelay is the time for which a daemon that has lost the store is not asked.
	lostDelay = 300 * time.Millisecond
	// firstSilentDelay and maxSilentDelay bound the time for which a daemon that does not answer is not asked.
	firstSilentDelay = 500 * time.Millisecond
	maxSilentDelay   = 4 * time.Second
	// invalidDelay is the time for which a daemon is not asked whose answer makes no sense.
	invalidDelay = 30 * time.Second
	// maxFar bounds the watchers and standbys of other zones, and maxOtherTries the daemons without a role, that one request
	// asks.
	maxFar        = 4
	maxOtherTries = 5
)

// Tier orders the sources.
type Tier uint8

// The tiers.
const (
	TierNone Tier = iota
	TierStore
	TierNear
	TierFar
	TierOther
)

var tierNames = [...]string{TierNone: "none", TierStore: "store", TierNear: "own_zone", TierFar: "other_zone", TierOther: "no_watcher"}

// String returns the name of the tier in logs.
func (t Tier) String() string { return tierNames[t] }

// Source is the store or another daemon.
type Source struct {
	Tier Tier
	// Peer is not used with TierStore.
	Peer Daemon
	// IsCheck is true for a call to the store that only checks what others answer.
	IsCheck bool
}

// Name names the source in logs.
func (s Source) Name() string {
	if s.Tier == TierStore {
		return "store"
	}
	return s.Peer.Name
}

// Failure says how a source failed.
type Failure uint8

// The failures.
const (
	// FailureSilent means that it was not reached or did not answer.
	FailureSilent Failure = iota
	// FailureLost means that the daemon does not follow the store at present.
	FailureLost
	// FailureBehind means that the daemon knows less than the one that asked.
	FailureBehind
	// FailureStale means that its proof is old.
	FailureStale
	// FailureInvalid means that its answer makes no sense.
	FailureInvalid
)

var failureNames = [...]string{
	FailureSilent: "silent", FailureLost: "lost_store", FailureBehind: "behind", FailureStale: "stale_proof", FailureInvalid: "invalid",
}

// String returns the name of the failure in logs.
func (f Failure) String() string { return failureNames[f] }

// aside is the time until which a daemon is not asked, and the number of times in a row that it was silent.
type aside struct {
	until  time.Duration
	silent int
}

// Chooser decides which sources one daemon asks. Times are of one clock of the daemon. It is not safe for concurrent use.
type Chooser struct {
	// random returns a random time from 0 to below the given one, which is positive.
	random     func(time.Duration) time.Duration
	assignment Assignment
	aside      map[string]aside
	// heardAt is the time of the last answer that was not stale.
	heardAt time.Duration
	// spread is the part of storeSpread that this daemon waits.
	spread time.Duration
	// storeDue is the earliest time of the next call to the store after a failed one.
	storeDue      time.Duration
	storeFailures int
	checkDue      time.Duration
	hasHeard      bool
	// current is the source of the last answer that was not stale.
	current Source
}

// NewChooser returns the chooser of a daemon that knows of no others.
func NewChooser(random func(time.Duration) time.Duration) *Chooser {
	return &Chooser{random: random, aside: make(map[string]aside)}
}

// Assign sets the role of the daemon and whom it may ask.
func (c *Chooser) Assign(a Assignment, now time.Duration) {
	if a.Role >= RoleStandby && c.assignment.Role < RoleStandby {
		c.drawCheck(a, now)
	}
	c.assignment = a
	known := make(map[string]aside, len(c.aside))
	for _, list := range [][]Daemon{a.Near, a.Far, a.Others} {
		for _, d := range list {
			if s, ok := c.aside[d.Name]; ok {
				known[d.Name] = s
			}
		}
	}
	c.aside = known
}

// Role returns the role of the daemon.
func (c *Chooser) Role() Role { return c.assignment.Role }

// Next returns the sources to ask at now until one answers, in order. There may be none.
func (c *Chooser) Next(now time.Duration) []Source {
	store, near := c.store(now), c.available(TierNear, c.assignment.Near, now)
	switch {
	case c.assignment.Role == RoleStandby:
		return slices.Concat(c.check(now), near, store, c.beyond(now))
	case c.assignment.Role == RoleReader && c.isSilent(now) && c.hasHeard:
		return slices.Concat(c.check(now), near, store, c.beyond(now))
	case c.assignment.Role == RoleReader && c.isSilent(now):
		return slices.Concat(near, c.beyond(now), store)
	case c.assignment.Role == RoleReader:
		return slices.Concat(c.check(now), near, c.beyond(now))
	case len(c.assignment.Near)+len(c.assignment.Far) == 0:
		return []Source{{Tier: TierStore}}
	default:
		return slices.Concat(store, near, c.beyond(now))
	}
}

// store returns the store if it may be asked.
func (c *Chooser) store(now time.Duration) []Source {
	if now >= c.storeDue {
		return []Source{{Tier: TierStore}}
	}
	return nil
}

// check returns the store if it is time to check what others answer.
func (c *Chooser) check(now time.Duration) []Source {
	if now >= c.checkDue && now >= c.storeDue {
		return []Source{{Tier: TierStore, IsCheck: true}}
	}
	return nil
}

// beyond returns the daemons to ask when those of the own zone with a role do not help: others in a silence, and watchers
// and standbys of other zones.
func (c *Chooser) beyond(now time.Duration) []Source {
	far := c.available(TierFar, c.assignment.Far, now)
	return append(c.others(now), far[:min(maxFar, len(far))]...)
}

// others returns daemons that are neither watcher nor standby, first the one that answered last, if nothing was heard from
// others for long enough.
func (c *Chooser) others(now time.Duration) []Source {
	if !c.hasHeard || !c.isSilent(now) {
		return nil
	}
	available := c.available(TierOther, c.assignment.Others, now)
	if i := slices.Index(available, c.current); i > 0 {
		available[0], available[i] = available[i], available[0]
	}
	return available[:min(maxOtherTries, len(available))]
}

// isSilent reports whether nothing was heard from a watcher or standby, or by a watcher from the store, for long enough to
// ask elsewhere.
func (c *Chooser) isSilent(now time.Duration) bool {
	isElsewhere := c.current.Tier == TierOther || c.current.Tier == TierStore && c.assignment.Role == RoleReader
	return !c.hasHeard || isElsewhere || now-c.heardAt >= silenceBeforeStore+c.spread
}

func (c *Chooser) available(tier Tier, daemons []Daemon, now time.Duration) []Source {
	var sources []Source
	for _, d := range daemons {
		if now >= c.aside[d.Name].until {
			sources = append(sources, Source{Tier: tier, Peer: d})
		}
	}
	return sources
}

// Succeeded records an answer of a source. isStale is true if the answer is of use, and its proof old.
func (c *Chooser) Succeeded(s Source, now time.Duration, isStale bool) {
	if s.Tier == TierStore {
		c.storeFailures, c.storeDue = 0, 0
		c.drawCheck(c.assignment, now)
	} else {
		delete(c.aside, s.Peer.Name)
	}
	if isStale {
		c.Failed(s, now, FailureStale)
		return
	}
	if s.IsCheck {
		return
	}
	// The first answer comes from the store where the watchers have none yet.
	if c.hasHeard || s.Tier != TierStore {
		c.current = s
	}
	c.hasHeard, c.heardAt = true, now
	if s.Tier != TierStore {
		c.spread = c.random(storeSpread)
	}
}

// Failed records that a source failed.
func (c *Chooser) Failed(s Source, now time.Duration, why Failure) {
	if s.Tier == TierStore {
		c.storeFailed(s, now)
		return
	}
	known := c.aside[s.Peer.Name]
	delay := lostDelay
	switch why {
	case FailureSilent:
		delay = min(firstSilentDelay<<min(known.silent, 10), maxSilentDelay)
		known.silent++
	case FailureInvalid:
		delay = invalidDelay
	}
	known.until = now + c.jitter(delay)
	c.aside[s.Peer.Name] = known
}

// storeFailed delays the next call to the store.
func (c *Chooser) storeFailed(s Source, now time.Duration) {
	if s.IsCheck {
		c.drawCheck(c.assignment, now)
	}
	delay := firstStoreDelay << min(c.storeFailures, 10)
	c.storeFailures++
	isFed := c.hasHeard && now-c.heardAt < 2*maxPeerWait
	switch {
	case c.assignment.Role == RoleReader:
		most := max(minReaderDelay, time.Duration(c.assignment.Daemons)*readerDelayPerDaemon)
		delay = min(minReaderDelay<<min(c.storeFailures-1, 10), most)
	case isFed:
		delay = min(delay, maxFedDelay)
	default:
		delay = min(delay, maxWatcherDelay)
	}
	c.storeDue = now + c.jitter(delay)
}

// drawCheck sets the time of the next call to the store that checks what others answer.
func (c *Chooser) drawCheck(a Assignment, now time.Duration) {
	interval := max(minCheckInterval, time.Duration(a.Daemons)*checkIntervalPerDaemon)
	c.checkDue = now + interval/2 + c.random(interval)
}

// jitter returns a random time from half of d to d.
func (c *Chooser) jitter(d time.Duration) time.Duration { return d/2 + c.random(d/2+1) }
