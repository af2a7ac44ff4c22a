package lineproxy

import (
	"errors"
	"net"
	"os"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayacove/papayacove/internal/engine"
	"github.com/papayacove/papayacove/internal/logevent"
	"github.com/papayacove/papayacove/internal/logfield"
	"github.com/papayacove/papayacove/internal/result"
	"github.com/papayacove/papayacove/platform"
)

// acceptRetryDelay is the time before the next attempt after a connection could not be accepted.
const acceptRetryDelay = 20 * time.Millisecond

// accept accepts the connections of callers until the listener is closed or its deadline is over.
func (p *Proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
		if err != nil {
			logrus.WithField(logfield.Error, err).Warn(logevent.AcceptFailed)
			time.Sleep(acceptRetryDelay)
			continue
		}
		// A stop must know of the caller before its goroutine runs.
		caller, open := p.addCaller(conn)
		go p.serve(conn, caller, open)
	}
}

// addCaller counts a connection and returns its caller and the number of connections that are open now.
func (p *Proxy) addCaller(conn net.Conn) (*platform.Caller, int64) {
	caller := platform.NewCaller(conn)
	p.openings.add(caller)
	return caller, p.callers.Add(1)
}

// maxCallers returns the largest number of caller connections. The rest of the process's file descriptors is left
// for targets, the store and files.
func (p *Proxy) maxCallers() int64 {
	settings := p.settings.Load()
	return min(int64(settings.Limits.MaxCallerConnections), settings.Fleet.MaxDescriptors*callerSharePercent/100)
}

// serve opens the session of a caller, one of the given number that are connected, and runs it.
func (p *Proxy) serve(conn net.Conn, caller *platform.Caller, open int64) {
	defer p.callers.Add(-1)
	serve, refusal, err := p.openSession(caller, open)
	switch {
	case err != nil:
		logrus.WithFields(logrus.Fields{
			logfield.Caller: conn.RemoteAddr().String(), logfield.Error: err,
		}).Debug(logevent.SessionNotOpened)
		_ = caller.Close()
	case refusal != nil:
		caller.Refuse(refusal)
	}
	p.openings.remove(caller)
	if serve != nil {
		serve()
	}
}

// openSession opens the session of a caller and returns the function that runs it. It returns a refusal if the caller
// may open none, and fails if the caller has not asked for one.
func (p *Proxy) openSession(caller *platform.Caller, open int64) (func(), *engine.Refusal, error) {
	if open > p.maxCallers() {
		logrus.WithFields(logrus.Fields{logfield.Open: open, logfield.Limit: p.maxCallers()}).Warn(logevent.CallersOverLimit)
		return nil, &engine.Refusal{
			Code: result.NotRunConnectionLimit, Reason: "the daemon has no room for another caller",
		}, nil
	}
	database, key, err := caller.Start()
	if err != nil {
		return nil, nil, err
	}
	identity, refusal := p.engine.Identify(database, key, configurationWait)
	if refusal != nil {
		p.engine.LogRefusedCaller(database, refusal)
		return nil, refusal, nil
	}
	serve, refusal := p.engine.Admit(caller, database, identity)
	if refusal != nil {
		return nil, refusal, nil
	}
	if err := caller.Accept(); err != nil {
		// The session ends with the first read.
		_ = caller.Close()
	}
	return serve, nil, nil
}
