package engine

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayacove/papayacove/internal/clock"
	"github.com/papayacove/papayacove/internal/logevent"
	"github.com/papayacove/papayacove/internal/logfield"
	"github.com/papayacove/papayacove/internal/policy/leadership"
	"github.com/papayacove/papayacove/internal/policy/takeover"
)

// listTimeout bounds one list of the targets.
const listTimeout = time.Second

// copyMembers begins the promotion with the targets that the daemon knows.
func (p *promotion) copyMembers() {
	p.group.mu.Lock()
	defer p.group.mu.Unlock()
	p.members = maps.Clone(p.group.members)
}

// addListed adds the targets that the store lists and the promotion does not know, and returns their number. Without a
// lister, there are none.
func (p *promotion) addListed() (int, error) {
	if p.engine.options.TargetLister == nil {
		return 0, nil
	}
	// A promotion that is given up needs the reserve of the lock to resume the replicas.
	left := p.lockedUntil - orderReserve - clock.SinceBoot()
	ctx, cancel := context.WithTimeout(p.engine.ctx, min(listTimeout, left))
	defer cancel()
	joined, err := p.listJoined(ctx, slices.Collect(maps.Keys(p.members)))
	maps.Copy(p.members, joined)
	maps.Copy(p.joined, joined)
	return len(joined), err
}

// listJoined returns the targets that the store lists beside the known ones, by name.
func (p *promotion) listJoined(ctx context.Context, known []string) (map[string]*member, error) {
	listed, err := p.engine.options.TargetLister.ListTargets(ctx, p.group.name)
	if err != nil {
		return nil, err
	}
	entries := make(map[string]Target, len(listed))
	for _, t := range listed {
		entries[t.Name] = t
	}
	joined := make(map[string]*member)
	for _, name := range takeover.Joined(slices.Collect(maps.Keys(entries)), known) {
		joined[name] = p.group.newListedMember(entries[name])
		p.log().WithField(logfield.Target, name).Info(logevent.PromotionMemberJoined)
	}
	return joined, nil
}

// newListedMember returns a member that is used for the orders of one promotion. The group learns of the target when its
// entry is followed.
func (g *group) newListedMember(t Target) *member {
	return &member{name: t.Name, target: t, control: &controlConnection{dialer: g.dialer, target: func() Target { return t }}}
}

// closeJoined closes the connections to the targets that the promotion has added.
func (p *promotion) closeJoined() {
	for _, m := range p.joined {
		m.control.reset()
	}
}

// recheck returns the number of targets that have joined since the last list. It is false if a replica is no longer paused or
// the list cannot be had while the lock is held: the old primary has stepped down, so that the group is without one until
// the next promotion. The pauses are checked last, since a list may take a second.
func (p *promotion) recheck() (joined int, ok bool) {
	joined, err := p.addListed()
	for err != nil && clock.SinceBoot() < p.lockedUntil-orderReserve && clock.Sleep(p.engine.ctx, leadPoll) == nil {
		joined, err = p.addListed()
	}
	if err != nil {
		p.log().WithField(logfield.Error, err).Warn(logevent.TargetsNotListed)
		return 0, false
	}
	return joined, p.isStillPrepared()
}

// isStillPrepared asks the targets that the choice rests on again: the paused replicas and, if one could not be
// paused, the old primary, which leads again if it has restarted since it stepped down.
func (p *promotion) isStillPrepared() bool {
	asked := p.pausedMembers()
	if p.restsOnStepDown {
		asked[p.old] = p.members[p.old]
	}
	now := sendToAll(asked, Command{Op: OpStatus})
	if !takeover.StillPaused(p.paused, now) {
		p.log().Warn(logevent.ReplicaNoLongerPaused)
		return false
	}
	if p.restsOnStepDown && !takeover.StillSteppedDown(*p.demoted, now[p.old]) {
		p.log().Warn(logevent.OldPrimaryLeadsAgain)
		return false
	}
	return true
}

// resumeForgotten resumes the replicas that an earlier promotion has left paused. No other one is under way while
// this daemon holds the promotion lock.
func (p *promotion) resumeForgotten() {
	statuses := sendToAll(p.members, Command{Op: OpStatus})
	if statuses[p.old].Role != leadership.RolePrimary {
		return
	}
	forgotten := make(map[string]*member)
	for _, name := range takeover.ForgottenPauses(statuses, statuses[p.old].Term) {
		if !p.isLeaving(name) {
			forgotten[name] = p.members[name]
		}
	}
	p.log().WithField(logfield.Resumed, p.resume(forgotten)).Warn(logevent.ForgottenPausesEnded)
}

// logUnpausedMembers logs each replica that the daemon knows at the end of the promotion and that was not paused.
func (p *promotion) logUnpausedMembers() {
	p.group.mu.Lock()
	now := slices.Sorted(maps.Keys(p.group.members))
	p.group.mu.Unlock()
	for _, name := range now {
		if _, paused := p.paused[name]; !paused && name != p.old {
			_, known := p.members[name]
			p.log().WithFields(logrus.Fields{logfield.Target: name, logfield.Known: known}).Warn(logevent.PromotionMemberUnpaused)
		}
	}
}
