package frontend

import "expvar"

// counters count connections, refusals and batches by class.
var counters = expvar.NewMap("frontend")
