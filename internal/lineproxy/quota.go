package lineproxy

import (
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/daemonregistry"
	"github.com/papayacove/papayacove/internal/engine"
	"github.com/papayacove/papayacove/internal/policy/callers"
	policy "github.com/papayacove/papayacove/internal/policy/quota"
	"github.com/papayacove/papayacove/internal/quota"
	"github.com/papayacove/papayacove/internal/relay"
)

// lendingRules is the number of the rules by which this version lends rights, which the registry tells later starts.
const lendingRules = policy.LendingRules

// newQuota returns what limits the operations of workspaces; nil if the settings do not ask for it.
func (p *Proxy) newQuota(settings *api.Settings) *quota.Service {
	fleet := settings.Fleet
	if fleet.QuotaWindowS == 0 {
		return nil
	}
	return quota.New(quota.Options{
		Name: settings.Name,
		Window: policy.Window{
			Length: time.Duration(fleet.QuotaWindowS * float64(time.Second)), Overage: fleet.QuotaOverage, Slack: fleet.QuotaSlack,
		},
		Peers:        p.clients,
		Registration: func() daemonregistry.Registration { return p.registry.Registration() },
	})
}

// engineQuota returns the limiter of the engine, which is nil if there is none.
func (p *Proxy) engineQuota() engine.Quota {
	if p.quota == nil {
		return nil
	}
	return p.quota
}

// quotaHandler returns what serves other daemons, which is nil if there is none.
func (p *Proxy) quotaHandler() relay.QuotaHandler {
	if p.quota == nil {
		return nil
	}
	return p.quota
}

// setQuotaDaemons passes the daemons on to the limiter.
func (p *Proxy) setQuotaDaemons(daemons []engine.Daemon) {
	if p.quota != nil {
		p.quota.SetDaemons(daemons)
	}
}

// configureQuota puts the limits of a configuration into force.
func (p *Proxy) configureQuota(configuration engine.Configuration) {
	if p.quota == nil {
		return
	}
	var limits map[string]callers.Limit
	if configuration.Callers != nil {
		limits = configuration.Callers.Limits()
	}
	p.quota.SetLimits(configuration.Version, limits)
}
