package distribution

import "gradeusher.example/gradeusher/internal/system/invariant"

// stateNeverGoesBack is what CONFIG rests on at the proxies.
var stateNeverGoesBack = invariant.New("distribution_never_back", "the control state that a proxy holds never goes back in one life")
