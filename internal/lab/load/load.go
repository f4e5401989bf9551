// Package load is the clients of an experiment: open loop, each arrival at its planned time whatever became of those before,
// so that a stall of a sidecar is felt by all who come during it.
package load

import (
	"context"
	"errors"
	"fmt"
	"net/http"
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
	maxRetryAfter     = time.Second
	minAttemptTime    = 50 * time.Millisecond // a second try with less time than this is not made
	lateResponseWatch = time.Second           // how long clients look for answers that come too late
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

	pools    []*connPool
	mu       sync.Mutex
	attempts []Attempt
}

// Run sends all arrivals from start, in ns of the lab's clock, and returns what clients saw once each has its answer or has
// given up. When ctx is done it sends no more.
func (c *Clients) Run(ctx context.Context, start int64) []Attempt {
	for _, a := range c.Addresses {
		c.pools = append(c.pools, &connPool{address: a})
	}
	var tasks sync.WaitGroup
	timer := time.NewTimer(0)
	defer timer.Stop()
	<-timer.C
send:
	for arrival := range c.Plan.Arrivals {
		due := start + int64(c.Plan.Arrivals[arrival].At)
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
			c.send(arrival, due)
		}()
	}
	tasks.Wait()
	for _, p := range c.pools {
		p.close()
	}
	return c.attempts
}

// send is one client's send with its retry.
func (c *Clients) send(index int, due int64) {
	arrival := &c.Plan.Arrivals[index]
	class := &c.Plan.File.Classes[arrival.Class]
	giveUp := plan.Millis(class.GiveUpMS)
	attemptTime := time.Duration(float64(giveUp) * arrival.TryPart)
	c.Live.Requests.Add(1)
	c.Live.Open.Add(1)
	defer c.Live.Open.Add(-1)

	first := c.attempt(index, due, attemptTime, false)
	if ok := c.record(first, arrival.Backoff >= 0); ok || arrival.Backoff < 0 {
		return
	}
	// Clients look on past their time for answers that come too late, so a sidecar that never answers is asked again late.
	next := clock.Now() + int64(max(arrival.Backoff, min(first.RetryAfter, maxRetryAfter)))
	left := time.Duration(due + int64(giveUp) - next)
	if left < minAttemptTime {
		c.countOutcome(first)
		return
	}
	time.Sleep(clock.Until(next))
	c.record(c.attempt(index, next, min(attemptTime, left), true), false)
}

// record counts how a try ended, unless another follows it. It tells whether the request is served.
func (c *Clients) record(attempt Attempt, retried bool) bool {
	c.mu.Lock()
	c.attempts = append(c.attempts, attempt)
	c.mu.Unlock()
	if attempt.Status == http.StatusOK || !retried {
		c.countOutcome(attempt)
	}
	return attempt.Status == http.StatusOK
}

func (c *Clients) countOutcome(attempt Attempt) {
	switch attempt.Status {
	case http.StatusOK:
		c.Live.Served.Add(1)
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		c.Live.Refused.Add(1)
	default:
		c.Live.Failed.Add(1)
	}
}

// attempt sends a request once and waits for its response.
func (c *Clients) attempt(index int, due int64, timeout time.Duration, retry bool) Attempt {
	arrival := &c.Plan.Arrivals[index]
	attempt := Attempt{
		ID: requestID(c.Plan.Seed, index, retry), Arrival: index, Retry: retry, Sidecar: arrival.Sidecar, Class: arrival.Class,
		Client: plan.ClientName(arrival.Client), Due: due, Timeout: timeout, Began: clock.Now(),
	}
	request := apiRequest{id: attempt.ID, class: c.Plan.File.Classes[arrival.Class], work: arrival.Work, timeout: timeout, retry: retry, client: attempt.Client}
	c.exchange(&attempt, request, time.Now().Add(timeout+c.Slack+lateResponseWatch))
	return attempt
}

// exchange sends a request over a connection to the sidecar of an attempt, and records in the attempt what came of it.
func (c *Clients) exchange(attempt *Attempt, request apiRequest, deadline time.Time) {
	pool := c.pools[attempt.Sidecar]
	conn, used, err := pool.get(deadline)
	for err == nil {
		var response apiResponse
		attempt.Sent, response, err = conn.roundTrip(request, deadline)
		if err == nil {
			attempt.Ended, attempt.Status = clock.Now(), response.status
			attempt.ServedBy, attempt.RetryAfter = response.servedBy, response.retryAfter
			pool.put(conn, response.closeConn)
			return
		}
		_ = conn.Close() // it has failed already
		if !used || !errors.Is(err, errConnClosed) {
			break
		}
		// PROTOCOL: the close may have crossed the request, which nobody has read then; it is resent once on a new connection.
		attempt.ResentAt, attempt.Sent, used = clock.Now(), 0, false
		conn, err = pool.dial(deadline)
	}
	attempt.Ended, attempt.Fault = clock.Now(), err.Error()
}

// requestID is the id of a request or its retry, unique within a plan.
func requestID(seed uint64, index int, retry bool) string {
	number := uint32(index) << 1
	if retry {
		number |= 1
	}
	return fmt.Sprintf("%08x%08x", uint32(seed), number)
}
