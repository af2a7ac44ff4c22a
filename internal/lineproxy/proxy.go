// Package lineproxy is the daemon that serves the line protocol: it connects the engine to the platform that the
// daemon runs on.
package lineproxy

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/daemonregistry"
	"github.com/papayacove/papayacove/internal/dialer"
	"github.com/papayacove/papayacove/internal/engine"
	"github.com/papayacove/papayacove/internal/feed"
	"github.com/papayacove/papayacove/internal/httpserver"
	"github.com/papayacove/papayacove/internal/logevent"
	"github.com/papayacove/papayacove/internal/logfield"
	"github.com/papayacove/papayacove/internal/lossregistry"
	"github.com/papayacove/papayacove/internal/objectstore"
	"github.com/papayacove/papayacove/internal/peer"
	"github.com/papayacove/papayacove/internal/policy/watching"
	"github.com/papayacove/papayacove/internal/promotionlock"
	"github.com/papayacove/papayacove/internal/quota"
	"github.com/papayacove/papayacove/internal/relay"
	"github.com/papayacove/papayacove/platform"
)

const (
	// storeTimeout bounds a call to the store, without the time for which the store holds a watch open.
	storeTimeout = time.Second
	// watchInterval is the time between two watches of the configuration.
	watchInterval = 10 * time.Millisecond
	// targetWatchInterval is the time between two watches of the targets' entries. It is longer, because many targets
	// that change their entries at about the same time would cause a call of each daemon for each change. What is urgent
	// in an entry, another primary, is seen in status calls as well.
	targetWatchInterval = 300 * time.Millisecond
	// maxWatchRetryDelay bounds the time between two calls while the store is unreachable, so that a new
	// configuration is in force soon after the store is reachable again.
	maxWatchRetryDelay = 400 * time.Millisecond
	// promoteTimeout bounds an order to promote.
	promoteTimeout = time.Second
	// configurationWait is the time that a new session waits for the first configuration.
	configurationWait = 1500 * time.Millisecond
	// callerSharePercent is the part of the file descriptors, in percent, that caller connections may use.
	callerSharePercent = 80
	// softMemoryLimitShare is the part of the memory limit of the process at which the garbage collector runs
	// continuously.
	softMemoryLimitShare = 0.7
)

// Proxy is one daemon that serves the line protocol.
type Proxy struct {
	settings atomic.Pointer[api.Settings]
	engine   *engine.Engine
	store    *platform.Store
	promoter *platform.Promoter
	registry *daemonregistry.Registry
	clients  *relay.Clients
	// feedClients are connections of their own, so that no statement waits behind a large configuration.
	feedClients *relay.Clients
	feed        *feed.Feed
	quota       *quota.Service
	peers       *peer.Server
	listener    net.Listener
	// unreadable logs the entries that name no target.
	unreadable objectstore.UnreadableLog
	// callers is the number of open caller connections, openings those of them whose sessions are not open yet.
	callers  atomic.Int64
	openings openings
	// accepting is done once no connections of callers are accepted any more.
	accepting sync.WaitGroup
	// logBy is the time of the boot clock, in nanoseconds, by which a stop has to have written the log.
	logBy atomic.Int64
}

// New returns a daemon with the given settings, which must have been checked.
func New(settings api.Settings) *Proxy {
	source := settings.SourceAddress
	store := platform.NewStore(settings.PlatformURL, source, storeTimeout)
	promoter := platform.NewPromoter(settings.Fleet.PromotionURL, source, settings.Name, promoteTimeout)
	p := &Proxy{store: store, promoter: promoter, clients: relay.NewClients(source), feedClients: relay.NewClients(source)}
	p.settings.Store(&settings)
	p.quota = p.newQuota(&settings)
	locks := promotionlock.New(store, store.Eras(), settings.Name)
	p.engine = engine.New(engine.Options{
		Name:          settings.Name,
		Zone:          settings.Zone,
		Peers:         p.clients,
		Dialer:        platform.Dialer{Source: source},
		Promoter:      promoter,
		PromotionLock: locks,
		LockSettler:   locks,
		TargetLister:  platform.TargetList{Store: store},
		LossRegistry:  lossregistry.New(store),
		DrainTimeout:  time.Duration(settings.Fleet.DrainTimeoutMs) * time.Millisecond,
		RevokeWithin:  time.Duration(settings.Fleet.RevokeMs) * time.Millisecond,
		Quota:         p.engineQuota(),
	})
	metricsOf.Store(p.engine)
	p.feed = feed.New(feed.Options{
		Name: settings.Name, Store: store, Peers: p.feedClients, StoreTimeout: storeTimeout,
		ApplyWithin:  time.Duration(settings.Fleet.ConfigApplyMs) * time.Millisecond,
		RevokeWithin: time.Duration(settings.Fleet.RevokeMs) * time.Millisecond,
	})
	p.registry = daemonregistry.New(store, api.DaemonEntry{
		Name: settings.Name, Zone: settings.Zone, Address: settings.PeerAddress, Capacity: int(settings.Fleet.CapacityCores * 1000),
		LendingRules: lendingRules,
	}, p.setDaemons)
	return p
}

// setDaemons passes the entries of the daemons on to the engine, the feed and the limiter. Those that have left count for the
// limiter only, which keeps their part of the limits for a while.
func (p *Proxy) setDaemons(entries []api.DaemonEntry) {
	daemons := make([]engine.Daemon, 0, len(entries))
	var left []engine.Daemon
	watchers := make([]watching.Daemon, 0, len(entries))
	addresses := make(map[string]bool, len(entries))
	for _, entry := range entries {
		if entry.Left {
			left = append(left, engine.Daemon{Name: entry.Name, Zone: entry.Zone})
			continue
		}
		daemons = append(daemons, engine.Daemon{Name: entry.Name, Zone: entry.Zone, Address: entry.Address, Capacity: entry.Capacity})
		watchers = append(watchers, watching.Daemon{Name: entry.Name, Zone: entry.Zone, Address: entry.Address})
		addresses[entry.Address] = true
	}
	p.engine.SetDaemons(daemons)
	p.feed.SetDaemons(watchers)
	p.setQuotaDaemons(append(daemons, left...))
	p.clients.Keep(addresses)
	p.feedClients.Keep(addresses)
}

// Run serves until ctx ends, and then stops as planned. It fails when the daemon cannot listen on one of its
// addresses.
func (p *Proxy) Run(ctx context.Context) error {
	settings := p.settings.Load()
	limitMemory(settings.Fleet.MemoryMb)
	work, stop := context.WithCancel(context.Background())
	defer stop()
	if err := p.start(work); err != nil {
		return err
	}
	logrus.WithFields(logrus.Fields{
		logfield.Daemon: settings.Name, logfield.Zone: settings.Zone, logfield.Callers: settings.CallerAddress, logfield.Store: settings.PlatformURL,
	}).Info(logevent.DaemonStarted)
	<-ctx.Done()
	p.shutDown()
	return nil
}

// limitMemory makes the garbage collector run continuously near the memory limit of the process, given in MiB; 0
// has no effect.
func limitMemory(mb int64) {
	if mb > 0 {
		debug.SetMemoryLimit(int64(float64(mb<<20) * softMemoryLimitShare))
	}
}

// Apply puts changed settings into force. The addresses that the daemon listens on change only with a restart.
func (p *Proxy) Apply(settings api.Settings) {
	before := p.settings.Swap(&settings)
	if before.PlatformURL != settings.PlatformURL || before.Fleet.PromotionURL != settings.Fleet.PromotionURL {
		logrus.WithFields(logrus.Fields{logfield.Store: settings.PlatformURL, logfield.Promotions: settings.Fleet.PromotionURL}).Info(logevent.StoreChanged)
	}
	p.store.SetURL(settings.PlatformURL)
	p.promoter.SetURL(settings.Fleet.PromotionURL)
	limitMemory(settings.Fleet.MemoryMb)
}

func (p *Proxy) start(ctx context.Context) error {
	listening := net.ListenConfig{KeepAliveConfig: dialer.KeepAlive}
	settings := p.settings.Load()
	listener, err := listening.Listen(ctx, "tcp", settings.CallerAddress)
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	p.listener = listener
	if p.peers, err = relay.Listen(settings.PeerAddress, p.engine, p.feed, p.quotaHandler()); err != nil {
		return err
	}
	go p.servePeers(ctx)
	if err := platform.ServeReady(ctx, settings.Fleet.ReadinessAddress, p.engine.IsReady); err != nil {
		return err
	}
	if err := p.serveAdmin(ctx); err != nil {
		return err
	}
	go p.follow(ctx, feed.KindOptions{
		Kind: platform.KindConfiguration, Interval: watchInterval, HoldsKeys: true, Apply: p.applyConfiguration, PassOn: platform.WithoutKeys,
		OnProof: p.engine.RecordConfigurationProof, OnRestore: p.registry.Restored,
	})
	go p.follow(ctx, feed.KindOptions{
		Kind: platform.KindTargets, Interval: targetWatchInterval, Apply: p.applyTarget, PassOn: platform.TargetToPassOn,
		OnFailure: p.engine.RecordDirectoryFailure, OnRestore: p.engine.RecordDirectoryRestored,
	})
	go p.registry.Run(ctx)
	if p.quota != nil {
		go p.quota.Run(ctx)
	}
	p.accepting.Go(p.accept)
	return nil
}

// servePeers serves the other daemons until ctx ends.
func (p *Proxy) servePeers(ctx context.Context) {
	if err := p.peers.Run(ctx); err != nil {
		logrus.WithField(logfield.Error, err).Error(logevent.PartFailed)
	}
}

// serveAdmin serves the metrics to operators.
func (p *Proxy) serveAdmin(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.Handle("GET /debug/vars", expvar.Handler())
	return httpserver.Serve(ctx, "operators", p.settings.Load().AdminAddress, mux)
}

// follow applies the objects of one kind and their changes until ctx ends.
func (p *Proxy) follow(ctx context.Context, options feed.KindOptions) {
	options.MaxRetryDelay = maxWatchRetryDelay
	err := p.feed.Follow(ctx, options)
	if ctx.Err() == nil {
		logrus.WithFields(logrus.Fields{logfield.Kind: options.Kind, logfield.Error: err}).Error(logevent.FollowEnded)
	}
}

// errDeleted means that an object that must exist is deleted.
var errDeleted = errors.New("object is deleted")

// applyConfiguration puts a configuration into force, without the entries that cannot be used. After an error the last one
// stays in force, and nothing proves that it is current. Other objects of the kind are not the configuration.
func (p *Proxy) applyConfiguration(o api.Object) error {
	if o.Name != platform.ConfigurationName {
		return nil
	}
	if o.Deleted {
		logrus.WithField(logfield.Object, o.Name).Warn(logevent.ConfigurationDeleted)
		return errDeleted
	}
	configuration, problems, err := platform.DecodeConfiguration(o)
	if err != nil {
		logrus.WithField(logfield.Error, err).Error(logevent.ConfigurationUnreadable)
		return err
	}
	for _, problem := range problems {
		logrus.WithFields(logrus.Fields{
			logfield.Version: configuration.Version, logfield.Part: problem.Part, logfield.Entry: problem.Number, logfield.Name: problem.Name, logfield.Reason: problem.Reason,
		}).Error(logevent.ConfigurationEntryInvalid)
	}
	p.engine.Configure(configuration)
	p.configureQuota(configuration)
	return nil
}

// applyTarget records the entry of a target. One that cannot be read names no target, so it does not return an error.
func (p *Proxy) applyTarget(o api.Object) error {
	if o.Deleted {
		p.unreadable.Clear(o.Kind, o.Name)
		p.engine.RemoveTarget(o.Name)
		return nil
	}
	target, err := platform.DecodeTarget(o)
	if err != nil {
		p.unreadable.Report(logevent.TargetUnreadable, o.Kind, o.Name, err)
		p.engine.RemoveTarget(o.Name)
		return nil
	}
	p.unreadable.Clear(o.Kind, o.Name)
	p.engine.SetTarget(target)
	return nil
}
