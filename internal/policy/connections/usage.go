package connections

import (
	"math"
	"time"
)

const (
	// useTime is the time constant with which uses are forgotten.
	useTime = 30 * time.Second
	// maxWorkspaces bounds the workspaces whose use is remembered. Beyond it those without connections in use are
	// forgotten once their expected use is below minExpectedUse.
	maxWorkspaces = 1024
)

// Usage is the observed use of the connections to one target by workspace. It is not safe for concurrent use.
type Usage struct {
	workspaces map[string]*workspaceUse
	lastUse    time.Time
}

// workspaceUse is the use of the connections of one workspace.
type workspaceUse struct {
	inUse int
	// levels[i] are the uses that began while i others were in use.
	levels []decayingCount
}

// NewUsage returns the use of a target that has not been used.
func NewUsage() *Usage { return &Usage{workspaces: make(map[string]*workspaceUse)} }

// Began records that a connection of the workspace is in use from now on, or is being opened.
func (u *Usage) Began(workspace string, now time.Time) {
	w := u.workspaces[workspace]
	if w == nil {
		u.forget(now)
		w = &workspaceUse{}
		u.workspaces[workspace] = w
	}
	if w.inUse == len(w.levels) {
		w.levels = append(w.levels, decayingCount{})
	}
	w.levels[w.inUse].add(now)
	w.inUse++
	u.lastUse = now
}

// Ended records that a connection of the workspace is no longer in use.
func (u *Usage) Ended(workspace string, now time.Time) {
	if w := u.workspaces[workspace]; w != nil && w.inUse > 0 {
		w.inUse--
	}
	u.lastUse = now
}

// InUse returns the number of connections of the workspace in use.
func (u *Usage) InUse(workspace string) int {
	if w := u.workspaces[workspace]; w != nil {
		return w.inUse
	}
	return 0
}

// Expected returns how often the n-th connection of a workspace, counted from 1, is expected to be used, per second.
func (u *Usage) Expected(workspace string, n int, now time.Time) float64 {
	w := u.workspaces[workspace]
	if w == nil || n < 1 || n > len(w.levels) {
		return 0
	}
	return w.levels[n-1].at(now) / useTime.Seconds()
}

// forget removes workspaces that are not expected to return soon, when there are too many.
func (u *Usage) forget(now time.Time) {
	if len(u.workspaces) < maxWorkspaces {
		return
	}
	for name, w := range u.workspaces {
		if w.inUse == 0 && u.Expected(name, 1, now) < minExpectedUse {
			delete(u.workspaces, name)
		}
	}
}

// decayingCount is a count whose items are weighted by their age.
type decayingCount struct {
	count float64
	as    time.Time
}

func (c *decayingCount) at(now time.Time) float64 {
	if c.count == 0 || !now.After(c.as) {
		return c.count
	}
	return c.count * math.Exp(-now.Sub(c.as).Seconds()/useTime.Seconds())
}

func (c *decayingCount) add(now time.Time) {
	c.count, c.as = c.at(now)+1, now
}
