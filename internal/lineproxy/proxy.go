// Package lineproxy is the daemon of the protocol lines: it brings the engine together with the platform that the
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
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/clock"
	"github.com/papayacove/papayacove/internal/dialer"
	"github.com/papayacove/papayacove/internal/duty"
	"github.com/papayacove/papayacove/internal/engine"
	"github.com/papayacove/papayacove/internal/httpserver"
	"github.com/papayacove/papayacove/internal/logevent"
	"github.com/papayacove/papayacove/internal/logfield"
	"github.com/papayacove/papayacove/internal/objectstore"
	"github.com/papayacove/papayacove/internal/result"
	"github.com/papayacove/papayacove/internal/roster"
	"github.com/papayacove/papayacove/platform"
)

const (
	// storeTimeout bounds a call to the store beside the time that a watch waits.
	storeTimeout = time.Second
	// leastWatchWait is the least time that the store holds a watch back.
	leastWatchWait = 500 * time.Millisecond
	// watchPause is the time between two watches.
	watchPause = 10 * time.Millisecond
	// watchRetry bounds the time between two calls while the store cannot be reached, so that a configuration
	// is in force soon after its return.
	watchRetry = 400 * time.Millisecond
	// promoteTimeout bounds an order to promote.
	promoteTimeout = time.Second
	// configurationWait is the time that a new session waits for the first configuration.
	configurationWait = 1500 * time.Millisecond
	// stopReserve is the part of the grace that is left when the last sessions are cut.
	stopReserve = 500 * time.Millisecond
	// callerShare is the part of the descriptors, in percent, that callers may use.
	callerShare = 80
	// memoryShare is the part of the memory limit at which the runtime collects without rest.
	memoryShare = 0.7
)

// Proxy is one daemon.
type Proxy struct {
	settings atomic.Pointer[api.Settings]
	engine   *engine.Engine
	store    *platform.Store
	promoter *platform.Promoter
	roster   *roster.Roster
	listener net.Listener
	// callers is the number of open caller connections.
	callers atomic.Int64
}

// New composes a daemon of checked settings.
func New(settings api.Settings) *Proxy {
	source := settings.SourceAddress
	store := platform.NewStore(settings.PlatformURL, source, storeTimeout)
	promoter := platform.NewPromoter(settings.Fleet.PromotionURL, source, settings.Name, promoteTimeout)
	p := &Proxy{store: store, promoter: promoter}
	p.settings.Store(&settings)
	p.engine = engine.New(engine.Options{
		Zone:         settings.Zone,
		Dialer:       platform.Dialer{Source: source},
		Promoter:     promoter,
		Duty:         duty.New(store, settings.Name),
		DrainTimeout: time.Duration(settings.Fleet.DrainTimeoutMs) * time.Millisecond,
	})
	p.roster = roster.New(store, api.DaemonEntry{Name: settings.Name, Zone: settings.Zone}, p.engine.SetDaemons)
	return p
}

// Run serves until ctx ends, and then stops in a planned way.
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
	p.leave()
	return nil
}

// limitMemory lets the runtime collect without rest near the limit of the process.
func limitMemory(mb int64) {
	if mb > 0 {
		debug.SetMemoryLimit(int64(float64(mb<<20) * memoryShare))
	}
}

// Apply takes in changed settings. Addresses that the daemon listens on stay until its next start.
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
	if err := platform.ServeReady(ctx, settings.Fleet.ReadinessAddress, p.engine.IsReady); err != nil {
		return err
	}
	if err := p.serveAdmin(ctx); err != nil {
		return err
	}
	go p.follow(ctx, platform.KindConfiguration, p.takeConfiguration, nil)
	go p.follow(ctx, platform.KindTargets, p.takeTarget, p.engine.NoteDirectory)
	go p.roster.Run(ctx)
	go p.accept()
	return nil
}

// serveAdmin serves the metrics.
func (p *Proxy) serveAdmin(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.Handle("GET /debug/vars", expvar.Handler())
	return httpserver.Serve(ctx, "operators", p.settings.Load().AdminAddress, mux)
}

// follow keeps one kind of objects until ctx ends.
func (p *Proxy) follow(ctx context.Context, kind string, take func(api.Object), reached func(error)) {
	options := objectstore.FollowOptions{Kinds: []string{kind}, Wait: p.watchWait(), Pause: watchPause, MaxRetry: watchRetry, Reached: reached}
	err := objectstore.FollowSource(ctx, p.store, options, func(list api.ObjectList) {
		for _, object := range list.Objects {
			take(object)
		}
	})
	if ctx.Err() == nil {
		logrus.WithFields(logrus.Fields{logfield.Kind: kind, logfield.Error: err}).Error(logevent.FollowEnded)
	}
}

// watchWait is the time that the store holds a watch back. With storeTimeout it bounds how long a connection that
// went silent keeps a configuration away.
func (p *Proxy) watchWait() time.Duration {
	apply := time.Duration(p.settings.Load().Fleet.ConfigApplyMs) * time.Millisecond
	return max(leastWatchWait, apply-storeTimeout)
}

func (p *Proxy) takeConfiguration(o api.Object) {
	if o.Deleted {
		logrus.WithField(logfield.Object, o.Name).Warn(logevent.ConfigurationDeleted)
		return
	}
	configuration, err := platform.DecodeConfiguration(o)
	if err != nil {
		logrus.WithField(logfield.Error, err).Error(logevent.ConfigurationUnreadable)
		return
	}
	p.engine.Configure(configuration)
}

func (p *Proxy) takeTarget(o api.Object) {
	if o.Deleted {
		p.engine.RemoveTarget(o.Name)
		return
	}
	target, err := platform.DecodeTarget(o)
	if err != nil {
		logrus.WithField(logfield.Error, err).Warn(logevent.TargetUnreadable)
		p.engine.RemoveTarget(o.Name)
		return
	}
	p.engine.SetTarget(target)
}

// acceptPause is the time before the next attempt after a connection could not be accepted.
const acceptPause = 20 * time.Millisecond

func (p *Proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			logrus.WithField(logfield.Error, err).Warn(logevent.AcceptFailed)
			time.Sleep(acceptPause)
			continue
		}
		go p.serve(conn)
	}
}

// maxCallers returns the number of caller connections: the descriptors of the process less what targets, the store and
// files need.
func (p *Proxy) maxCallers() int64 {
	settings := p.settings.Load()
	return min(int64(settings.Limits.MaxCallerConnections), settings.Fleet.MaxDescriptors*callerShare/100)
}

// serve opens a session.
func (p *Proxy) serve(conn net.Conn) {
	caller := platform.NewCaller(conn)
	defer p.callers.Add(-1)
	if open := p.callers.Add(1); open > p.maxCallers() {
		logrus.WithFields(logrus.Fields{logfield.Open: open, logfield.Limit: p.maxCallers()}).Warn(logevent.CallersOverLimit)
		caller.Refuse(&engine.Refusal{Code: result.NotRunConnectionLimit, Reason: "the daemon has no room for another caller"})
		return
	}
	database, err := caller.Start()
	if err != nil {
		logrus.WithFields(logrus.Fields{logfield.Caller: conn.RemoteAddr().String(), logfield.Error: err}).Debug(logevent.SessionNotOpened)
		_ = caller.Close()
		return
	}
	has, known := p.engine.HasDatabase(database, configurationWait)
	switch {
	case !known:
		caller.Refuse(&engine.Refusal{Code: result.NotRunUnreachable, Reason: "no configuration yet"})
	case !has:
		logrus.WithField(logfield.Database, database).Info(logevent.DatabaseUnknown)
		caller.Refuse(&engine.Refusal{Code: result.UnknownWorkspace, Reason: "no route for this database"})
	default:
		if err := caller.Accept(); err != nil {
			_ = caller.Close()
			return
		}
		p.engine.Serve(caller, database)
	}
}

// leave stops in a planned way: the balancer sends no new callers, and the sessions end.
func (p *Proxy) leave() {
	settings := p.settings.Load()
	logrus.WithField(logfield.Daemon, settings.Name).Info(logevent.DaemonLeaving)
	grace := time.Duration(settings.Fleet.GraceS*float64(time.Second)) - stopReserve
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	began := clock.Boot()
	go p.roster.Leave(ctx)
	p.engine.Drain(ctx, grace)
	_ = p.listener.Close()
	p.engine.Close()
	p.store.Close()
	logrus.WithFields(logrus.Fields{logfield.Daemon: settings.Name, logfield.Took: clock.Boot() - began}).Info(logevent.DaemonStopped)
}
