package balance

import (
	"fmt"
	"time"
)

// checker is a host that checks every action against the invariants, using a model that is independent of the Balancer.
type checker struct {
	set        Settings
	now        Time
	requests   map[RequestID]*modelRequest
	servers    map[string]*modelServer
	order      []string // server ids
	timers     map[Time][]uint64
	asked      int
	violations []string
	sends      int
	actions    []string // all actions in order
}

type modelRequest struct {
	class    *Class
	deadline Time
	ended    bool
	attempts []modelAttempt
}

type modelAttempt struct {
	to   string
	sent Time
	done bool
	ran  bool
}

type modelServer struct {
	Endpoint
	listed bool
}

func (c *checker) violation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf("%v: ", c.now)+fmt.Sprintf(format, args...))
}

func (c *checker) Send(id RequestID, to string, timeout time.Duration) {
	c.sends++
	c.actions = append(c.actions, fmt.Sprint("send ", id, to))
	sent, target := c.requests[id], c.servers[to]
	if sent == nil || sent.ended {
		c.violation("rule 1: send for request %d, which is over", id)
		return
	}
	if target == nil || !target.listed || target.State != Ready {
		c.violation("rule 3: send to %s, which is not ready", to)
		return
	}
	if timeout < 0 {
		c.violation("negative timeout")
	}
	if len(sent.attempts) >= c.set.MaxAttempts {
		c.violation("attempt %d", len(sent.attempts))
	}
	for _, a := range sent.attempts {
		if !a.done {
			c.violation("rule 2: second copy of %d", id)
		}
		if a.done && !a.ran || sent.class.Effect == Idempotent {
			continue
		}
		first := c.servers[a.to]
		switch {
		case sent.class.Effect == AtMostOnce:
			c.violation("rule 2: at-most-once request %d again", id)
		case c.now-a.sent >= sent.class.DedupeWindow:
			c.violation("rule 2: request %d again after its window", id)
		case sent.class.Scope == ScopeZone && first.Zone != target.Zone, sent.class.Scope == ScopeCell && first.Cell != target.Cell:
			c.violation("rule 2: request %d again outside its scope", id)
		}
	}
	sent.attempts = append(sent.attempts, modelAttempt{to: to, sent: c.now})
}

func (c *checker) final(id RequestID) *modelRequest {
	c.actions = append(c.actions, fmt.Sprint("end ", id))
	r := c.requests[id]
	if r == nil || r.ended {
		c.violation("rule 1: second answer for %d", id)
		return nil
	}
	if c.now > r.deadline+10*time.Millisecond {
		c.violation("rule 1: late answer for %d", id)
	}
	r.ended = true
	return r
}

func (c *checker) Refuse(id RequestID, after time.Duration) {
	r := c.final(id)
	if r == nil {
		return
	}
	if after < 0 || after.Seconds() > c.shortestAim() {
		c.violation("advice to wait %v", after) // a client that waits longer than its aim comes back for nothing
	}
	for _, a := range r.attempts {
		if (!a.done || a.ran) && (r.class.Effect == AtMostOnce || r.class.Effect == Deduplicated && r.class.Scope != ScopeAll) {
			c.violation("rule 2: refusal of %d, which may have run", id)
		}
	}
}

// shortestAim returns the shortest latency target in seconds.
func (c *checker) shortestAim() float64 {
	shortest := c.set.Classes[0].LatencyTarget
	for _, class := range c.set.Classes {
		shortest = min(shortest, class.LatencyTarget)
	}
	return shortest.Seconds()
}

func (c *checker) Fail(id RequestID) { c.final(id) }

func (c *checker) Cancel(id RequestID, attempt int) {
	if r := c.requests[id]; !c.set.CancelAllowed || r == nil || attempt >= len(r.attempts) {
		c.violation("cancel of %d, attempt %d", id, attempt)
	}
}

func (c *checker) Timer(after time.Duration, token uint64) {
	at := c.now + max(after, time.Millisecond)
	at = at.Truncate(time.Millisecond)
	c.timers[at] = append(c.timers[at], token)
}

func (c *checker) Subscribe() {
	if !c.set.SubscribeToDiscovery {
		c.violation("subscription where changes are pushed")
	}
	c.asked++
}

func (c *checker) Log(string) {}
