package quota

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/papayacove/papayacove/api"
)

// BenchmarkCoordinator measures requests to a coordinator to which 1,000 daemons lend and ask for tokens of 3 of 2,000
// workspaces, and its memory.
func BenchmarkCoordinator(b *testing.B) {
	const daemons, workspaces = 1000, 2000
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	c := NewCoordinator(5)
	buckets := make(map[string]Bucket)
	for i := range workspaces {
		buckets[fmt.Sprintf("workspace-%06d", i)] = Bucket{Rate: 100, Depth: 100}
	}
	c.SetBuckets(buckets, 0)
	now := time.Duration(0)
	request := func(i int) *api.QuotaRequest {
		r := &api.QuotaRequest{Daemon: fmt.Sprintf("daemon-%04d", i%daemons), Incarnation: 1, Sequence: uint64(i + 1)}
		r.Delegations = []api.QuotaDelegation{{Weight: 1.0 / daemons / Lanes, EchoIncarnation: 5, EchoStampUs: now.Microseconds()}}
		for j := range 3 {
			r.Wants = append(r.Wants, api.QuotaWant{Workspace: fmt.Sprintf("workspace-%06d", (i*3+j)%workspaces), Tokens: 2})
		}
		return r
	}
	i := 0
	next := func() {
		now += longRenewal / daemons
		c.Handle(request(i), now)
		i++
	}
	for range 3 * daemons {
		next()
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ResetTimer()
	for b.Loop() {
		next()
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1024, "KiB")
	runtime.KeepAlive(c)
}
