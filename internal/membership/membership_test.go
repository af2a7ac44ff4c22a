package membership

import (
	"context"
	"testing"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/peer"
	"github.com/papayacove/papayacove/internal/terms"
)

// newManagerWithoutHeartbeats returns a manager that knows the daemon entry-2 and sends it no heartbeats.
func newManagerWithoutHeartbeats() *Manager {
	m := New(Options{
		Self:    api.VM{Name: "entry-1", Zone: "colombo"},
		Dial:    func(address string) *peer.Client { return peer.NewClient(address, "", nil) },
		Compose: func() *api.Heartbeat { return &api.Heartbeat{} },
		Receive: func(*api.Heartbeat) {},
		Changed: func() {},
		Terms:   terms.NewTable(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	m.Init(ctx)
	m.SetVMs(api.VMList{Revision: 1, Vms: []api.VM{{Name: "entry-2", Role: api.VMRoleEntry, PeerAddress: "127.0.0.1:1"}}})
	return m
}

func TestChangesCountsOnlyRelevantChanges(t *testing.T) {
	m := newManagerWithoutHeartbeats()
	cases := []struct {
		name    string
		act     func()
		counted bool
	}{
		{"platform reached", func() { m.RecordHeartbeat(&api.Heartbeat{From: "entry-2", PlatformReached: true}) }, true},
		{"the same again", func() { m.RecordHeartbeat(&api.Heartbeat{From: "entry-2", PlatformReached: true}) }, false},
		{"higher revision", func() { m.RecordHeartbeat(&api.Heartbeat{From: "entry-2", PlatformReached: true, ConfigRevision: 7}) }, false},
		{"leaving", func() { m.RecordHeartbeat(&api.Heartbeat{From: "entry-2", PlatformReached: true, Leaving: true}) }, true},
		{"unknown daemon", func() { m.RecordHeartbeat(&api.Heartbeat{From: "entry-3", PlatformReached: true}) }, false},
		{"older VM list", func() { m.SetVMs(api.VMList{Revision: 1}) }, false},
		{"own leaving", m.SetLeaving, true},
		{"newer VM list", func() { m.SetVMs(api.VMList{Revision: 2}) }, true},
	}
	for _, c := range cases {
		before := m.Changes()
		c.act()
		if counted := m.Changes() > before; counted != c.counted {
			t.Errorf("%s: counted %v, want %v", c.name, counted, c.counted)
		}
	}
}
