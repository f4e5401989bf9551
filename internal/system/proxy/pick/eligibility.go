package pick

import "slices"

// eligibility is whether a server can get a request now, or the reason why not.
type eligibility uint8

const (
	eligible eligibility = iota
	draining
	evacuated
	outsideHomeRegions
	alreadyTried
	misdirected
	excludedByOutlier // ejected, or suspected and not to be probed by this request
	warmUpPaced       // warming up, and this proxy may not send to it now
)

// String returns the text that operators see; the conformance tables pin it.
func (e eligibility) String() string {
	return [...]string{"ready", "draining", "in an evacuated zone", "outside the home regions", "tried", "gone: its address answers for another",
		"doubted", "cold: its allowance is used or held by others"}[e]
}

// eligibility returns whether a candidate can get the request or, if the request
// is nil, any request. The first four reasons are rules that are never relaxed.
func (p *Picker) eligibility(input *pickInput, candidate *server) eligibility {
	if p.needsHealth(candidate) {
		p.warmUps.paceUnlessWarm(input.now, candidate)
	}
	switch {
	case candidate.Draining:
		return draining
	case p.state.Evacuated[candidate.Zone]:
		return evacuated
	case input.request != nil && !p.allowsRegion(candidate.Region, input.request):
		return outsideHomeRegions
	case slices.Contains(input.tried, candidate.ID):
		return alreadyTried
	case candidate.misdirected:
		return misdirected
	case input.isExcludedByOutlier(candidate):
		return excludedByOutlier
	case candidate.warmingUp(input.now) && !p.warmUps.canSend(input.now, candidate):
		return warmUpPaced
	}
	return eligible
}

// allowsRegion reports whether a request may be served in a region.
func (p *Picker) allowsRegion(region string, r *Request) bool {
	if p.settings.TestingKnobs.IgnoreTenantHomes {
		return isHome(r.Route.HomeRegions, region)
	}
	return r.allowsRegion(region)
}

// isExcludedByOutlier reports whether outlier detection excludes a candidate: it is ejected, or it is suspected and this request
// may not be its probe. If input has no request, a suspected server counts as eligible, because some request may go there.
func (input *pickInput) isExcludedByOutlier(candidate *server) bool {
	if candidate.outlier.Ejected(input.now) {
		return true
	}
	if input.request == nil || !candidate.outlier.Suspected() {
		return false
	}
	return !candidate.outlier.MayProbe(input.now, input.canRetry())
}

// canRetry reports whether the request could be retried at another server after this attempt.
func (input *pickInput) canRetry() bool {
	return len(input.tried) == 0 && input.request.Route.MaxAttempts > 1
}
