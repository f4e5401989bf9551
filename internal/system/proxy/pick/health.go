package pick

import (
	"cmp"
	"math"
	"slices"
	"time"

	"gradeusher.example/gradeusher/internal/system/proxy/pick/rendezvous"
)

// A Stale proxy learns neither that a zone is evacuated nor that a server begins to warm up. It sends to a server as a warm one only
// while the server's own answers to health checks say so; otherwise, also where a service has no path for them, it paces its requests as if
// the server were warming up (warmup_quota.go).
//
// Bound: let a server begin to warm up at t, and let all proxies together send it q requests per second until then. A Stale proxy stops
// sending at full rate at most HealthCheckInterval and a round trip after t, or healthTTL after t if no answer arrives. Within any second
// from t on the server thus gets at most q × healthTTL requests, and what the senders of a warming server send in the rest of it. What was
// sent before t is not bounded, since nobody can foresee t.

const (
	// HealthCheckInterval is the time between two health checks of a server.
	HealthCheckInterval = 200 * time.Millisecond
	// healthTTL is how long a server counts as warm after a health check was sent to it that it answered so.
	healthTTL = 400 * time.Millisecond
	// maxHealthTargets bounds the servers that a proxy checks.
	maxHealthTargets = 16
	// maxChecksPerSecond bounds the checks per server and second of all proxies together, if these are spread evenly.
	maxChecksPerSecond = 20
)

// HealthTarget is a server to be checked.
type HealthTarget struct {
	Server Server
	Path   string // of the service's health checks
}

// HealthTargets returns the servers whose health is to be checked now: none unless the state is Stale. The servers of this proxy's zone
// come first, then those of its region.
func (p *Picker) HealthTargets() []HealthTarget {
	if !p.state.Stale {
		return nil
	}
	var candidates []*server
	for _, s := range p.servers {
		if p.needsHealth(s) && s.group.service.HealthPath != "" && !s.Draining && !p.state.Evacuated[s.Zone] {
			candidates = append(candidates, s)
		}
	}
	p.sortHealthTargets(candidates)
	targets := make([]HealthTarget, 0, maxHealthTargets)
	for _, s := range candidates[:min(len(candidates), p.healthTargetCount(len(candidates)))] {
		targets = append(targets, HealthTarget{Server: s.Server, Path: s.group.service.HealthPath})
	}
	return targets
}

// needsHealth reports whether requests to s depend on what it says about its health.
func (p *Picker) needsHealth(s *server) bool {
	return p.state.Stale && s.warmUpRate() > 0 && !p.settings.TestingKnobs.TrustStaleState
}

// healthTargetCount returns how many of the given number of servers this proxy checks.
func (p *Picker) healthTargetCount(servers int) int {
	perProxy := maxChecksPerSecond * HealthCheckInterval.Seconds() * float64(servers) / float64(p.fleet.size.count())
	return min(max(int(math.Ceil(perProxy)), 1), maxHealthTargets)
}

// sortHealthTargets sorts servers: those of this proxy's zone first, then those of its region; within these, each proxy has an order of
// its own.
func (p *Picker) sortHealthTargets(servers []*server) {
	self := rendezvous.Hash(p.state.Self)
	distance := func(s *server) int {
		switch {
		case s.Zone == p.settings.Zone:
			return 0
		case s.regionIndex == ownRegion:
			return 1
		}
		return 2
	}
	weight := func(s *server) uint64 { return rendezvous.Weight(s.hash, self) }
	slices.SortFunc(servers, func(a, b *server) int {
		return cmp.Or(cmp.Compare(distance(a), distance(b)), cmp.Compare(weight(b), weight(a)), cmp.Compare(a.ID, b.ID))
	})
}

// RecordHealth records that a server has answered a health check that was sent at askedAt: for how much longer it warms up; 0 if it is
// warm.
func (p *Picker) RecordHealth(now Time, id string, askedAt Time, left time.Duration) {
	s := p.servers[id]
	switch {
	case s == nil:
	case left > 0:
		p.WarmingUp(now, id, left)
	default:
		p.warmUps.recordWarm(now, s, askedAt)
	}
}

// recordWarm records that s was warm at askedAt or later. A warm-up that was only assumed before that is over.
func (w *warmUpPacer) recordWarm(now Time, s *server, askedAt Time) {
	u := &s.warmUp
	u.warmAt = max(u.warmAt, askedAt)
	if u.pacedUnconfirmed && u.unconfirmed && askedAt >= u.unconfirmedAt && !u.awaitsNewerList {
		u.unconfirmed, u.until, u.awaitsFirstSend = false, now, false
	}
}

// paceUnlessWarm paces requests to s as if it were warming up, unless s has recently said itself that it is warm. The caller has checked
// that the state is Stale.
func (w *warmUpPacer) paceUnlessWarm(now Time, s *server) {
	if s.warmingUp(now) {
		return
	}
	provedUntil := max(s.warmUp.warmAt, w.fleet.staleSince) + healthTTL
	if now <= provedUntil {
		return
	}
	refilledAt := s.warmUp.bucket.refilledAt
	w.paceUntilConfirmed(now, s)
	s.warmUp.bucket.refilledAt = max(provedUntil, refilledAt) // nothing was sent since: each attempt to do so begins the pacing
}
