package pick

import "gradeusher.example/gradeusher/internal/system/config"

// pickProbe finds an ejected server if no other is available: in the first group that has one, the server whose ejection
// ends first. A server gets at most as many requests as it has capacity for, and no request that was already tried there.
func (p *Picker) pickProbe(input *pickInput, shares []config.Share, due int) (best *server, estimated cost) {
	for i := range shares {
		g := p.groups[shares[(due+i)%len(shares)].Service]
		if g == nil || g.service == nil {
			continue
		}
		for _, s := range g.servers {
			if p.canProbe(input, s) && (best == nil || isBetterProbe(s, best)) {
				best = s
			}
		}
		if best != nil {
			p.initCostModel(input, g).estimate(best, &estimated)
			return best, estimated
		}
	}
	return nil, cost{}
}

// canProbe reports whether only outlier detection keeps the request from s, and s has capacity for a probe.
func (p *Picker) canProbe(input *pickInput, s *server) bool {
	if p.eligibility(input, s) != excludedByOutlier {
		return false
	}
	if s.warmingUp(input.now) && !p.warmUps.canSend(input.now, s) {
		return false
	}
	return p.hasProbeCapacity(s)
}

// isBetterProbe reports whether s is a better server to probe than other.
func isBetterProbe(s, other *server) bool {
	if s.outlier.EjectedUntil() != other.outlier.EjectedUntil() {
		return s.outlier.EjectedUntil() < other.outlier.EjectedUntil()
	}
	return s.load.own.Requests < other.load.own.Requests
}

// hasProbeCapacity reports whether an ejected server may get one more probe. Requests that wait for connections to unreachable servers
// are all sent at the moment when the partition ends, and a Stale proxy, which does not learn of evacuations, does not know whether
// the servers are warming up by then. So a Stale proxy has at most one request in flight to a server whose warm-up rate is bounded.
func (p *Picker) hasProbeCapacity(s *server) bool {
	if p.state.Stale && s.warmUpRate() > 0 {
		return s.load.own.Requests == 0
	}
	return s.load.own.Requests < s.slots()
}
