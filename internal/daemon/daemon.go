package daemon

import (
	"context"
	"fmt"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/certificate"
	"github.com/papayacove/papayacove/internal/failover"
	"github.com/papayacove/papayacove/internal/frontend"
	"github.com/papayacove/papayacove/internal/gate"
	"github.com/papayacove/papayacove/internal/logevent"
	"github.com/papayacove/papayacove/internal/logfield"
	"github.com/papayacove/papayacove/internal/membership"
	"github.com/papayacove/papayacove/internal/objectstore"
	"github.com/papayacove/papayacove/internal/peer"
	"github.com/papayacove/papayacove/internal/router"
	"github.com/papayacove/papayacove/internal/target"
	"github.com/papayacove/papayacove/internal/telemetry"
	"github.com/papayacove/papayacove/internal/terms"
	"github.com/papayacove/papayacove/internal/workspace"
	"github.com/sirupsen/logrus"
)

const (
	// leaveNoticeDelay is the wait between the announcement that this daemon leaves and the drain, so that the other
	// daemons receive the announcement first.
	leaveNoticeDelay = 300 * time.Millisecond
	// drainTimeout bounds the wait for requests in progress at a planned stop.
	drainTimeout = 20 * time.Second
	// answerPeersTime bounds the wait until the answers to other daemons are sent, at the end of a planned stop.
	answerPeersTime = 200 * time.Millisecond
)

// Daemon is one papayacove process.
type Daemon struct {
	settings api.Settings
	recorder *telemetry.Recorder
	store    *certificate.Store

	catalog        *workspace.Catalog
	terms          *terms.Table
	platform       *objectstore.Client
	platformAccess *platformAccess
	members        *membership.Manager
	gates          *gate.Manager
	failover       *failover.Manager
	router         *router.Router
	frontend       *frontend.Server
	peers          *peer.Server
	vms            vmTable
	// unreadable logs the term records that cannot be read.
	unreadable objectstore.UnreadableLog
	seeds      []*peer.Client
}

// New assembles a daemon from valid settings. It returns an error if a certificate file cannot be used.
func New(settings api.Settings, recorder *telemetry.Recorder) (*Daemon, error) {
	store, err := certificate.Load(settings.TLS)
	if err != nil {
		return nil, fmt.Errorf("load certificates: %w", err)
	}
	d := &Daemon{settings: settings, recorder: recorder, store: store, catalog: workspace.NewCatalog(), terms: terms.NewTable()}
	d.platform = objectstore.NewClient(objectstore.Options{
		URL: settings.PlatformURL, Zone: settings.Zone, LocalAddress: settings.SourceAddress, TLS: store.Platform(),
	})
	d.platformAccess = newPlatformAccess(d.platform)
	targetOptions := target.Options{
		User: settings.Target.User, Password: settings.Target.Password, Database: settings.Target.Database,
		LocalAddress: settings.SourceAddress, TLS: store.Targets(),
	}
	self := api.VM{
		Name: settings.Name, Zone: settings.Zone, Role: api.VMRoleEntry, State: api.VMStateLive,
		PeerAddress: settings.PeerAddress, AdminAddress: settings.AdminAddress, CallerAddress: settings.CallerAddress,
	}
	d.members = membership.New(membership.Options{
		Self: self, Dial: d.dialPeer, Compose: d.composeHeartbeat, Receive: d.receiveHeartbeat, Changed: d.refresh,
		Terms: d.terms,
	})
	d.gates = gate.NewManager(gate.ManagerOptions{
		Self: settings.Name, Target: targetOptions, Limits: settings.Limits, Terms: d.terms,
		Members: d.members.Members, Groups: d.catalog.Groups, MayUse: d.catalog.MayUse, MaxSlots: d.catalog.MaxSlots,
		IsLeaving: d.vms.isLeaving,
	})
	d.failover = failover.NewManager(failover.Options{
		Self: settings.Name, Target: targetOptions, Groups: d.catalog.Groups, Observer: d.gates.Observer, Holder: d.gates.Holder,
		IsLeaving: d.vms.isLeaving, PlatformReached: d.platformAccess.isReached, Store: d.platformAccess, Daemons: (*daemons)(d), Terms: d.terms,
	})
	d.router = router.New(router.Options{
		Self: settings.Name, Zone: settings.Zone, Gates: d.gates, Peers: d.members, Workspaces: d.catalog, Terms: d.terms,
	})
	d.frontend = frontend.NewServer(frontend.Options{
		Address: settings.CallerAddress, Limits: settings.Limits, Runner: d.router, Credentials: d.catalog, Name: settings.Name,
		TLS: store.Callers(), RequireTLS: settings.TLS.RequireCallerTLS,
	})
	for _, address := range settings.Peers {
		d.seeds = append(d.seeds, d.dialPeer(address))
	}
	return d, nil
}

func (d *Daemon) dialPeer(address string) *peer.Client {
	return peer.NewClient(address, d.settings.SourceAddress, d.store.PeerClient())
}

// Run serves until ctx ends, and then drains and stops. It returns an error if an address cannot be listened on.
func (d *Daemon) Run(ctx context.Context) error {
	work, stop := context.WithCancel(context.Background())
	defer stop()
	if err := d.start(work); err != nil {
		return err
	}
	logrus.WithFields(logrus.Fields{
		logfield.Daemon: d.settings.Name, logfield.Zone: d.settings.Zone, logfield.Callers: d.settings.CallerAddress,
		logfield.Peers: d.settings.PeerAddress, logfield.Admin: d.settings.AdminAddress,
	}).Info(logevent.DaemonStarted)
	<-ctx.Done()
	d.leave()
	return nil
}

// start listens on all addresses and starts the components, which run until ctx ends.
func (d *Daemon) start(ctx context.Context) error {
	d.members.Init(ctx)
	d.gates.Init(ctx)
	var err error
	d.peers, err = peer.Listen(d.settings.PeerAddress, d.store.PeerServer(d.vms.isDaemon), (*handler)(d))
	if err != nil {
		return err
	}
	if err := d.frontend.Init(ctx); err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	if err := d.serveAdmin(ctx); err != nil {
		return err
	}
	go d.runPart("peers", func() error { return d.peers.Run(ctx) })
	go d.store.Watch(ctx)
	go d.followConfiguration(ctx)
	go d.followVMs(ctx)
	go d.fetchFromPeers(ctx)
	go d.failover.Run(ctx)
	go d.runPart("frontend", func() error { return d.frontend.Run(ctx) })
	return nil
}

// runPart runs a component and logs the error that ends it.
func (d *Daemon) runPart(part string, run func() error) {
	if err := run(); err != nil {
		logrus.WithFields(logrus.Fields{logfield.Part: part, logfield.Error: err}).Error(logevent.PartFailed)
	}
}

// leave stops the daemon in an orderly way: its targets move to other daemons, requests in progress complete, and idle
// sessions are closed so that their callers connect to another daemon.
func (d *Daemon) leave() {
	logrus.WithField(logfield.Daemon, d.settings.Name).Info(logevent.DaemonLeaving)
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	d.members.SetLeaving()
	d.members.SendHeartbeatsNow()
	time.Sleep(leaveNoticeDelay)
	if err := d.frontend.Drain(ctx); err != nil {
		logrus.WithField(logfield.Error, err).Warn(logevent.CallersCut)
	}
	d.gates.Drain(ctx)
	_ = d.frontend.Close()
	d.gates.Close()
	d.answerPeers()
	d.peers.Close()
	logrus.WithField(logfield.Daemon, d.settings.Name).Info(logevent.DaemonStopped)
}

// answerPeers sends the answers to other daemons that are under way, before their connections are closed.
func (d *Daemon) answerPeers() {
	ctx, cancel := context.WithTimeout(context.Background(), answerPeersTime)
	defer cancel()
	d.peers.Drain(ctx)
}

// refresh recomputes the placement of the targets.
func (d *Daemon) refresh() {
	d.gates.Refresh()
}
