package balance

import (
	"fmt"
	"time"
)

// checker is a host that checks every action against the invariants, using a model that is independent of the Balancer.
type checker struct {
	set           Settings
	now           Time
	requests      map[RequestID]*modelRequest
	servers       map[string]*modelServer
	order         []string // server ids
	timers        map[Time][]uint64
	subscriptions int
	violations    []string
	sends         int
	actions       []string // all actions in order
}

type modelRequest struct {
	class    *Class
	deadline Time
	finished bool
	attempts []modelAttempt
}

type modelAttempt struct {
	to         string
	sent       Time
	done       bool
	mayHaveRun bool
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
	if sent == nil || sent.finished {
		c.violation("send for request %d, which has got its final answer", id)
		return
	}
	if target == nil || !target.listed || target.State != Ready {
		c.violation("send to %s, which is not listed as ready", to)
		return
	}
	if timeout < 0 {
		c.violation("send with a negative timeout")
	}
	if len(sent.attempts) >= c.set.MaxAttempts {
		c.violation("attempt %d exceeds MaxAttempts", len(sent.attempts))
	}
	for _, a := range sent.attempts {
		if !a.done {
			c.violation("request %d has two attempts in flight", id)
		}
		if a.done && !a.mayHaveRun || sent.class.Effect == Idempotent {
			continue
		}
		first := c.servers[a.to]
		switch {
		case sent.class.Effect == AtMostOnce:
			c.violation("at-most-once request %d retried", id)
		case c.now-a.sent >= sent.class.DedupeWindow:
			c.violation("request %d retried after its dedupe window", id)
		case sent.class.Scope == ScopeZone && first.Zone != target.Zone, sent.class.Scope == ScopeCell && first.Cell != target.Cell:
			c.violation("request %d retried outside its dedupe scope", id)
		}
	}
	sent.attempts = append(sent.attempts, modelAttempt{to: to, sent: c.now})
}

func (c *checker) recordFinalAnswer(id RequestID) *modelRequest {
	c.actions = append(c.actions, fmt.Sprint("end ", id))
	r := c.requests[id]
	if r == nil || r.finished {
		c.violation("request %d got a second final answer, or is unknown", id)
		return nil
	}
	if c.now > r.deadline+10*time.Millisecond {
		c.violation("request %d got its final answer after its deadline", id)
	}
	r.finished = true
	return r
}

func (c *checker) Refuse(id RequestID, after time.Duration) {
	r := c.recordFinalAnswer(id)
	if r == nil {
		return
	}
	if after < 0 || after.Seconds() > c.shortestTarget() {
		// After more than its latency target, a retry would be useless to the client.
		c.violation("refusal with a wait of %v, want 0 to the shortest latency target", after)
	}
	for _, a := range r.attempts {
		if (!a.done || a.mayHaveRun) && (r.class.Effect == AtMostOnce || r.class.Effect == Deduplicated && r.class.Scope != ScopeAll) {
			c.violation("refusal of request %d, which may have run", id)
		}
	}
}

// shortestTarget returns the shortest latency target in seconds.
func (c *checker) shortestTarget() float64 {
	shortest := c.set.Classes[0].LatencyTarget
	for _, class := range c.set.Classes {
		shortest = min(shortest, class.LatencyTarget)
	}
	return shortest.Seconds()
}

func (c *checker) Fail(id RequestID) { c.recordFinalAnswer(id) }

func (c *checker) Cancel(id RequestID, attempt int) {
	if r := c.requests[id]; !c.set.CancelAllowed || r == nil || attempt >= len(r.attempts) {
		c.violation("invalid cancel of attempt %[2]d of request %[1]d", id, attempt)
	}
}

func (c *checker) Timer(after time.Duration, token uint64) {
	at := c.now + max(after, time.Millisecond)
	at = at.Truncate(time.Millisecond)
	c.timers[at] = append(c.timers[at], token)
}

func (c *checker) Subscribe() {
	if !c.set.SubscribeToDiscovery {
		c.violation("subscription although SubscribeToDiscovery is not set")
	}
	c.subscriptions++
}

func (c *checker) Log(string) {}
