package pick

import "gradeusher.example/gradeusher/internal/system/config"

// pickProbe finds an ejected server where no other can be had: of the first group that has one, the one whose ejection ends first. It gets
// as many requests as it has capacity for, and no request that was tried at one already.
func (p *Picker) pickProbe(input *pickInput, shares []config.Share, due int) (best *server, estimated cost) {
	for i := range shares {
		g := p.groups[shares[(due+i)%len(shares)].Service]
		if g == nil || g.service == nil {
			continue
		}
		for _, s := range g.servers {
			if p.mayBeProbed(input, s) && (best == nil || probedBefore(s, best)) {
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

// mayBeProbed reports whether nothing but its ejection keeps s from the request.
func (p *Picker) mayBeProbed(input *pickInput, s *server) bool {
	if p.eligibility(input, s) != excludedByOutlier {
		return false
	}
	if s.warmingUp(input.now) && !p.warmUps.maySend(input.now, s) {
		return false
	}
	return p.hasProbeCapacity(s)
}

// probedBefore reports whether s is the better one to probe.
func probedBefore(s, other *server) bool {
	if s.outlier.EjectedUntil() != other.outlier.EjectedUntil() {
		return s.outlier.EjectedUntil() < other.outlier.EjectedUntil()
	}
	return s.load.own.Requests < other.load.own.Requests
}

// hasProbeCapacity reports whether an ejected server may get one more probe. Danger: requests that await connections to servers that are cut
// off all go out at the moment when the partition ends, and a Stale proxy, which learns of no evacuation, does not know whether the servers
// warm up by then.
func (p *Picker) hasProbeCapacity(s *server) bool {
	if p.state.Stale && s.warmUpRate() > 0 {
		return s.load.own.Requests == 0
	}
	return s.load.own.Requests < s.slots()
}
