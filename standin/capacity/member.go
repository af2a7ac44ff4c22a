package capacity

import (
	"context"
	"fmt"
	"sync/atomic"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/membership"
	"github.com/papayacove/papayacove/internal/peer"
	"github.com/papayacove/papayacove/internal/terms"
)

// member is the part of a daemon that maintains its membership: the peer port, the heartbeats and the terms.
type member struct {
	peer.Handler

	vm       api.VM
	terms    *terms.Table
	manager  *membership.Manager
	server   *peer.Server
	answered atomic.Int64
}

// newMember returns a member with an open peer port that knows the terms of the given number of groups.
func newMember(name, zone string, groups int) (*member, error) {
	m := &member{terms: terms.NewTable()}
	for i := range groups {
		m.terms.Observe(groupTerm(i))
	}
	server, err := peer.Listen("127.0.0.1:0", nil, m)
	if err != nil {
		return nil, err
	}
	m.server = server
	m.vm = api.VM{
		Name: name, Zone: zone, Role: api.VMRoleEntry, State: api.VMStateLive, PeerAddress: server.Address(),
	}
	m.manager = membership.New(membership.Options{
		Self: m.vm, Dial: dialPeer, Compose: m.compose, Receive: m.receive, Changed: func() {},
		Terms: m.terms,
	})
	return m, nil
}

func dialPeer(address string) *peer.Client {
	return peer.NewClient(address, "", nil)
}

// groupTerm returns the term of a group after some promotions.
func groupTerm(i int) api.GroupTerm {
	group := fmt.Sprintf("rounds-db-%d", i)
	start := api.Position{Term: 7, Offset: 123456}
	return api.GroupTerm{Group: group, Term: 7, Primary: group + "-a", Start: start}
}

// Heartbeat records a heartbeat of another member and returns the reply, with all terms if the digests differ.
func (m *member) Heartbeat(req *api.Heartbeat) *api.Heartbeat {
	m.answered.Add(1)
	m.receive(req)
	answer := m.compose()
	offer := m.terms.Answer(req.TermsDigest)
	answer.Terms, answer.TermsDigest = offer.Terms, offer.Digest
	return answer
}

func (m *member) compose() *api.Heartbeat {
	return &api.Heartbeat{From: m.vm.Name, Zone: m.vm.Zone, PlatformReached: true, ConfigRevision: 1000}
}

func (m *member) receive(heartbeat *api.Heartbeat) {
	for _, term := range heartbeat.Terms {
		m.terms.Observe(term)
	}
	m.manager.RecordHeartbeat(heartbeat)
}

// startMembers starts members that send heartbeats to each other until ctx ends. The caller closes them.
func startMembers(ctx context.Context, count, groups int) ([]*member, error) {
	members := make([]*member, 0, count)
	list := api.VMList{Revision: 1}
	for i := range count {
		m, err := newMember(fmt.Sprintf("entry-%d", i), zoneName(i), groups)
		if err != nil {
			closeMembers(members)
			return nil, err
		}
		members = append(members, m)
		list.Vms = append(list.Vms, m.vm)
	}
	for _, m := range members {
		go func() { _ = m.server.Run(ctx) }()
		m.manager.Init(ctx)
		m.manager.SetVMs(list)
	}
	return members, nil
}

// closeMembers closes the peer ports and all connections of the members.
func closeMembers(members []*member) {
	for _, m := range members {
		m.manager.SetVMs(api.VMList{Revision: 2})
		m.server.Close()
	}
}

// zoneName returns the availability zone of member i; members are distributed evenly over the zones.
func zoneName(i int) string {
	return fmt.Sprintf("zone-%d", i%zones)
}

// liveLinks returns the number of live links between members; a pair has one in each direction.
func liveLinks(members []*member) int {
	live := 0
	for _, m := range members {
		live += len(m.manager.Members()) - 1
	}
	return live
}
