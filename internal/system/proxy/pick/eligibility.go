package pick

import "slices"

// eligibility says whether a server can get a request now, or why not.
type eligibility uint8

const (
	eligible eligibility = iota
	draining
	evacuated
	outsideHomeRegions
	alreadyTried
	misdirected
	ejected
	warmUpPaced // it warms up, and this proxy may send it nothing now
)

// String is for operators; the conformance tables pin it.
func (e eligibility) String() string {
	return [...]string{"ready", "draining", "in an evacuated zone", "outside the home regions", "tried", "gone: its address answers for another",
		"doubted", "cold: its allowance is used or held by others"}[e]
}

// eligibility says whether s can get the request, or, with a nil request, any request. The first four reasons are rules and never relaxed.
func (p *Picker) eligibility(in *pickInput, s *server) eligibility {
	switch {
	case s.Draining:
		return draining
	case p.state.Evacuated[s.Zone]:
		return evacuated
	case in.request != nil && !in.request.allowsRegion(s.Region):
		return outsideHomeRegions
	case slices.Contains(in.tried, s.ID):
		return alreadyTried
	case s.misdirected:
		return misdirected
	case s.outlier.Ejected(in.now), in.request != nil && s.outlier.Suspected() && !s.outlier.MayProbe(in.now, in.canRetry()):
		return ejected
	case s.warmingUp(in.now) && !p.warmUps.maySend(in.now, s):
		return warmUpPaced
	}
	return eligible
}

// canRetry reports whether the request could be retried at another server after this attempt.
func (in *pickInput) canRetry() bool { return len(in.tried) == 0 && in.request.Route.MaxTries > 1 }
