package proxy

import "time"

// maxRevocationMargin is how long before the bound on revocations a proxy without contact stops to rely on its keys: a request that
// was just let in still has to reach a server. minRevocationShare is the part of the bound that is left at least.
const (
	maxRevocationMargin = 500 * time.Millisecond
	minRevocationShare  = 0.5
)

// missesRevocations reports whether a revocation may be in force by now that this proxy has not heard of. Without a bound on
// revocations (Options.RevokeWithin) it goes on with the keys that it has.
func (p *Proxy) missesRevocations() bool {
	bound := p.options.RevokeWithin
	if bound <= 0 || p.options.knobs.TrustOldKeys {
		return false
	}
	return p.stateAge() > maxStateAge(bound)
}

// maxStateAge is how old the configuration may be while its keys are still relied on, by the bound on revocations.
func maxStateAge(bound time.Duration) time.Duration {
	return max(bound-maxRevocationMargin, time.Duration(minRevocationShare*float64(bound)))
}

// stateAge returns how long ago, at most, the configuration was certainly the newest.
func (p *Proxy) stateAge() time.Duration {
	if p.options.StateAge != nil {
		return p.options.StateAge()
	}
	return p.pools.now() - time.Duration(p.lastContact.Load())
}
