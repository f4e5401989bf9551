package quota

import (
	"fmt"
	"testing"
	"time"
)

// faultyFleet returns the options of a fleet with a faulty network. runFaults adds process faults and partitions.
func faultyFleet(knobs TestingKnobs) simulationOptions {
	return simulationOptions{
		limiters: 5, allocators: 3, knobs: knobs, drift: true,
		delay: time.Millisecond, jitter: 60 * time.Millisecond, loss: 0.05, duplication: 0.05, late: 0.02,
		takeInterval: 100 * time.Millisecond,
	}
}

const faultySpan = 20 * time.Second

// runFaults runs the simulation of a seed with all faults and returns the violations.
func runFaults(seed uint64, options simulationOptions) []string {
	sim := newSimulation(seed, options)
	sim.addFaultyTenants()
	sim.run(7 * time.Second)
	sim.scheduleFaults()
	sim.run(faultySpan)
	sim.checkWindows()
	return sim.violations
}

// addFaultyTenants adds tenants of several sizes whose demand at changing limiters exceeds their limits.
func (s *simulation) addFaultyTenants() {
	for _, limit := range []Limit{{RatePerSecond: 60, Burst: 40}, {RatePerSecond: 10, Burst: 30}, {RatePerSecond: 3, Burst: 3}} {
		s.addTenant(fmt.Sprint("tenant-", len(s.tenants)), limit)
	}
	for _, tenant := range s.tenants {
		s.changeDemand(tenant)
	}
}

// changeDemand sets a random demand of a tenant, and sets another one some seconds later.
func (s *simulation) changeDemand(tenant *simTenant) {
	for i := range tenant.rates {
		tenant.rates[i] = 0
		if s.rng.IntN(2) == 0 {
			tenant.rates[i] = s.rng.Float64() * 3 * tenant.limits[0].RatePerSecond
		}
	}
	s.after(s.randomUpTo(6*time.Second), func() { s.changeDemand(tenant) })
}

// scheduleFaults schedules random faults within faultySpan.
func (s *simulation) scheduleFaults() {
	kinds := []func(){
		s.moveAllocator, s.moveAllocator, s.freezeAllocator, s.freezeLimiter, s.restartAllocator, s.restartLimiter, s.partitionLimiter,
		s.partitionSomeLimiters, s.leaveLimiter,
	}
	for range 12 {
		s.after(s.randomUpTo(faultySpan), kinds[s.rng.IntN(len(kinds))])
	}
	s.after(s.randomUpTo(faultySpan/2), s.lowerLimit)
}

func (s *simulation) moveAllocator() { s.changeView(s.rng.IntN(len(s.allocators))) }

func (s *simulation) freezeAllocator() { s.freeze(&s.allocators[s.view.owner].simProcess) }

func (s *simulation) freezeLimiter() { s.freeze(&s.randomLimiter().simProcess) }

// freeze pauses a process for up to 5 s. It does not shorten a freeze already in
// progress, because events already waiting for its end would not run earlier.
func (s *simulation) freeze(process *simProcess) {
	process.frozenUntil = max(process.frozenUntil, s.now+s.randomUpTo(5*time.Second))
}

func (s *simulation) restartAllocator() {
	node := s.allocators[s.view.owner]
	node.alive = false
	s.after(s.randomUpTo(2*time.Second), func() { s.startAllocator(node) })
}

func (s *simulation) restartLimiter() {
	node := s.randomLimiter()
	node.alive = false
	s.after(s.randomUpTo(2*time.Second), func() {
		if !node.alive {
			s.startLimiter(node)
		}
	})
}

// leaveLimiter makes a limiter give up its leases and restart.
func (s *simulation) leaveLimiter() {
	node := s.randomLimiter()
	if !node.alive || s.now < node.frozenUntil {
		return
	}
	request, resolutions := node.limiter.Leave(node.clock.read(s.now))
	s.resolve(node, resolutions)
	s.send(node, request)
	s.startLimiter(node)
}

// partitionLimiter partitions a limiter from all allocators.
func (s *simulation) partitionLimiter() {
	node := s.randomLimiter()
	for _, target := range s.allocators {
		s.partitionFor(simPath{node.index, target.index}, s.randomUpTo(8*time.Second))
	}
}

// partitionSomeLimiters partitions some limiters from the current allocator while others still reach it.
func (s *simulation) partitionSomeLimiters() {
	for _, node := range s.limiters {
		if s.rng.IntN(2) == 0 {
			s.partitionFor(simPath{node.index, s.view.owner}, s.randomUpTo(8*time.Second))
		}
	}
}

func (s *simulation) partitionFor(path simPath, duration time.Duration) {
	s.partitioned[path] = true
	s.after(duration, func() { delete(s.partitioned, path) })
}

// lowerLimit lowers the limit of the largest tenant to a quarter. Each process receives the new limit at a different time.
func (s *simulation) lowerLimit() {
	tenant := s.tenants[0]
	limit := tenant.limits[0]
	tenant.limits = append(tenant.limits, Limit{RatePerSecond: limit.RatePerSecond / 4, Burst: limit.Burst / 4})
	tenant.lowered = s.now + 3*time.Second
	for _, node := range s.limiters {
		s.after(s.randomUpTo(3*time.Second), func() { node.version = 1 })
	}
	for _, node := range s.allocators {
		s.after(s.randomUpTo(3*time.Second), func() { node.version = 1 })
	}
}

func (s *simulation) randomLimiter() *simLimiter { return s.limiters[s.rng.IntN(len(s.limiters))] }

// TestBoundHoldsUnderFaults checks that under all faults no window admits
// more than the bound, and that the shares sum to no more than may be leased.
func TestBoundHoldsUnderFaults(t *testing.T) {
	const parts, seedsOfPart = 2, 500
	for part := range uint64(parts) {
		t.Run(fmt.Sprint(part), func(t *testing.T) {
			t.Parallel()
			for seed := part * seedsOfPart; seed < (part+1)*seedsOfPart; seed++ {
				if violations := runFaults(seed, faultyFleet(TestingKnobs{})); len(violations) > 0 {
					t.Fatalf("seed %d: %v", seed, violations)
				}
			}
		})
	}
}

// TestProtections checks that without any one of these protections the same runs violate the bound or the limit on the
// sum of shares. takeover_test.go, late_reply_test.go and resume_test.go have the controls of the other protections.
func TestProtections(t *testing.T) {
	for name, knobs := range map[string]TestingKnobs{
		"EarlyExpiry":       {EarlyExpiry: true},
		"NoGrace":           {NoGrace: true},
		"AcceptOldReplies":  {AcceptOldReplies: true},
		"AcceptOldRequests": {AcceptOldRequests: true},
		"IgnoreIncarnation": {IgnoreIncarnation: true},
		"TrustShrink":       {TrustShrink: true},
		"FillOnGrowth":      {FillOnGrowth: true},
	} {
		t.Run(name, func(t *testing.T) {
			const seeds = 2000
			for seed := range uint64(seeds) {
				if violations := runFaults(seed, faultyFleet(knobs)); len(violations) > 0 {
					t.Logf("seed %d: %s", seed, violations[0])
					return
				}
			}
			t.Errorf("no violation in %d seeds without the protection", seeds)
		})
	}
}
