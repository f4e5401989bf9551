package testcluster

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"gradeusher.example/gradeusher/internal/lab/testcluster/rules"
)

// RequestKind is a kind of request that clients send.
type RequestKind struct {
	Route    *rules.Route
	Rate     float64       // requests a second, from all zones together
	Deadline time.Duration // from the start of a request to its final answer
	Retries  int           // of a request, at most

	Prefixes     int // prefix parts from which a prompt draws one
	PrefixTokens int // tokens of that prefix part
	OwnTokens    int // tokens that a prompt has besides, on average
	AnswerTokens int // tokens of an answer, at most; 0: the request has no prompt

	BodyBytes int // about

	Callers []Caller // that send the requests; empty: one without a key
}

// Traffic is the stand-in clients: PROTOCOL.md "Ingress" and "Answers".
type Traffic struct {
	Kinds   []RequestKind
	pools   []*clientPool // one of each zone
	env     *Environment
	seed    uint64
	stats   *statsCounter
	running sync.WaitGroup
	floods  atomic.Uint64 // that have begun
}

// run sends requests until ctx ends, and returns when all of them have ended.
func (t *Traffic) run(ctx context.Context) {
	for _, pool := range t.pools {
		t.running.Go(func() { pool.run(ctx) })
	}
	for i, kind := range t.Kinds {
		for j, pool := range t.pools {
			rng := rand.New(rand.NewPCG(t.seed, uint64(i*len(t.pools)+j+1)))
			t.running.Go(func() { t.generate(ctx, kind, pool, kind.Rate/float64(len(t.pools)), rng) })
		}
	}
	t.running.Wait()
	for _, pool := range t.pools {
		pool.closeAll()
	}
}

// generate starts requests of one kind and zone as a Poisson process of rate requests a second, until ctx ends.
func (t *Traffic) generate(ctx context.Context, kind RequestKind, pool *clientPool, rate float64, rng *rand.Rand) {
	select {
	case <-pool.resolvedOnce:
	case <-ctx.Done():
		return
	}
	if rate <= 0 {
		return
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	next := t.env.Now()
	for {
		next += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		timer.Reset(max(0, next-t.env.Now()))
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		r := t.newRequest(kind, pool, rng)
		t.running.Go(r.run)
	}
}
