package proxy

import "gradeusher.example/gradeusher/internal/system/invariant"

// nonIdempotentOnce is the invariant that implements the operators' rule TWICE. clientRequest.mayRetry maintains it.
var nonIdempotentOnce = invariant.New("proxy_runs_once", "a request that may run once goes to no further server once it may have run")
