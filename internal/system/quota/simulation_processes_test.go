package quota

import (
	"math"
	"time"
)

// arrive generates the requests that arrive at a limiter, and schedules the next arrivals.
func (s *simulation) arrive(node *simLimiter) {
	interval := s.options.takeInterval
	s.after(interval/2+s.randomUpTo(interval), func() { s.arrive(node) })
	if !node.alive || s.now < node.frozenUntil {
		return
	}
	for _, tenant := range s.tenants {
		if count := s.poisson(tenant.rates[node.index] * interval.Seconds()); count > 0 {
			s.take(node, tenant, count)
		}
	}
}

// poisson returns a Poisson-distributed number of arrivals.
func (s *simulation) poisson(mean float64) int {
	limit, product, count := math.Exp(-mean), s.rng.Float64(), 0
	for product > limit {
		product *= s.rng.Float64()
		count++
	}
	return count
}

func (s *simulation) take(node *simLimiter, tenant *simTenant, count int) {
	limit := tenant.limits[min(node.version, len(tenant.limits)-1)]
	decision := node.limiter.Take(node.clock.read(s.now), tenant.name, limit, count)
	if sum := decision.Granted + decision.Denied + decision.Unavailable + decision.Waiting; sum != count {
		s.addViolation("%d requests were passed to Take, its decision accounts for %d", count, sum)
	}
	tenant.requested += count
	tenant.denied += decision.Denied
	tenant.failed += decision.Unavailable
	tenant.waited += decision.Waiting
	if tenant.reference != nil {
		tenant.reference.fill(s.now)
		tenant.referenceRefused += count - tenant.reference.take(count)
	}
	s.admit(node, tenant, decision.Granted)
	if decision.Ticket != 0 {
		node.tickets[decision.Ticket] = simTicket{tenant: tenant, since: s.now}
	}
	if decision.NeedsLease {
		s.schedule(node)
	}
}

func (s *simulation) admit(node *simLimiter, tenant *simTenant, count int) {
	if s.onTake != nil {
		s.onTake(node, tenant, count)
	}
	if count > 0 {
		tenant.granted += count
		tenant.admitted = append(tenant.admitted, simTake{at: s.now, count: count})
	}
}

func (s *simulation) resolve(node *simLimiter, resolutions []Resolution) {
	for _, r := range resolutions {
		ticket, waits := node.tickets[r.Ticket]
		if !waits {
			s.addViolation("ticket %d was resolved twice", r.Ticket)
			continue
		}
		delete(node.tickets, r.Ticket)
		if waited := s.now - ticket.since; waited > maxWait+simWaitRounding && node.frozenUntil < ticket.since {
			s.addViolation("ticket %d waited for %v", r.Ticket, waited)
		}
		tenant := ticket.tenant
		tenant.denied += r.Denied
		tenant.failed += r.Unavailable
		s.admit(node, tenant, r.Granted)
	}
}

// schedule sets a timer for the next time that a limiter has something to do.
func (s *simulation) schedule(node *simLimiter) {
	local := node.clock.read(s.now)
	at, scheduled := node.limiter.NextCall(local)
	if !scheduled {
		return
	}
	wait := time.Duration(float64(at-local)/node.clock.speed) + time.Microsecond
	if s.now < node.wake && node.wake <= s.now+wait {
		return
	}
	node.wake = s.now + wait
	run := node.run
	s.after(wait, func() {
		s.whenAwake(&node.simProcess, run, func() { s.drive(node) })
	})
}

// drive performs the actions that are due at a limiter.
func (s *simulation) drive(node *simLimiter) {
	local := node.clock.read(s.now)
	s.resolve(node, node.limiter.Expire(local))
	if request, due := node.limiter.NextRequest(local); due {
		s.send(node, request)
	}
	s.schedule(node)
}

// send sends a limiter's request to the allocator named by the view that the limiter knows.
func (s *simulation) send(node *simLimiter, request LeaseRequest) {
	s.calls++
	if s.onRequest != nil {
		s.onRequest(node, request)
	}
	run := node.run
	target := s.allocators[node.knownView.owner]
	path := simPath{node.index, target.index}
	s.deliver(path, func() {
		s.whenAwake(&target.simProcess, target.run, func() { s.serve(node, run, target, request) })
	})
	s.after(simCallTimeout, func() {
		s.whenAwake(&node.simProcess, run, func() {
			s.resolve(node, node.limiter.Fail(node.clock.read(s.now), request.Sequence))
			s.schedule(node)
		})
	})
}

// serve makes an allocator read its clock, check its authority, possibly freeze, and answer a request.
func (s *simulation) serve(node *simLimiter, nodeRun int, target *simAllocator, request LeaseRequest) {
	readAt := target.clock.read(s.now)
	if !s.hasAuthority(target) {
		return
	}
	answer := func() {
		reply := target.allocator.Receive(readAt, request, s.limits(target))
		if s.onReply != nil {
			s.onReply(target, reply)
		}
		s.deliver(simPath{node.index, target.index}, func() {
			s.whenAwake(&node.simProcess, nodeRun, func() { s.receive(node, reply) })
		})
	}
	if s.options.late > 0 && s.rng.IntN(200) == 0 {
		run := target.run
		s.after(s.randomUpTo(5*time.Second), func() { s.whenAwake(&target.simProcess, run, answer) })
		return
	}
	answer()
}

func (s *simulation) receive(node *simLimiter, reply LeaseReply) {
	s.resolve(node, node.limiter.Receive(node.clock.read(s.now), reply))
	s.checkShares()
	s.schedule(node)
}

// limits returns a function that looks up the limits known to an allocator.
func (s *simulation) limits(node *simAllocator) func(string) (Limit, bool) {
	return func(name string) (Limit, bool) {
		for _, tenant := range s.tenants {
			if tenant.name == name {
				return tenant.limits[min(node.version, len(tenant.limits)-1)], true
			}
		}
		return Limit{}, false
	}
}

// checkShares checks that the shares held by limiters sum to no more than may be leased.
func (s *simulation) checkShares() {
	for _, tenant := range s.tenants {
		var sum Share
		for _, node := range s.limiters {
			if node.alive {
				sum = sum.plus(node.limiter.Held(node.clock.read(s.now), tenant.name))
			}
		}
		if sum.Fraction > leasableFraction+1e-6 || sum.Extra > s.options.bounds.leasableExtra() {
			s.addViolation("shares of %s sum to %+v", tenant.name, sum)
		}
	}
}

// checkWindows checks what was admitted in every window against the over-admission bound.
func (s *simulation) checkWindows() {
	for _, tenant := range s.tenants {
		sum, first := 0, 0
		for _, take := range tenant.admitted {
			sum += take.count
			for tenant.admitted[first].at < take.at-s.options.bounds.Window {
				sum -= tenant.admitted[first].count
				first++
			}
			if bound := s.bound(tenant, take.at); float64(sum) > bound {
				s.addViolation("%d requests of %s admitted in the window that ends at %.3f s, the bound is %.1f",
					sum, tenant.name, take.at.Seconds(), bound)
				break
			}
		}
	}
}

// bound returns how much may be admitted in the window that ends at the given time: the over-admission bound, or the budget
// if that is smaller. Until one window after the limit was lowered, the larger of the old and the new limit's values applies.
func (s *simulation) bound(tenant *simTenant, end time.Duration) float64 {
	newest := len(tenant.limits) - 1
	if newest > 0 && end < tenant.lowered+s.options.bounds.Window {
		return max(s.budget(tenant.limits[newest-1]), s.budget(tenant.limits[newest]))
	}
	return s.budget(tenant.limits[newest])
}

// budget returns the sum in the package's proof, for clocks that run up to 1 in 1,000 fast, but at most the over-admission bound.
func (s *simulation) budget(limit Limit) float64 {
	bounds := s.options.bounds
	filled := 1.001 * limit.RatePerSecond * (bounds.Window + bounds.TokenTTL()).Seconds()
	return min(bounds.MaxAdmitted(limit), filled+bounds.Depth(limit)+float64(bounds.ExtraTokens()))
}
