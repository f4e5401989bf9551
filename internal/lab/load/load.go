// Package load is the clients of an experiment: open loop, each arrival at its planned time whatever became of those before,
// so that a stall of a sidecar is felt by all who come during it.
package load

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"gradeusher.example/gradeusher/internal/lab/clock"
	"gradeusher.example/gradeusher/internal/lab/plan"
)

// Attempt is one request as a client saw it. Times are ns of the lab's clock; 0: it did not happen.
type Attempt struct {
	ID         string        `json:"id"`
	Arrival    int           `json:"arrival"` // index in the plan
	Retry      bool          `json:"retry,omitempty"`
	Sidecar    int           `json:"sidecar"`
	Class      int           `json:"class"`
	Client     string        `json:"client,omitempty"` // who asks, as the header X-Tenant-Id says
	Due        int64         `json:"due"`
	Began      int64         `json:"began"`   // when the client set out to send
	Sent       int64         `json:"sent"`    // last byte written to a connection that was accepted
	Ended      int64         `json:"ended"`   // last byte of the answer, or when the connection ended
	Timeout    time.Duration `json:"timeout"` // that the sidecar was told
	Status     int           `json:"status"`  // of a whole answer
	ServedBy   string        `json:"by,omitempty"`
	RetryAfter time.Duration `json:"after,omitempty"` // Retry-After
	ResentAt   int64         `json:"again,omitempty"` // when it was sent once more, since the connection had been closed
	Fault      string        `json:"fault,omitempty"`
}

const (
	backoffMost = time.Second
	leastTry    = 50 * time.Millisecond // a second try with less time than this is not made
	lookOn      = time.Second           // how long clients look for answers that come too late
)

// Live are figures while the load runs, counted from its start.
type Live struct {
	Requests, Served, Refused, Failed, Open atomic.Int64
}

// Clients sends a plan's arrivals.
type Clients struct {
	Plan      *plan.Plan
	Addresses []string // of the sidecars
	Slack     time.Duration
	SendDelay time.Duration // sends this much late: only for the control of the lab's own lateness
	Live      Live

	pools []*pool
	mu    sync.Mutex
	tries []Attempt
}

// Run sends all arrivals from start, in ns of the lab's clock, and returns what clients saw once each has its answer or has
// given up. When ctx is done it sends no more.
func (c *Clients) Run(ctx context.Context, start int64) []Attempt {
	for _, a := range c.Addresses {
		c.pools = append(c.pools, &pool{address: a})
	}
	var tasks sync.WaitGroup
	timer := time.NewTimer(0)
	defer timer.Stop()
	<-timer.C
send:
	for i := range c.Plan.Arrivals {
		due := start + int64(c.Plan.Arrivals[i].At)
		if wait := clock.Until(due + int64(c.SendDelay)); wait > 0 {
			timer.Reset(wait)
			select {
			case <-timer.C:
			case <-ctx.Done():
				break send
			}
		} else if ctx.Err() != nil {
			break
		}
		tasks.Add(1)
		go func() {
			defer tasks.Done()
			c.request(i, due)
		}()
	}
	tasks.Wait()
	for _, p := range c.pools {
		p.close()
	}
	return c.tries
}

// request is one client's request with its retry.
func (c *Clients) request(i int, due int64) {
	a := &c.Plan.Arrivals[i]
	class := &c.Plan.File.Classes[a.Class]
	giveUp := plan.Millis(class.GiveUpMS)
	each := time.Duration(float64(giveUp) * a.TryPart)
	c.Live.Requests.Add(1)
	c.Live.Open.Add(1)
	defer c.Live.Open.Add(-1)

	first := c.try(i, due, each, false)
	if ok := c.settle(first, a.Backoff >= 0); ok || a.Backoff < 0 {
		return
	}
	// Clients look on past their time for answers that come too late, so a sidecar that never answers is asked again late.
	next := clock.Now() + int64(max(a.Backoff, min(first.RetryAfter, backoffMost)))
	left := time.Duration(due + int64(giveUp) - next)
	if left < leastTry {
		c.count(first)
		return
	}
	time.Sleep(clock.Until(next))
	c.settle(c.try(i, next, min(each, left), true), false)
}

// settle counts how a try ended, unless another follows it. It tells whether the request is served.
func (c *Clients) settle(t Attempt, more bool) bool {
	c.mu.Lock()
	c.tries = append(c.tries, t)
	c.mu.Unlock()
	if t.Status == 200 || !more {
		c.count(t)
	}
	return t.Status == 200
}

func (c *Clients) count(t Attempt) {
	switch t.Status {
	case 200:
		c.Live.Served.Add(1)
	case 429, 503:
		c.Live.Refused.Add(1)
	default:
		c.Live.Failed.Add(1)
	}
}

// try sends a request once and waits for its answer.
func (c *Clients) try(i int, due int64, timeout time.Duration, retry bool) Attempt {
	a := &c.Plan.Arrivals[i]
	t := Attempt{ID: fmt.Sprintf("%08x%08x", uint32(c.Plan.Seed), uint32(i)<<1|uint32(b2i(retry))), Arrival: i, Retry: retry, Sidecar: a.Sidecar,
		Class: a.Class, Client: plan.ClientName(a.Client), Due: due, Timeout: timeout, Began: clock.Now()}
	q := question{id: t.ID, class: c.Plan.File.Classes[a.Class], work: a.Work, timeout: timeout, retry: retry, client: t.Client}
	deadline := time.Now().Add(timeout + c.Slack + lookOn)
	p := c.pools[a.Sidecar]
	k, used, err := p.get(deadline)
	for err == nil {
		var ans answer
		t.Sent, ans, err = k.ask(q, deadline)
		if err == nil {
			t.Ended, t.Status, t.ServedBy, t.RetryAfter = clock.Now(), ans.status, ans.by, ans.after
			p.put(k, ans.closes)
			return t
		}
		k.Close()
		if !used || !errors.Is(err, errHungUp) {
			break
		}
		// PROTOCOL: the close may have crossed the request, which nobody has read then; it is sent once more on a new connection.
		t.ResentAt, t.Sent, used = clock.Now(), 0, false
		k, err = p.dial(deadline)
	}
	t.Ended, t.Fault = clock.Now(), err.Error()
	return t
}

func b2i(b bool) int {
	if b {
		return 1
	}
	return 0
}
