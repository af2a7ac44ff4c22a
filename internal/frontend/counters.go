package frontend

import "expvar"

// counters are the published metrics of the package: connections, sessions, refusals, and batches by class.
var counters = expvar.NewMap("frontend")
