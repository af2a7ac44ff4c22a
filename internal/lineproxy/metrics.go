package lineproxy

import (
	"expvar"
	"sync/atomic"

	"github.com/papayacove/papayacove/internal/engine"
)

// metricsOf is the engine that the metrics of the process describe; nil before there is one.
var metricsOf atomic.Pointer[engine.Engine]

func init() {
	expvar.Publish("engine_sessions", expvar.Func(sessionMetrics))
	expvar.Publish("engine_configuration", expvar.Func(configurationMetrics))
}

// sessionMetrics returns the open sessions by workspace.
func sessionMetrics() any {
	e := metricsOf.Load()
	if e == nil {
		return nil
	}
	return e.SessionsByWorkspace()
}

// configurationState is the value of the metric engine_configuration.
type configurationState struct {
	Version uint64 `json:"version"`
	// ProofAgeMs is how long ago it was proved that the version is the newest; nil without a proof.
	ProofAgeMs *int64 `json:"proof_age_ms"`
}

// configurationMetrics returns the version in force and the age of its proof.
func configurationMetrics() any {
	e := metricsOf.Load()
	if e == nil {
		return nil
	}
	version, age, isProved := e.ConfigurationState()
	state := configurationState{Version: version}
	if isProved {
		ms := age.Milliseconds()
		state.ProofAgeMs = &ms
	}
	return state
}
