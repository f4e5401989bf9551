package distribution

import "gradeusher.example/gradeusher/internal/system/invariant"

// controlStateMonotonic is the invariant behind rule CONFIG at the proxies.
var controlStateMonotonic = invariant.New("distribution_never_back", "the control state of a proxy never goes back in one incarnation")
