package engine

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayacove/papayacove/internal/clock"
	"github.com/papayacove/papayacove/internal/logevent"
	"github.com/papayacove/papayacove/internal/logfield"
	"github.com/papayacove/papayacove/internal/policy/callers"
	"github.com/papayacove/papayacove/internal/result"
)

// unprovedRetryAfter is the time after which a statement that was refused for lack of a proof may be repeated: the
// balancer's probes are one second apart, and this daemon is not ready meanwhile.
const unprovedRetryAfter = time.Second

// The refusals of statements whose caller may not run them. They name no key.
var (
	errNoRoute    = result.Errorf(result.UnknownWorkspace, "no route for this database")
	errKeyUnknown = result.Errorf(result.AuthenticationFailed, "no workspace holds the key of the caller")
	errUnproved   = result.Errorf(result.NotRunUnproved, "no recent proof that the key of the caller is still valid").WithRetryAfter(unprovedRetryAfter)
)

// Identify waits until there is a configuration, at most for the given time, and returns the identity of a caller that
// asks for a database and states a key. It returns a refusal if the caller may open no session.
func (e *Engine) Identify(database string, key callers.KeyDigest, wait time.Duration) (callers.Identity, *Refusal) {
	if !e.awaitConfiguration(wait) {
		return callers.Identity{}, refuse(result.NotRunUnreachable, "no configuration yet")
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	route, ok := e.configuration.Routes[database]
	if !ok {
		return callers.Identity{}, refusalOf(errNoRoute)
	}
	identity, ok := e.configuration.Callers.Identify(key, route.IsPublic)
	if !ok && !e.isProved() {
		return callers.Identity{}, refusalOf(errUnproved)
	}
	if !ok {
		return callers.Identity{}, refusalOf(errKeyUnknown)
	}
	if refused := e.permits(identity); refused != nil {
		return callers.Identity{}, refusalOf(refused)
	}
	return callers.Identity{Workspace: identity.Workspace, Key: key}, nil
}

// awaitConfiguration waits until there is a configuration and, if one is required, a first proof that it is recent. It
// returns false when there is no configuration after the given time, or when sessions are refused meanwhile.
func (e *Engine) awaitConfiguration(wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-e.configured:
	case <-e.refusing:
		return e.hasConfiguration()
	case <-timer.C:
		return false
	}
	if !e.needsProof() {
		return true
	}
	select {
	case <-e.proved:
	case <-e.refusing:
	case <-timer.C:
	}
	return true
}

func (e *Engine) hasConfiguration() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.isConfigured
}

func (e *Engine) needsProof() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.options.RevokeWithin > 0 && e.configuration.Callers != nil
}

// Permits returns why no statement may be sent to a target on behalf of an identity at the moment; nil if it may. Both
// errors guarantee that nothing ran.
func (e *Engine) Permits(identity callers.Identity) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if refused := e.permits(identity); refused != nil {
		return refused
	}
	return nil
}

// permits is Permits for a caller that holds the lock.
func (e *Engine) permits(identity callers.Identity) *result.Error {
	switch {
	case identity.Workspace == "":
		return nil
	case !e.isProved():
		// The key may be of a newer configuration than that in force, or be withdrawn by one.
		return errUnproved
	case !e.configuration.Callers.Holds(identity):
		return errKeyUnknown
	}
	return nil
}

// isUnproved reports whether this daemon serves callers with keys and may not at the moment.
func (e *Engine) isUnproved() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.configuration.Callers != nil && !e.isProved()
}

// isProved reports whether the proof that the configuration in force is the newest is recent enough. The caller holds the
// lock.
func (e *Engine) isProved() bool {
	return e.proof.IsCurrent(clock.SinceBoot(), e.options.RevokeWithin)
}

// holdsIdentity reports whether the configuration in force still has the key of an identity.
func (e *Engine) holdsIdentity(identity callers.Identity) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.configuration.Callers.Holds(identity)
}

// RecordConfigurationProof records that every configuration that was acknowledged before a time of the boot clock is in
// force here.
func (e *Engine) RecordConfigurationProof(asOf time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.proof.Record(asOf)
	e.provedOnce.Do(func() { close(e.proved) })
}

// ConfigurationState returns the version in force and the age of the proof that it is the newest; false when there is
// no proof.
func (e *Engine) ConfigurationState() (version uint64, age time.Duration, isProved bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	asOf, ok := e.proof.AsOf()
	if !ok {
		return e.configuration.Version, 0, false
	}
	return e.configuration.Version, clock.SinceBoot() - asOf, true
}

// endWithdrawn ends the idle sessions whose key the configuration in force no longer has, one by one. The others end
// with their statement in progress, or with the next one of their transaction.
func (e *Engine) endWithdrawn() {
	ended := 0
	for _, s := range e.openSessions() {
		if e.holdsIdentity(s.boundIdentity()) || !s.endIfIdle() {
			continue
		}
		ended++
		time.Sleep(idleCloseInterval)
	}
	if ended > 0 {
		logrus.WithFields(e.configurationFields()).WithField(logfield.Sessions, ended).Info(logevent.WithdrawnSessionsClosed)
	}
}

// configurationFields returns log fields with the version in force and the age of the proof that it is the newest.
func (e *Engine) configurationFields() logrus.Fields {
	version, age, isProved := e.ConfigurationState()
	fields := logrus.Fields{logfield.Version: version}
	if isProved {
		fields[logfield.ProofAge] = age
	}
	return fields
}

// logReadiness logs why the probes of the balancer are answered otherwise from now on.
func (e *Engine) logReadiness(isolated, unproved bool) {
	logrus.WithFields(e.configurationFields()).WithFields(logrus.Fields{
		logfield.Ready: !isolated && !unproved, logfield.Isolated: isolated, logfield.Unproved: unproved,
	}).Warn(logevent.ReadinessChanged)
}
