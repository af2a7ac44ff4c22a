package soak

import (
	"fmt"
	"maps"
	"math/rand"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/papayacove/papayacove/standin/lines"
)

// faultWindow is the time for which a fault lasted.
type faultWindow struct {
	name, what string
	from, to   time.Time
}

// faultWindows are the windows of the faults of a run. Its methods are safe for concurrent use.
type faultWindows struct {
	mu   sync.Mutex
	list []faultWindow
}

// record returns the faults with the window of each one recorded.
func (w *faultWindows) record(faults []FaultOf[*lines.Fleet]) []FaultOf[*lines.Fleet] {
	var recorded []FaultOf[*lines.Fleet]
	for _, fault := range faults {
		inject := fault.Inject
		fault.Inject = func(f *lines.Fleet, random *rand.Rand) (string, func()) {
			from := time.Now()
			what, heal := inject(f, random)
			return what, func() {
				heal()
				w.mu.Lock()
				defer w.mu.Unlock()
				w.list = append(w.list, faultWindow{fault.Name, what, from, time.Now()})
			}
		}
		recorded = append(recorded, fault)
	}
	return recorded
}

// side names the fault, and the side of the cut on which a daemon is if the fault cuts a zone off.
func (w faultWindow) side(d *lines.Daemon) string {
	switch {
	case !strings.HasPrefix(w.name, "zone_cut"):
		return w.name
	case strings.Contains(" "+w.what+" ", " "+d.Zone+" "):
		return w.name + " inside"
	}
	return w.name + " outside"
}

const (
	// slowRefusal is the time after which a refusal counts as slow.
	slowRefusal = 500 * time.Millisecond
	// servedSlot is the length of the slots of a window, each of which counts as much: callers that are refused ask
	// sooner again than those that are served.
	servedSlot = 100 * time.Millisecond
)

// slotKey is a slot of a window, both by number.
type slotKey struct {
	window int
	slot   time.Duration
}

// served counts reads: asked, answered with success, and answered otherwise later than slowRefusal.
type served struct{ asked, served, slow int }

func (s *served) add(r lines.Read) {
	s.asked++
	switch {
	case r.Served:
		s.served++
	case r.Took == 0 || r.Took > slowRefusal:
		s.slow++
	}
}

func (s *served) percent() float64 { return 100 * float64(s.served) / float64(s.asked) }

// servedSlots counts the reads of each slot.
type servedSlots map[slotKey]*served

func (s servedSlots) add(key slotKey, r lines.Read) {
	if s[key] == nil {
		s[key] = &served{}
	}
	s[key].add(r)
}

// String returns the counts of all slots, and the mean of their shares.
func (s servedSlots) String() string {
	var all served
	share := 0.0
	for _, slot := range s {
		all.asked, all.served, all.slow = all.asked+slot.asked, all.served+slot.served, all.slow+slot.slow
		share += slot.percent() / float64(len(s))
	}
	return fmt.Sprintf("served %.1f %% of the time in %d slots of %s; asked %d, served %d, refused later than %s %d",
		share, len(s), servedSlot, all.asked, all.served, slowRefusal, all.slow)
}

// lines describes the reads that were sent within the windows, by fault, side of a cut and type of route.
func (w *faultWindows) lines(f *lines.Fleet, reads []lines.Read) []string {
	daemons := map[string]*lines.Daemon{}
	for _, d := range f.Daemons {
		daemons[d.Source] = d
	}
	counts := map[string]servedSlots{}
	for i, window := range w.list {
		for _, r := range reads {
			d := daemons[r.Daemon]
			if d == nil || r.SentAt.Before(window.from) || r.SentAt.After(window.to) {
				continue
			}
			key := window.side(d) + " " + string(r.Kind)
			if counts[key] == nil {
				counts[key] = servedSlots{}
			}
			counts[key].add(slotKey{i, r.SentAt.Sub(window.from) / servedSlot}, r)
		}
	}
	var text []string
	for _, key := range slices.Sorted(maps.Keys(counts)) {
		text = append(text, fmt.Sprintf("reads beside %s: %s", key, counts[key]))
	}
	return text
}
