// Package healthcheck asks servers at regular intervals for how much longer they warm up.
//
// A proxy that is out of contact with the control plane learns neither of evacuations nor of servers that begin to warm up. The servers'
// answers to health checks say so (PROTOCOL.md, X-Cold-Ms). Which servers are checked, and what follows from their answers, is decided by
// package pick. A check has no effect on a server, so that net/http may repeat it.
package healthcheck

import (
	"context"
	"net"
	"net/http"
	"net/textproto"
	"strconv"
	"sync"
	"time"

	"github.com/apex/log"

	"gradeusher.example/gradeusher/internal/system/proxy/pick"
)

const (
	// timeout is how long an answer may take; later ones would prove nothing.
	timeout = 400 * time.Millisecond
	// maxAnswerHeadBytes bounds the head of an answer; a body is not read.
	maxAnswerHeadBytes = 8 << 10
)

// The headers of PROTOCOL.md, in the canonical form of net/http.
const (
	headerTargetInstance = "X-Target-Instance" // the server that a request is intended for
	headerInstanceID     = "X-Instance-Id"     // the server that has answered
	headerWarmUpLeft     = "X-Cold-Ms"         // for how much longer it warms up
)

// Picker says which servers to check, and receives their answers.
type Picker interface {
	// HealthTargets returns the servers that are to be checked now. Their number bounds the checks in flight.
	HealthTargets() []pick.HealthTarget
	// RecordHealth receives the answer of a server to a check that was sent at askedAt: for how much longer it warms up; 0: it is warm.
	RecordHealth(id string, askedAt time.Time, left time.Duration)
}

// Checker checks the servers that a Picker names, each over a connection of its own.
type Checker struct {
	picker Picker
	log    log.Interface
	client *http.Client

	mu        sync.Mutex
	inFlight  map[string]bool // by server id
	warmingUp map[string]bool // servers that said so in their last answer, among the targets; for the log
}

// New returns a Checker that logs to logger; Run starts it.
func New(picker Picker, logger log.Interface) *Checker {
	transport := &http.Transport{
		DialContext:            (&net.Dialer{Timeout: timeout, KeepAlive: -1}).DialContext,
		MaxConnsPerHost:        1,
		MaxIdleConnsPerHost:    1,
		MaxResponseHeaderBytes: maxAnswerHeadBytes,
		IdleConnTimeout:        time.Second,
		DisableCompression:     true,
	}
	refuseRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Checker{picker: picker, log: logger, inFlight: map[string]bool{}, warmingUp: map[string]bool{},
		client: &http.Client{Transport: transport, Timeout: timeout, CheckRedirect: refuseRedirect}}
}

// Run checks servers until ctx is done, and returns when all checks have ended.
func (c *Checker) Run(ctx context.Context) {
	var checks sync.WaitGroup
	defer c.client.CloseIdleConnections()
	defer checks.Wait()
	ticker := time.NewTicker(pick.HealthCheckInterval)
	defer ticker.Stop()
	checking := 0
	for {
		targets := c.picker.HealthTargets()
		if len(targets) != checking {
			checking = len(targets)
			c.logTargets(checking)
		}
		for _, target := range targets {
			if c.begin(target.Server.ID) {
				checks.Go(func() {
					defer c.end(target.Server.ID)
					c.check(ctx, target)
				})
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// logTargets logs that the number of targets has changed. Without any, what is known of warm-ups is forgotten, so that it does not grow with
// every server that was ever checked.
func (c *Checker) logTargets(count int) {
	c.log.WithField("servers", count).Info("healthcheck: number of servers that are asked for their health")
	if count > 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.warmingUp)
}

// begin reports whether a check of the server may start: none is in flight.
func (c *Checker) begin(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inFlight[id] {
		return false
	}
	c.inFlight[id] = true
	return true
}

func (c *Checker) end(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.inFlight, id)
}

// check sends one health check, and passes the answer on if the server itself has given it and is well.
func (c *Checker) check(ctx context.Context, target pick.HealthTarget) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+target.Server.Address+target.Path, nil)
	if err != nil {
		return // the configured path is no path: the server stays unconfirmed
	}
	request.Header.Set(headerTargetInstance, target.Server.ID)
	askedAt := time.Now()
	response, err := c.client.Do(request)
	if err != nil {
		return
	}
	_ = response.Body.Close()
	if left, ok := healthOf(response, target.Server.ID); ok {
		c.picker.RecordHealth(target.Server.ID, askedAt, left)
		c.logWarmUp(target.Server.ID, left)
	}
}

// logWarmUp logs that a server has begun or ended to warm up, as far as its answers tell.
func (c *Checker) logWarmUp(id string, left time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if warmingUp := left > 0; warmingUp != c.warmingUp[id] {
		if warmingUp {
			c.warmingUp[id] = true
		} else {
			delete(c.warmingUp, id)
		}
		c.log.WithField("server", id).WithField("cold_ms", left.Milliseconds()).Info("healthcheck: a server begins or ends to warm up")
	}
}

// healthOf returns for how much longer a server warms up, 0 if it is warm. ok is false if the answer is another server's or not 200, or
// cannot be parsed.
func healthOf(response *http.Response, id string) (left time.Duration, ok bool) {
	if response.StatusCode != http.StatusOK || response.Header.Get(headerInstanceID) != id {
		return 0, false
	}
	text := response.Header.Get(headerWarmUpLeft)
	if text == "" {
		return 0, true
	}
	milliseconds, err := strconv.ParseUint(textproto.TrimString(text), 10, 31)
	return time.Duration(milliseconds) * time.Millisecond, err == nil
}
