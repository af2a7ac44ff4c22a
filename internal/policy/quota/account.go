package quota

import (
	"cmp"
	"math"
	"time"
)

// recordUse takes one operation into the moving average of the demand.
func (a *account) recordUse(now time.Duration) {
	a.demand = a.demandAt(now) + 1/demandMemory.Seconds()
	a.lastUsed = now
}

// demandAt returns the recent operations a second.
func (a *account) demandAt(now time.Duration) float64 {
	return a.demand * math.Exp(-(now-a.lastUsed).Seconds()/demandMemory.Seconds())
}

// dropExpired removes tokens that may no longer be spent.
func (a *account) dropExpired(now time.Duration) {
	kept := a.lots[:0]
	for _, l := range a.lots {
		if l.until > now && l.tokens >= 1 {
			kept = append(kept, l)
		}
	}
	a.lots = kept
}

// take spends one token, of the lot that expires first, and returns when it was first spent.
func (a *account) take(now time.Duration) (firstSpent time.Duration, ok bool) {
	first := -1
	for i, l := range a.lots {
		if l.tokens >= 1 && (first < 0 || l.until < a.lots[first].until) {
			first = i
		}
	}
	if first < 0 {
		return 0, false
	}
	a.lots[first].tokens--
	return cmp.Or(a.lots[first].firstSpent, now), true
}

// refuse records that a coordinator has no tokens until a time.
func (a *account) refuse(coordinator string, until time.Duration) {
	if a.refusedUntil == nil || len(a.refusedUntil) > 4*Lanes {
		a.refusedUntil = make(map[string]time.Duration)
	}
	a.refusedUntil[coordinator] = until
}

// tokens returns the number of tokens held.
func (a *account) tokens() float64 {
	var sum float64
	for _, l := range a.lots {
		sum += l.tokens
	}
	return sum
}

// tokensOf returns the number of tokens held that a coordinator granted.
func (a *account) tokensOf(coordinator string) float64 {
	var sum float64
	for _, l := range a.lots {
		if l.from == coordinator {
			sum += l.tokens
		}
	}
	return sum
}

// giveBack removes the tokens of a coordinator that expire before a time, and returns their number.
func (a *account) giveBack(coordinator string, before time.Duration) float64 {
	var sum float64
	kept := a.lots[:0]
	for _, l := range a.lots {
		if l.from == coordinator && l.until < before {
			sum += l.tokens
			continue
		}
		kept = append(kept, l)
	}
	a.lots = kept
	return sum
}

// restore adds a token that was first spent at a time, and not used. It is valid for no longer than an operation may wait
// with its token. A token that is given back and spent again keeps its date, so that operations that wait and are refused one
// after the other do not keep it for longer.
func (a *account) restore(firstSpent, now time.Duration) {
	if now-firstSpent < maxWaitToSend {
		a.lots = append(a.lots, lot{tokens: 1, until: firstSpent + maxWaitToSend, firstSpent: firstSpent})
	}
}
