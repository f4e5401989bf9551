package proxy

import "time"

// maxRevocationMargin is how long before the bound on revocations a proxy without contact stops relying on its keys: a request that
// was just accepted still has to reach a server. minRevocationShare is the fraction of the bound for which keys are relied on at least.
const (
	maxRevocationMargin = 500 * time.Millisecond
	minRevocationShare  = 0.5
)

// mayMissRevocations reports whether a revocation that this proxy has not received may be in force by now. Without a bound on
// revocations (Options.RevokeWithin), the proxy continues to use the keys that it has.
func (p *Proxy) mayMissRevocations() bool {
	bound := p.options.RevokeWithin
	if bound <= 0 || p.options.knobs.TrustOldKeys {
		return false
	}
	return p.stateAge() > maxStateAge(bound)
}

// maxStateAge returns the maximum age of a configuration whose keys are still relied on, given the bound on revocations.
func maxStateAge(bound time.Duration) time.Duration {
	return max(bound-maxRevocationMargin, time.Duration(minRevocationShare*float64(bound)))
}

// stateAge returns an upper bound on the time since the configuration was last known to be the newest.
func (p *Proxy) stateAge() time.Duration {
	if p.options.StateAge != nil {
		return p.options.StateAge()
	}
	return p.pools.now() - time.Duration(p.lastContact.Load())
}
