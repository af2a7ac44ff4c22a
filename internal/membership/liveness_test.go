package membership

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/peer"
	"github.com/papayacove/papayacove/internal/terms"
)

func TestIsLive(t *testing.T) {
	now := time.Unix(100, 0)
	tests := []struct {
		name        string
		sinceAnswer time.Duration
		refused     bool
		want        bool
	}{
		{"just answered", 0, false, true},
		{"just before the timeout", livenessTimeout - 1, false, true},
		{"at the timeout", livenessTimeout, false, false},
		{"refused connection", 0, true, false},
	}
	for _, test := range tests {
		if got := IsLive(now.Add(-test.sinceAnswer), test.refused, now); got != test.want {
			t.Errorf("%s: IsLive = %v, want the opposite", test.name, got)
		}
	}
	if IsLive(time.Time{}, false, now) {
		t.Error("IsLive = true for a daemon that never answered, want false")
	}
}

// newManager returns the manager of daemon a, whose heartbeats are all sent to an address without a listener.
func newManager(t *testing.T) *Manager {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	m := New(Options{
		Self:    api.VM{Name: "a", Zone: "z"},
		Dial:    func(string) *peer.Client { return peer.NewClient("127.0.0.1:1", "", nil) },
		Compose: func() *api.Heartbeat { return &api.Heartbeat{From: "a"} },
		Receive: func(*api.Heartbeat) {},
		Changed: func() {},
		Terms:   terms.NewTable(),
	})
	m.Init(ctx)
	return m
}

// vmList returns a VM list of entry VMs.
func vmList(revision uint64, names ...string) api.VMList {
	list := api.VMList{Revision: revision}
	for _, name := range names {
		list.Vms = append(list.Vms, api.VM{Name: name, Role: api.VMRoleEntry, PeerAddress: name})
	}
	return list
}

// peerNames returns the names of the other daemons, sorted.
func (m *Manager) peerNames() []string {
	m.mu.RLock()
	defer m.mu.RUnlock()
	var names []string
	for name := range m.peers {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func TestOlderVMListsAreIgnored(t *testing.T) {
	m := newManager(t)
	steps := []struct {
		list api.VMList
		want string
	}{
		{vmList(2, "a", "b", "c"), "[b c]"},
		{vmList(1, "a", "b", "c", "d"), "[b c]"},
		{vmList(2, "a"), "[b c]"},
		{vmList(3, "a", "c"), "[c]"},
	}
	for i, step := range steps {
		m.SetVMs(step.list)
		if got := fmt.Sprint(m.peerNames()); got != step.want {
			t.Fatalf("step %d: got peers %s, want the others of the newest list", i, got)
		}
	}
}

func TestMembersFollowHeartbeats(t *testing.T) {
	m := newManager(t)
	b := &member{vm: api.VM{Name: "b"}}
	m.peers["b"] = b
	steps := []struct {
		name    string
		answer  *api.Heartbeat
		err     error
		live    bool
		leaving bool
	}{
		{"answer", &api.Heartbeat{From: "b", ConfigRevision: 3}, nil, true, false},
		{"one lost answer", nil, errors.New("timeout"), true, false},
		{"leaving", &api.Heartbeat{From: "b", Leaving: true}, nil, true, true},
		{"refused", nil, fmt.Errorf("dial: %w", syscall.ECONNREFUSED), false, true},
		{"answers again", &api.Heartbeat{From: "b"}, nil, true, false},
	}
	for _, step := range steps {
		m.recordOutcome(b, step.answer, step.err)
		if m.IsLive("b") != step.live {
			t.Fatalf("%s: got live %v, want the opposite", step.name, m.IsLive("b"))
		}
		members := m.Members()
		if isListed := len(members) == 2; isListed != step.live {
			t.Fatalf("%s: got %d members, want a live daemon listed and no other", step.name, len(members))
		}
		if step.live && members[1].Leaving != step.leaving {
			t.Fatalf("%s: got leaving %v, want the opposite", step.name, members[1].Leaving)
		}
	}
}

func TestHeartbeatOfLeavingDaemonIsRecordedOnce(t *testing.T) {
	m := newManager(t)
	changes := 0
	m.options.Changed = func() { changes++ }
	m.peers["b"] = &member{vm: api.VM{Name: "b"}, live: true, configRevision: 5}
	m.RecordHeartbeat(&api.Heartbeat{From: "b", Leaving: true, ConfigRevision: 4})
	m.RecordHeartbeat(&api.Heartbeat{From: "b", Leaving: true, ConfigRevision: 4})
	m.RecordHeartbeat(&api.Heartbeat{From: "unknown", Leaving: true})
	if changes != 1 || !m.Members()[1].Leaving {
		t.Fatalf("got %d changes, want 1 and the daemon leaving", changes)
	}
	if m.peers["b"].configRevision != 5 {
		t.Fatal("the configuration revision changed, want 5 still")
	}
}

func TestClientWithNewestConfigReturnsLiveDaemon(t *testing.T) {
	m := newManager(t)
	add := func(name string, live bool, revision uint64) *peer.Client {
		client := peer.NewClient(name, "", nil)
		m.peers[name] = &member{live: live, configRevision: revision, client: client}
		return client
	}
	add("b", true, 3)
	newest := add("c", true, 5)
	add("d", false, 9)
	if got, ok := m.ClientWithNewestConfig(3); !ok || got != newest {
		t.Fatal("ClientWithNewestConfig(3) did not return daemon c, the live one with the highest revision")
	}
	if _, ok := m.ClientWithNewestConfig(5); ok {
		t.Fatal("ClientWithNewestConfig(5) returned a daemon, want none")
	}
}
