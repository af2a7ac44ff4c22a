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

// served counts reads: asked, answered with success, and answered otherwise later than slowRefusal.
type served struct{ asked, served, slow int }

// slowRefusal is the time after which a refusal counts as slow.
const slowRefusal = 500 * time.Millisecond

// lines describes the reads that were sent within the windows, by fault, side of a cut and type of route.
func (w *faultWindows) lines(f *lines.Fleet, reads []lines.Read) []string {
	daemons := map[string]*lines.Daemon{}
	for _, d := range f.Daemons {
		daemons[d.Source] = d
	}
	counts := map[string]*served{}
	for _, window := range w.list {
		for _, r := range reads {
			d := daemons[r.Daemon]
			if d == nil || r.SentAt.Before(window.from) || r.SentAt.After(window.to) {
				continue
			}
			key := window.side(d) + " " + string(r.Kind)
			c := counts[key]
			if c == nil {
				c = &served{}
				counts[key] = c
			}
			c.asked++
			switch {
			case r.Served:
				c.served++
			case r.Took == 0 || r.Took > slowRefusal:
				c.slow++
			}
		}
	}
	var text []string
	for _, key := range slices.Sorted(maps.Keys(counts)) {
		c := counts[key]
		text = append(text, fmt.Sprintf("reads beside %s: asked %d, served %d (%.1f %%), refused later than %s %d",
			key, c.asked, c.served, 100*float64(c.served)/float64(c.asked), slowRefusal, c.slow))
	}
	return text
}
