package proxy

import "gradeusher.example/gradeusher/internal/system/invariant"

// nonIdempotentOnce is what TWICE rests on.
var nonIdempotentOnce = invariant.New("proxy_runs_once", "a request that may run once goes to no further server once it may have run")
