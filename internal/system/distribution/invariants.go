package distribution

import "gradeusher.example/gradeusher/internal/system/invariant"

// stateNeverGoesBack is the invariant behind rule CONFIG at the proxies.
var stateNeverGoesBack = invariant.New("distribution_never_back", "the control state of a proxy never goes back in one incarnation")
