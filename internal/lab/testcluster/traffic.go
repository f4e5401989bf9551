package testcluster

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"gradeusher.example/gradeusher/internal/lab/testcluster/rules"
)

// RequestKind is a kind of request that clients send.
type RequestKind struct {
	Route    *rules.Route
	Rate     float64 // a second, from all zones together
	Deadline time.Duration
	Retries  int

	// A prompt has one of Subjects shared parts of Shared tokens, and Own tokens; its answer at most Out. 0: no prompt.
	Subjects, Shared, Own, Out int
	Bytes                      int // of the body
}

// Traffic is the stand-in clients: PROTOCOL.md "Ingress" and "Answers".
type Traffic struct {
	Kinds   []RequestKind
	pools   []*clientPool
	env     *Environment
	seed    uint64
	stats   *statsCounter
	running sync.WaitGroup
}

// run sends requests until ctx ends, and returns once all have ended.
func (t *Traffic) run(ctx context.Context) {
	for _, e := range t.pools {
		t.running.Go(func() { e.run(ctx) })
	}
	for i, k := range t.Kinds {
		for j, e := range t.pools {
			rng := rand.New(rand.NewPCG(t.seed, uint64(i*len(t.pools)+j+1)))
			t.running.Go(func() { t.generate(ctx, k, e, k.Rate/float64(len(t.pools)), rng) })
		}
	}
	t.running.Wait()
	for _, e := range t.pools {
		e.closeAll()
	}
}

// generate has requests of one kind and zone begin at random times.
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

// request is one request of a client, for which it sends one attempt or more.
type request struct {
	traffic        *Traffic
	kind           RequestKind
	pool           *clientPool
	number         int
	rng            *rand.Rand
	path           string
	body           string
	prompt         string
	tokens         string
	began          time.Time
	deadline       time.Time
	receivedEvents int // events that have come
	attempts       int
	firstAt        time.Duration
}

func (t *Traffic) newRequest(kind RequestKind, pool *clientPool, rng *rand.Rand) *request {
	r := &request{traffic: t, kind: kind, pool: pool, number: t.stats.begin(), rng: rand.New(rand.NewPCG(rng.Uint64(), 1)), firstAt: -1}
	r.path = kind.Route.Prefix + strconv.FormatUint(rng.Uint64()%1000, 16)
	r.body = strings.Repeat(fmt.Sprintf("request %d ", r.number), 1+kind.Bytes/16)
	if kind.Out > 0 {
		subject := 1 + rng.IntN(kind.Subjects)
		own := max(1, int(float64(kind.Own)*(0.5+rng.Float64())))
		r.prompt = fmt.Sprintf("%x:%d,%x:%d", xxhash.Sum64String(kind.Route.Name+strconv.Itoa(subject))>>16, kind.Shared,
			rng.Uint64()>>16, own)
		r.tokens = fmt.Sprintf("%d,%d", kind.Shared+own, kind.Out)
	}
	return r
}

// run sends attempts until there is a final answer.
func (r *request) run() {
	r.began = time.Now()
	r.deadline = r.began.Add(r.kind.Deadline)
	var attempt *rules.Attempt
	for retries := 0; ; retries++ {
		var after time.Duration
		if attempt, after = r.sendAttempt(); !r.shouldRetry(attempt, retries) {
			break
		}
		left := time.Until(r.deadline)
		if after = min(after, left/3); after > 0 {
			time.Sleep(after)
		}
	}
	r.traffic.stats.end(attempt, r.firstAt)
}

// shouldRetry reports whether the client retries.
func (r *request) shouldRetry(attempt *rules.Attempt, retries int) bool {
	if retries >= r.kind.Retries || time.Until(r.deadline) < 50*time.Millisecond {
		return false
	}
	resumable := r.kind.Route.Resumable && attempt.Stream
	repeatable := r.kind.Route.Category == "idempotent" || r.kind.Route.Resumable
	switch attempt.Outcome {
	case rules.Answered:
		switch attempt.Status {
		case 408, 421, 429, 503:
			return true
		case 400, 401, 404, 413, 431:
			return false
		}
		return attempt.Status >= 300 && repeatable
	case rules.Unreached, rules.ClosedUnread:
		return true
	case rules.Truncated, rules.TimedOut:
		return repeatable && (resumable || !attempt.Stream)
	}
	return false
}

// sendAttempt sends the request once. after is for how long the client is to wait before the next.
func (r *request) sendAttempt() (attempt *rules.Attempt, after time.Duration) {
	env := r.traffic.env
	r.attempts++
	attempt = &rules.Attempt{ID: fmt.Sprintf("%016x", r.rng.Uint64()), Request: r.number, Host: r.kind.Route.Host, Method: http.MethodPost,
		Path: r.path, Body: xxhash.Sum64String(r.body), Zone: r.pool.zone, Region: r.pool.region, From: r.receivedEvents, Sent: env.Now()}
	defer func() {
		attempt.Ended = env.Now()
		env.Evidence.RecordAttempt(attempt)
	}()
	conn := r.connect(attempt)
	if conn == nil {
		attempt.Outcome = rules.Unreached
		return attempt, 20 * time.Millisecond
	}
	attempt.Proxy = conn.address
	env.links.recordSender(attempt.ID, conn.address)
	remaining := time.Until(r.deadline)
	spec := &attemptSpec{attempt: attempt, body: r.body, chunked: r.rng.IntN(4) == 0, deadline: r.deadline, headers: [][2]string{
		{"X-Time-Left-Ms", strconv.FormatInt(max(1, remaining.Milliseconds()), 10)}},
		onFirst: func() {
			if r.firstAt < 0 {
				r.firstAt = time.Since(r.began)
			}
		}}
	if r.kind.Route.Category == "streaming" {
		spec.silenceTimeout = max(2*time.Second, 4*ms(r.kind.Route.Aim), 8*ms(r.kind.Route.GapAim))
	}
	if r.prompt != "" {
		spec.headers = append(spec.headers, [2]string{"X-Model", "m"}, [2]string{"X-Token-Count", r.tokens}, [2]string{"X-Prompt-Prefix", r.prompt})
	}
	if r.receivedEvents > 0 {
		spec.headers = append(spec.headers, [2]string{"Last-Event-Id", strconv.Itoa(r.receivedEvents)})
	}
	header, again := conn.exchange(spec, env.Now)
	for _, e := range attempt.Events {
		r.receivedEvents = max(r.receivedEvents, e.Last)
	}
	if again {
		r.pool.putIdle(conn)
	} else {
		_ = conn.tcp.Close()
		if attempt.Outcome != rules.Answered {
			r.pool.markFailed(conn.address)
		}
	}
	if seconds, err := strconv.ParseFloat(header.Get("Retry-After"), 64); err == nil && seconds > 0 {
		after = time.Duration(seconds * float64(time.Second))
	}
	return attempt, after
}

// connect gives an open connection or makes one; nil: none could be made. Every fifth request, and every later attempt, takes a new one.
func (r *request) connect(t *rules.Attempt) *clientConn {
	if r.rng.IntN(5) > 0 && r.attempts == 1 {
		if c := r.pool.takeIdle(); c != nil {
			return c
		}
	}
	address, ok := r.pool.pickAddress()
	if !ok {
		return nil
	}
	ctx, cancel := context.WithDeadline(context.Background(), r.deadline)
	defer cancel()
	c, err := dial(ctx, address)
	if err != nil {
		t.Proxy = address
		r.pool.markFailed(address)
		return nil
	}
	return c
}

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }
