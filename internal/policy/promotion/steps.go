package promotion

import (
	"time"

	"github.com/papayacove/papayacove/api"
)

// writeRecord returns the conditional update of the current step: it opens the term, or records the primary once the
// chosen target leads.
func (p *Promotion) writeRecord() []Order {
	record := api.TermRecord{
		ChangeID: p.cfg.ChangeID,
		Group:    p.cfg.Group,
		Promoter: p.cfg.Promoter,
		Reason:   p.cfg.Reason,
		Term:     p.term,
	}
	if p.step == StepFollow {
		record.Primary = p.chosen
		record.Start = p.start
	}
	return []Order{WriteRecord{Record: record, Version: p.version}}
}

func (p *Promotion) onRecordWritten(version uint64, now time.Time) []Order {
	switch p.step {
	case StepOpen:
		return p.onTermOpened(version, now)
	case StepFollow:
		p.version = version
		p.recorded = true
		return p.finishWhenDone(now)
	default:
		return nil
	}
}

func (p *Promotion) onTermOpened(version uint64, now time.Time) []Order {
	p.version = version
	p.reading = false
	p.step = StepFence
	return append(p.fenceOthers(), p.scheduleRetry(now))
}

// onRecordConflict reads the record: the conflict may have been caused by an earlier update of this promotion that took
// effect and whose answer was lost.
func (p *Promotion) onRecordConflict() []Order {
	return p.onRecordUnknown()
}

func (p *Promotion) onRecordUnknown() []Order {
	if p.step != StepOpen && p.step != StepFollow {
		return nil
	}
	p.reading = true
	return []Order{ReadRecord{Group: p.cfg.Group}}
}

func (p *Promotion) onRecordRead(e RecordRead, now time.Time) []Order {
	if !p.reading {
		return nil
	}
	p.reading = false
	own := e.Record.ChangeID == p.cfg.ChangeID && e.Record.Term == p.term
	switch {
	case !own && e.Version == p.version:
		return append(p.writeRecord(), p.scheduleRetry(now))
	case !own:
		return p.abandon(AbandonRecordConflict)
	case p.step == StepOpen:
		return p.onTermOpened(e.Version, now)
	case e.Record.Primary == p.chosen:
		return p.onRecordWritten(e.Version, now)
	default:
		p.version = e.Version
		return append(p.writeRecord(), p.scheduleRetry(now))
	}
}

// fenceOthers returns a Fence for each target that is not fenced yet.
func (p *Promotion) fenceOthers() []Order {
	var orders []Order
	for _, name := range p.cfg.Targets {
		if _, ok := p.fenced[name]; !ok {
			orders = append(orders, Fence{Target: name, Term: p.term})
		}
	}
	return orders
}

// onFenceAnswered records a target as fenced if it reports the term of the promotion, whether it accepted or refused
// this call: no other promoter uses the term, so if it refused, an earlier call of this promoter had taken effect.
func (p *Promotion) onFenceAnswered(e FenceAnswered, now time.Time) []Order {
	if p.step != StepFence && p.step != StepAwaitExpiry {
		return nil
	}
	if e.Term > p.term {
		return p.abandon(AbandonLaterTerm)
	}
	if e.Term < p.term || !p.isMember(e.Target) {
		return nil
	}
	p.fenced[e.Target] = e.Received
	if p.step == StepAwaitExpiry || len(p.fenced) < p.needed {
		return nil
	}
	p.step = StepAwaitExpiry
	p.expiryAt = now.Add(p.cfg.Validity)
	return []Order{WakeAt{At: p.nextWake()}}
}

// onPromoteAnswered never chooses another target: the chosen one may have been promoted without its answer arriving,
// and a term has only one primary.
func (p *Promotion) onPromoteAnswered(e PromoteAnswered, now time.Time) []Order {
	if p.step != StepPromote || e.Target != p.chosen {
		return nil
	}
	if e.Term > p.term {
		return p.abandon(AbandonLaterTerm)
	}
	if !e.IsPrimary || e.Term != p.term {
		return nil
	}
	p.step = StepFollow
	p.start = e.Start
	p.following[p.chosen] = true
	orders := append(p.writeRecord(), p.followOthers()...)
	return append(orders, p.scheduleRetry(now))
}

// followOthers returns a Follow for each target that does not follow the primary yet. These orders don't wait for the
// record to be written, because writes can be confirmed as soon as a majority follows.
func (p *Promotion) followOthers() []Order {
	var orders []Order
	for _, name := range p.cfg.Targets {
		if !p.following[name] {
			orders = append(orders, Follow{Target: name, Term: p.term, Primary: p.chosen})
		}
	}
	return orders
}

func (p *Promotion) onFollowAnswered(e FollowAnswered, now time.Time) []Order {
	if p.step != StepFollow || !p.isMember(e.Target) {
		return nil
	}
	if e.Term > p.term {
		return p.abandon(AbandonLaterTerm)
	}
	if !e.IsFollowing || e.Term != p.term {
		return nil
	}
	p.following[e.Target] = true
	return p.finishWhenDone(now)
}

func (p *Promotion) finishWhenDone(now time.Time) []Order {
	if !p.recorded || len(p.following) < p.needed {
		return nil
	}
	p.step = StepFinished
	return []Order{Finished{
		Group:    p.cfg.Group,
		Term:     p.term,
		Primary:  p.chosen,
		Start:    p.start,
		Duration: now.Sub(p.startedAt),
	}}
}

func (p *Promotion) isMember(target string) bool {
	for _, name := range p.cfg.Targets {
		if name == target {
			return true
		}
	}
	return false
}
