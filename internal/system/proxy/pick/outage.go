package pick

import "time"

// An outage is a zone or another region that has fallen silent as a whole. It is told from few failures, not from one at
// each server: two servers of the place that did not answer, and nothing heard from any server of it since. While it lasts,
// one request at a time tries the place; the others go elsewhere, or are refused at once.

const (
	outageServers  = 2                      // servers that must be silent; one may have crashed alone
	silentUnreach  = 200 * time.Millisecond // a connection that fails sooner was refused: the machine lives
	silentOverdue  = 500 * time.Millisecond // a first event so much later than estimated is silence
	outageRetry    = 300 * time.Millisecond // from a trial's failure to the next one
	outageWait     = 5 * time.Second        // clients are told to come back after this at least: too late anyway, they come but once more
	outageBackoff  = 2.0                    // or after so many times what the outage has lasted, as it may last as long again
	placesOfServer = 2                      // its zone, and its region where that is another one
)

// place is a zone or region, as this proxy reaches it.
type place struct {
	heard   Time                   // when a server of it last answered
	silent  [outageServers]*server // that have not answered since, the first ones, each once
	since   Time                   // when the last of them was found silent
	trial   *send                  // the one send that tries the place
	tryFrom Time                   // no trial before
}

// out tells whether the place has fallen silent.
func (x *place) out() bool { return x.silent[outageServers-1] != nil }

// miss takes note that s was found silent by a request sent at a moment.
func (x *place) miss(now, sent Time, s *server) {
	if sent < x.heard || x.out() {
		return
	}
	for i, known := range x.silent {
		if known == s {
			return
		}
		if known == nil {
			x.silent[i] = s
			if x.out() {
				x.since, x.tryFrom = now, now+outageRetry
			}
			return
		}
	}
}

// mayTry tells whether a trial of the place may begin.
func (x *place) mayTry(now Time) bool { return x.trial == nil && now >= x.tryFrom }

// place finds a place by its key, or makes it.
func (p *Picker) place(key string) *place {
	x := p.places[key]
	if x == nil {
		x = &place{}
		p.places[key] = x
	}
	return x
}

// locate names the places that s lies in.
func (p *Picker) locate(s *server) {
	s.places = [placesOfServer]*place{p.place("zone " + s.Zone)}
	if s.region != 0 {
		s.places[1] = p.place("region " + s.Region)
	}
}

// forgetPlaces drops places that no server lies in.
func (p *Picker) forgetPlaces() {
	used := map[*place]bool{}
	for _, s := range p.servers {
		for _, x := range s.places {
			used[x] = true
		}
	}
	for key, x := range p.places {
		if !used[x] {
			delete(p.places, key)
		}
	}
}

// outage tells the place of s that has fallen silent; nil: none has.
func (s *server) outage() *place {
	for _, x := range s.places {
		if x != nil && x.out() {
			return x
		}
	}
	return nil
}

// shunned tells whether r keeps away from s because its place has fallen silent. A trial is best left to a request that can go on to
// another server.
func (p *Picker) shunned(now Time, s *server, r *Request, tried []string) bool {
	x := s.outage()
	switch {
	case x == nil:
		return false
	case r == nil || !x.mayTry(now):
		return true
	}
	return (len(tried) > 0 || r.Route.MaxTries <= 1) && now < x.tryFrom+untriedMost
}

// missed takes note that s did not answer f.
func (p *Picker) missed(now Time, f *send) {
	for _, x := range f.server.places {
		if x != nil {
			x.miss(now, f.at, f.server)
		}
	}
}

// missOverdue takes note of servers that are silent while requests wait for them.
func (p *Picker) missOverdue(now Time, g *group) {
	for _, s := range g.servers {
		if s.first != nil && s.overdue(now) > ms(silentOverdue) {
			p.missed(now, s.first)
		}
	}
}

// hear takes note that something has come from s. Danger: a Stale proxy does not know whether servers of a place that it could
// not reach have turned cold meanwhile.
func (p *Picker) hear(now Time, s *server) {
	for _, x := range s.places {
		if x == nil {
			continue
		}
		if x.out() {
			p.reopen(now, x)
		}
		x.heard, x.silent = now, [outageServers]*server{}
	}
}

// reopen ends an outage: what was doubted because of it is tried at once.
func (p *Picker) reopen(now Time, x *place) {
	x.trial = nil
	for _, s := range p.servers {
		if s.places[0] != x && s.places[1] != x {
			continue
		}
		s.outUntil = min(s.outUntil, now)
		if p.world.Stale {
			p.paceUnseen(now, s)
		}
	}
}

// tries marks f as the trial of the places of its server that are out.
func (f *send) tries() {
	for _, x := range f.server.places {
		if x != nil && x.out() && x.trial == nil {
			f.tried, x.trial = true, f
		}
	}
}

// endTrials ends f's trials of places.
func (f *send) endTrials(now Time) {
	if !f.tried {
		return
	}
	for _, x := range f.server.places {
		if x != nil && x.trial == f {
			x.trial, x.tryFrom = nil, now+outageRetry
		}
	}
}

// outageLeft is when a request that only silent places could serve should come back, in milliseconds.
func (x *place) outageLeft(now Time) float64 {
	return max(ms(outageWait), outageBackoff*ms(now-x.since))
}
