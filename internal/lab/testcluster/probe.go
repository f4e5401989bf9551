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

// Probe sends one request straight to a proxy, on a connection of its own, to see which configuration is in force there.
func (w *Environment) Probe(ctx context.Context, proxy, host, path string) *rules.Attempt {
	t := &rules.Attempt{ID: fmt.Sprintf("%016x", rand.Uint64()), Host: host, Method: http.MethodPost, Path: path, Body: xxhash.Sum64String(""),
		Proxy: proxy, Probe: true, Sent: w.Now()}
	defer func() {
		t.Ended = w.Now()
		w.Evidence.RecordAttempt(t)
	}()
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	c, err := dial(ctx, proxy)
	if err != nil {
		t.Outcome = rules.Unreached
		return t
	}
	defer c.tcp.Close()
	w.links.recordSender(t.ID, proxy)
	until, _ := ctx.Deadline()
	c.exchange(&attemptSpec{attempt: t, deadline: until, headers: [][2]string{
		{"X-Time-Left-Ms", fmt.Sprint(probeTimeout.Milliseconds())}, {"X-Model", "m"}, {"X-Token-Count", "10,5"},
		{"X-Prompt-Prefix", t.ID + ":10"}}}, w.Now)
	return t
}

// CountReady is how many processes answer GET /readiness with 200.
func (w *Environment) CountReady(ctx context.Context, addresses []string) int {
	answers := make(chan bool, len(addresses))
	for _, at := range addresses {
		go func() {
			req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+at+"/readiness", nil)
			if err != nil {
				answers <- false
				return
			}
			resp, err := w.Operator.http.Do(req)
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
