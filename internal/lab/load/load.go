// Package load generates the load of an experiment and records what its clients observe.
//
// The load is an open loop: each request arrives at its planned time whatever became of those before, so a stall of a sidecar is
// measured by all requests that arrive during it (no coordinated omission).
//
// Terms: an arrival is a request of the plan; an attempt is one request that a client sends for it, the first one or its retry. An attempt
// is resent where a connection that was idle before turns out to be closed.
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

// Attempt is one attempt of a request as the client observed it. Times are ns of the lab's clock; 0: it did not happen.
type Attempt struct {
	ID         string        `json:"id"`      // of the request, which servers record
	Arrival    int           `json:"arrival"` // index in the plan
	Retry      bool          `json:"retry,omitempty"`
	Sidecar    int           `json:"sidecar"`          // index in the plan
	Class      int           `json:"class"`            // index in the experiment file
	Client     string        `json:"client,omitempty"` // value of the header X-Tenant-Id
	Due        int64         `json:"due"`              // planned time
	Began      int64         `json:"began"`            // when the client started the attempt
	Sent       int64         `json:"sent"`             // last byte written to an established connection
	Ended      int64         `json:"ended"`            // last byte of the response, or the end of the connection
	Timeout    time.Duration `json:"timeout"`          // that the request carries
	Status     int           `json:"status"`           // HTTP status of a complete response; 0: none came
	ServedBy   string        `json:"by,omitempty"`     // UID of the server; "?": the body names none
	RetryAfter time.Duration `json:"after,omitempty"`  // of the response's header
	ResentAt   int64         `json:"again,omitempty"`  // when it was resent, because the connection had been closed
	Fault      string        `json:"fault,omitempty"`  // error without a response
}

const (
	maxRetryAfter     = time.Second           // bound of the wait that a Retry-After header asks for
	minAttemptTime    = 50 * time.Millisecond // no retry is sent with less time left
	lateResponseWatch = time.Second           // for which clients wait for responses after the time-out
)

// Live counts requests from the start of the load, for display while it runs.
type Live struct {
	Requests, Served, Refused, Failed, Open atomic.Int64
}

// Clients sends the arrivals of a plan. Its exported fields are set before Run.
type Clients struct {
	Plan      *plan.Plan
	Addresses []string      // of the sidecars, by their index in the plan
	Slack     time.Duration // beyond the time-out of a request within which a response is in time
	SendDelay time.Duration // of every arrival; only for the control that the lab finds its own lateness
	Live      Live

	pools    []*connPool
	mu       sync.Mutex
	attempts []Attempt
}

// Run sends all arrivals, counted from start in ns of the lab's clock, and returns the attempts once each request has a response or its
// client has given up. When ctx is done it sends no further arrivals. It may be called once.
func (c *Clients) Run(ctx context.Context, start int64) []Attempt {
	for _, address := range c.Addresses {
		c.pools = append(c.pools, &connPool{address: address})
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

// send sends one request, and its retry where the plan has one and there is time left.
func (c *Clients) send(index int, due int64) {
	arrival := &c.Plan.Arrivals[index]
	class := &c.Plan.File.Classes[arrival.Class]
	giveUp := plan.Millis(class.GiveUpMS)
	attemptTime := time.Duration(float64(giveUp) * arrival.TimeoutShare)
	c.Live.Requests.Add(1)
	c.Live.Open.Add(1)
	defer c.Live.Open.Add(-1)

	first := c.attempt(index, due, attemptTime, false)
	if ok := c.record(first, arrival.Backoff >= 0); ok || arrival.Backoff < 0 {
		return
	}
	// An attempt waits for late responses, so the retry of a request that gets none is late too.
	next := clock.Now() + int64(max(arrival.Backoff, min(first.RetryAfter, maxRetryAfter)))
	left := time.Duration(due + int64(giveUp) - next)
	if left < minAttemptTime {
		c.countOutcome(first)
		return
	}
	time.Sleep(clock.Until(next))
	c.record(c.attempt(index, next, min(attemptTime, left), true), false)
}

// record stores an attempt, and counts its outcome unless a retry may follow. It returns whether the request is served.
func (c *Clients) record(attempt Attempt, retried bool) bool {
	c.mu.Lock()
	c.attempts = append(c.attempts, attempt)
	c.mu.Unlock()
	if attempt.Status == http.StatusOK || !retried {
		c.countOutcome(attempt)
	}
	return attempt.Status == http.StatusOK
}

// countOutcome counts the outcome of a request by its last attempt.
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
