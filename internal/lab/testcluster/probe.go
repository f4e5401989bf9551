package testcluster

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"gradeusher.example/gradeusher/internal/lab/testcluster/rules"
)

const probeTimeout = 2 * time.Second

// Probe sends one request to a proxy, on a connection of its own and without retries, to see which configuration is in force there. It has a
// tenant's key where there are tenants. The attempt is evidence; it ends after probeTimeout at the latest.
func (e *Environment) Probe(ctx context.Context, proxy, host, path string) *rules.Attempt {
	attempt := &rules.Attempt{ID: fmt.Sprintf("%016x", rand.Uint64()), Host: host, Method: http.MethodPost, Path: path, Body: xxhash.Sum64String(""),
		Proxy: proxy, Key: e.probeKey, Probe: true, Sent: e.Now()}
	defer func() {
		attempt.Ended = e.Now()
		e.Evidence.RecordAttempt(attempt)
	}()
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	conn, err := dial(ctx, proxy)
	if err != nil {
		attempt.Outcome = rules.Unreached
		return attempt
	}
	defer func() { _ = conn.tcp.Close() }()
	e.links.recordSender(attempt.ID, proxy)
	until, _ := ctx.Deadline()
	headers := append(Caller{Key: attempt.Key}.headers(), headerField{"X-Time-Left-Ms", fmt.Sprint(probeTimeout.Milliseconds())},
		headerField{"X-Model", "m"}, headerField{"X-Token-Count", "10,5"}, headerField{"X-Prompt-Prefix", attempt.ID + ":10"})
	conn.exchange(&attemptSpec{attempt: attempt, deadline: until, headers: headers}, e.Now)
	return attempt
}

// CountReady returns how many of the addresses answer GET /readiness with 200 before ctx ends.
func (e *Environment) CountReady(ctx context.Context, addresses []string) int {
	answers := make(chan bool, len(addresses))
	for _, at := range addresses {
		go func() {
			req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+at+"/readiness", nil)
			if err != nil {
				answers <- false
				return
			}
			resp, err := e.Operator.http.Do(req)
			if err == nil {
				_ = resp.Body.Close()
			}
			answers <- err == nil && resp.StatusCode == http.StatusOK
		}()
	}
	n := 0
	for range addresses {
		if <-answers {
			n++
		}
	}
	return n
}
