package daemon

import (
	"context"
	"fmt"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/peer"
	"github.com/papayacove/papayacove/internal/policy/placement"
)

// handler implements peer.Handler: it answers the calls of other daemons.
type handler Daemon

// Execute runs a statement batch.
func (h *handler) Execute(req *api.ExecuteRequest) *api.ExecuteReply { return h.gates.Execute(req) }

// Fetch returns the next chunk of an answer.
func (h *handler) Fetch(req *api.FetchRequest) *api.ExecuteReply { return h.gates.Fetch(req) }

// Cancel cancels a running batch.
func (h *handler) Cancel(req *api.CancelRequest) bool { return h.gates.Cancel(req) }

// Release rolls back what a session has open at the gates of this daemon.
func (h *handler) Release(req *api.ReleaseRequest) bool { return h.gates.Release(req) }

// Floor returns the confirmed position of a group.
func (h *handler) Floor(req *api.FloorRequest) *api.FloorReply { return h.gates.Floor(req) }

// Vantage reports whether this daemon, as a failure detector, reaches a primary.
func (h *handler) Vantage(req *api.VantageRequest) *api.VantageReply { return h.failover.Vantage(req) }

// Admission stops or resumes the admission of new work at a gate.
func (h *handler) Admission(req *api.AdmissionRequest) *api.AdmissionReply {
	return h.gates.Admission(req)
}

// Heartbeat exchanges liveness and terms.
func (h *handler) Heartbeat(req *api.Heartbeat) *api.Heartbeat {
	d := (*Daemon)(h)
	d.receiveHeartbeat(req)
	answer := d.composeHeartbeat()
	offer := d.terms.Answer(req.TermsDigest)
	answer.Terms, answer.TermsDigest = offer.Terms, offer.Digest
	return answer
}

// Configuration returns the configuration objects and the VM list, each only if newer than what the requesting daemon
// has.
func (h *handler) Configuration(req *api.ConfigRequest) *api.ConfigReply {
	reply := &api.ConfigReply{Revision: h.catalog.Revision()}
	if reply.Revision > req.Have {
		reply.Objects = h.catalog.Since(req.Have)
	}
	if list := h.vms.get(); list.Revision > req.HaveVms {
		reply.Vms = list
	}
	return reply
}

// composeHeartbeat returns a heartbeat without terms.
func (d *Daemon) composeHeartbeat() *api.Heartbeat {
	return &api.Heartbeat{
		From: d.settings.Name, Zone: d.settings.Zone, Leaving: d.members.IsLeaving(),
		PlatformReached: d.platformAccess.isReached(), ConfigRevision: d.catalog.Revision(),
	}
}

// receiveHeartbeat records the terms and the state of the sender.
func (d *Daemon) receiveHeartbeat(heartbeat *api.Heartbeat) {
	for _, term := range heartbeat.Terms {
		d.observeTerm(term, heartbeat.From)
	}
	d.members.RecordHeartbeat(heartbeat)
}

// daemons implements failover.Daemons: it gives the failover access to the other daemons.
type daemons Daemon

// Members returns the live daemons, including this one.
func (d *daemons) Members() []placement.Member { return d.members.Members() }

// ReachesPlatform reports whether another daemon reaches the platform.
func (d *daemons) ReachesPlatform(name string) bool { return d.members.ReachesPlatform(name) }

// Changes returns the number of changes of Members and ReachesPlatform so far.
func (d *daemons) Changes() uint64 { return d.members.Changes() }

// Vantage asks a daemon whether it reaches a primary.
func (d *daemons) Vantage(ctx context.Context, daemon string, req *api.VantageRequest) (*api.VantageReply, error) {
	client, err := d.client(daemon)
	if err != nil {
		return nil, err
	}
	return client.Vantage(ctx, req)
}

// Admission stops or resumes the admission of new work at the gate of a primary.
func (d *daemons) Admission(ctx context.Context, daemon string, req *api.AdmissionRequest) (*api.AdmissionReply, error) {
	if daemon == d.settings.Name {
		return d.gates.Admission(req), nil
	}
	client, err := d.client(daemon)
	if err != nil {
		return nil, err
	}
	return client.Admission(ctx, req)
}

// Announce records a term and, if it was not known yet, sends it to each live daemon in a heartbeat at once.
func (d *daemons) Announce(term api.GroupTerm) {
	if (*Daemon)(d).observeTerm(term, d.settings.Name) {
		d.members.SendHeartbeatsNow()
	}
}

func (d *daemons) client(daemon string) (*peer.Client, error) {
	client, ok := d.members.Client(daemon)
	if !ok {
		return nil, fmt.Errorf("%w: daemon %s is not known", peer.ErrNotSent, daemon)
	}
	return client, nil
}
