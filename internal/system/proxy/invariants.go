package proxy

import "gradeusher.example/gradeusher/internal/system/invariant"

// runsOnce is what TWICE rests on.
var runsOnce = invariant.New("proxy_runs_once", "a request that may run once goes to no further server once it may have run")
