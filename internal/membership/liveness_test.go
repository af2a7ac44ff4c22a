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
		name    string
		silence time.Duration
		refused bool
		want    bool
	}{
		{"just heard", 0, false, true},
		{"almost silent for too long", silenceLimit - 1, false, true},
		{"silent for too long", silenceLimit, false, false},
		{"refused at once", 0, true, false},
	}
	for _, test := range tests {
		if got := IsLive(now.Add(-test.silence), test.refused, now); got != test.want {
			t.Errorf("%s: %v", test.name, got)
		}
	}
	if IsLive(time.Time{}, false, now) {
		t.Error("a daemon that was never heard is live")
	}
}

// newManager returns a manager of daemon a whose heartbeats reach nobody.
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

func listOf(revision uint64, names ...string) api.VMList {
	list := api.VMList{Revision: revision}
	for _, name := range names {
		list.Vms = append(list.Vms, api.VM{Name: name, Role: api.VMRoleEntry, PeerAddress: name})
	}
	return list
}

func (m *Manager) known() []string {
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
		{listOf(2, "a", "b", "c"), "[b c]"},
		{listOf(1, "a", "b", "c", "d"), "[b c]"},
		{listOf(2, "a"), "[b c]"},
		{listOf(3, "a", "c"), "[c]"},
	}
	for i, step := range steps {
		m.SetVMs(step.list)
		if got := fmt.Sprint(m.known()); got != step.want {
			t.Fatalf("step %d: %s", i, got)
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
		{"back", &api.Heartbeat{From: "b"}, nil, true, false},
	}
	for _, step := range steps {
		m.note(b, step.answer, step.err)
		if m.IsLive("b") != step.live {
			t.Fatalf("%s: live is %v", step.name, m.IsLive("b"))
		}
		members := m.Members()
		if isListed := len(members) == 2; isListed != step.live {
			t.Fatalf("%s: %d members", step.name, len(members))
		}
		if step.live && members[1].Leaving != step.leaving {
			t.Fatalf("%s: leaving is %v", step.name, members[1].Leaving)
		}
	}
}

func TestHearOfALeavingDaemon(t *testing.T) {
	m := newManager(t)
	changes := 0
	m.options.Changed = func() { changes++ }
	m.peers["b"] = &member{vm: api.VM{Name: "b"}, live: true, configRevision: 5}
	m.Hear(&api.Heartbeat{From: "b", Leaving: true, ConfigRevision: 4})
	m.Hear(&api.Heartbeat{From: "b", Leaving: true, ConfigRevision: 4})
	m.Hear(&api.Heartbeat{From: "unknown", Leaving: true})
	if changes != 1 || !m.Members()[1].Leaving {
		t.Fatalf("%d changes", changes)
	}
	if m.peers["b"].configRevision != 5 {
		t.Fatal("the configuration revision went back")
	}
}

func TestNewestConfiguration(t *testing.T) {
	m := newManager(t)
	add := func(name string, live bool, revision uint64) *peer.Client {
		client := peer.NewClient(name, "", nil)
		m.peers[name] = &member{live: live, configRevision: revision, client: client}
		return client
	}
	add("b", true, 3)
	newest := add("c", true, 5)
	add("d", false, 9)
	if got, ok := m.Newest(3); !ok || got != newest {
		t.Fatal("not the newest live daemon")
	}
	if _, ok := m.Newest(5); ok {
		t.Fatal("nobody is newer")
	}
}
