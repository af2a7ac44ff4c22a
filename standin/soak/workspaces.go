package soak

import (
	"context"
	"fmt"
	"math/rand"
	"sync"
	"time"

	"github.com/papayacove/papayacove/internal/clock"
	"github.com/papayacove/papayacove/standin/lines"
	"github.com/papayacove/papayacove/standin/netfault"
)

// demand is what the callers of one workspace ask for.
type demand struct {
	workspace lines.Workspace
	// sessions is the number of sessions at a time, pause the time between two statements of one.
	sessions int
	pause    time.Duration
}

// busyWorkspace is the workspace of the callers whose results are checked. Its limit is above what they can reach.
const busyWorkspace = "busy"

// demands are the workspaces of a run: hot asks several times its limit, cold a third of it.
var demands = []demand{
	{workspace: lines.Workspace{Name: busyWorkspace, RatePerS: 8000, Burst: 8000}},
	{lines.Workspace{Name: "hot", RatePerS: 60, Burst: 30}, 3, 5 * time.Millisecond},
	{lines.Workspace{Name: "cold", RatePerS: 100, Burst: 50}, 2, 60 * time.Millisecond},
}

const (
	// lastingFault is the least time that some faults last: longer than a withdrawn key may be in use.
	lastingFault = 6 * time.Second
	// calmTime is the time after all faults for which the demands go on. Refusals in its second half are checked.
	calmTime = 4 * time.Second
	// maxWrongShare is the part of the operations below a limit that may be refused in that time.
	maxWrongShare = 0.05
	// oldKeyOneIn and unknownKeyOneIn set how often a session is opened with the first key of its workspace, which may have
	// been withdrawn, or with a key that no workspace has.
	oldKeyOneIn     = 6
	unknownKeyOneIn = 30
	// favoriteOneIn sets how often a session is opened at another daemon than that of its workspace.
	favoriteOneIn = 4
)

// Workspaces returns the workspaces of a run, with two keys each.
func Workspaces() []lines.Workspace {
	var list []lines.Workspace
	for _, d := range demands {
		d.workspace.Keys = []string{keyOf(d.workspace.Name, 1), keyOf(d.workspace.Name, 2)}
		list = append(list, d.workspace)
	}
	return list
}

func keyOf(workspace string, number int) string { return fmt.Sprintf("key-%s-%d", workspace, number) }

// currentKey returns the newest key of a workspace; any word if the fleet has no workspaces.
func currentKey(f *lines.Fleet, workspace string) string {
	for _, w := range f.Workspaces() {
		if w.Name == workspace {
			return w.Keys[len(w.Keys)-1]
		}
	}
	return "user"
}

// pickKey draws the key of a new session of a workspace: most times the newest one.
func pickKey(f *lines.Fleet, workspace string, random *rand.Rand) string {
	current := currentKey(f, workspace)
	if len(f.Workspaces()) == 0 {
		return current
	}
	switch {
	case random.Intn(unknownKeyOneIn) == 0:
		return "key-of-nobody"
	case random.Intn(oldKeyOneIn) == 0:
		return keyOf(workspace, 1)
	}
	return current
}

// withdrawKey withdraws the oldest key of a workspace and adds a new one.
func withdrawKey(f *lines.Fleet, random *rand.Rand) string {
	workspaces := f.Workspaces()
	if len(workspaces) == 0 {
		return "no workspaces"
	}
	w := &workspaces[random.Intn(len(workspaces))]
	newest := 0
	_, _ = fmt.Sscanf(w.Keys[len(w.Keys)-1], "key-"+w.Name+"-%d", &newest)
	withdrawn := w.Keys[0]
	w.Keys = append(append([]string(nil), w.Keys[1:]...), keyOf(w.Name, newest+1))
	f.SetWorkspaces(workspaces)
	return withdrawn
}

// lowerLimit halves the limit of each workspace but the busy one, and restores it.
func lowerLimit(f *lines.Fleet, _ *rand.Rand) (string, func()) {
	scale := func(factor float64) {
		workspaces := f.Workspaces()
		for i := range workspaces {
			if workspaces[i].Name != busyWorkspace {
				workspaces[i].RatePerS *= factor
			}
		}
		if len(workspaces) > 0 {
			f.SetWorkspaces(workspaces)
		}
	}
	scale(0.5)
	return "", func() { scale(2) }
}

// lasting returns heal, delayed until lastingFault after now.
func lasting(heal func()) func() {
	end := time.Now().Add(lastingFault)
	return func() { time.Sleep(time.Until(end)); heal() }
}

func cutFromDaemons(f *lines.Fleet, d *lines.Daemon) func() {
	f.CutFromDaemons(d, true)
	return func() { f.CutFromDaemons(d, false) }
}

func cutFromStore(_ *lines.Fleet, d *lines.Daemon) func() {
	return injectLinkFaults(d.StoreLink, netfault.Faults{Partitioned: true})
}

func freezeLines(_ *lines.Fleet, d *lines.Daemon) func() {
	d.Freeze()
	return lasting(d.Resume)
}

// injectLines is a fault of one daemon of a fleet.
type injectLines func(*lines.Fleet, *lines.Daemon) func()

func onDaemonOf(inject injectLines) func(*lines.Fleet, *rand.Rand) (string, func()) {
	return func(f *lines.Fleet, random *rand.Rand) (string, func()) {
		d := f.Daemons[random.Intn(len(f.Daemons))]
		return d.Name, inject(f, d)
	}
}

// onActor injects a fault into the daemon that last acted on the store, half of the time, or else into any.
func onActor(inject injectLines) func(*lines.Fleet, *rand.Rand) (string, func()) {
	return func(f *lines.Fleet, random *rand.Rand) (string, func()) {
		d := f.Daemons[random.Intn(len(f.Daemons))]
		if actor := f.LastActor(); actor != nil && random.Intn(2) == 0 {
			d = actor
		}
		return d.Name, inject(f, d)
	}
}

// whileKeyIsWithdrawn injects a fault that lasts, and withdraws a key meanwhile.
func whileKeyIsWithdrawn(inject injectLines) func(*lines.Fleet, *rand.Rand) (string, func()) {
	return func(f *lines.Fleet, random *rand.Rand) (string, func()) {
		d := f.Daemons[random.Intn(len(f.Daemons))]
		heal := lasting(inject(f, d))
		return d.Name + ", " + withdrawKey(f, random), heal
	}
}

// runDemands adds the callers of the demands to parts. Most sessions of a workspace are opened at one daemon.
func (l *ledger) runDemands(ctx context.Context, f *lines.Fleet, seed int64, parts *sync.WaitGroup) {
	if len(f.Workspaces()) == 0 {
		return
	}
	for i, d := range demands {
		for session := range d.sessions {
			random := rand.New(rand.NewSource(seed*1000 + int64(10*i+session)))
			parts.Go(func() { l.runDemand(ctx, f, d, i, random) })
		}
	}
}

// runDemand opens one session after the other, each for up to maxSessionSteps reads.
func (l *ledger) runDemand(ctx context.Context, f *lines.Fleet, d demand, favorite int, random *rand.Rand) {
	for ctx.Err() == nil {
		daemon := f.Daemons[favorite%len(f.Daemons)]
		if random.Intn(favoriteOneIn) == 0 {
			daemon = f.Daemons[random.Intn(len(f.Daemons))]
		}
		caller, err := lines.DialWithKey(daemon.CallerAddress, lines.SessionDatabase, pickKey(f, d.workspace.Name, random), l.callers)
		if err != nil {
			_ = clock.Sleep(ctx, 50*time.Millisecond)
			continue
		}
		for range maxSessionSteps {
			if _, err := caller.Run("READ item-0"); err != nil || clock.Sleep(ctx, d.pause) != nil {
				break
			}
		}
		caller.Close()
	}
}

// checkWorkspaces lets the demands go on for calmTime, and records a violation for each breach of the rules of keys and
// limits, and for each workspace that was refused below its limit.
func (l *ledger) checkWorkspaces(ctx context.Context, f *lines.Fleet, seed int64) {
	if len(f.Workspaces()) == 0 {
		return
	}
	calm, stop := context.WithTimeout(ctx, calmTime)
	defer stop()
	from := time.Now().Add(calmTime / 2)
	var parts sync.WaitGroup
	l.runDemands(calm, f, seed, &parts)
	parts.Wait()
	audit := lines.NewAudit(lines.FleetBounds, l.callers, &f.Operator, f.Groups...)
	for _, breach := range audit.Breaches() {
		l.history.RecordViolation("%s", breach)
	}
	for _, d := range demands {
		if refused, asked := audit.WronglyRefused(d.workspace, from); float64(refused) > maxWrongShare*float64(asked) {
			l.history.RecordViolation("workspace %s: %d of %d operations refused below its limit", d.workspace.Name, refused, asked)
		}
	}
}
