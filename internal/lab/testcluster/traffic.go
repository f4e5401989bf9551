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

// Kind is a kind of request that clients send.
type Kind struct {
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
	Kinds   []Kind
	entries []*entry
	w       *Environment
	seed    uint64
	figures *figures
	wait    sync.WaitGroup
}

// run sends requests until ctx ends, and returns once all have ended.
func (t *Traffic) run(ctx context.Context) {
	for _, e := range t.entries {
		t.wait.Go(func() { e.run(ctx) })
	}
	for i, k := range t.Kinds {
		for j, e := range t.entries {
			rng := rand.New(rand.NewPCG(t.seed, uint64(i*len(t.entries)+j+1)))
			t.wait.Go(func() { t.send(ctx, k, e, k.Rate/float64(len(t.entries)), rng) })
		}
	}
	t.wait.Wait()
	for _, e := range t.entries {
		e.end()
	}
}

// send has requests of one kind and zone begin at random times.
func (t *Traffic) send(ctx context.Context, k Kind, e *entry, rate float64, rng *rand.Rand) {
	select {
	case <-e.answered:
	case <-ctx.Done():
		return
	}
	if rate <= 0 {
		return
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	next := t.w.Now()
	for {
		next += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		timer.Reset(max(0, next-t.w.Now()))
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		r := t.draw(k, e, rng)
		t.wait.Go(r.play)
	}
}

// request is one wish of a client, for which it sends one try or more.
type request struct {
	t        *Traffic
	k        Kind
	e        *entry
	number   int
	rng      *rand.Rand
	path     string
	body     string
	prompt   string
	tokens   string
	began    time.Time
	deadline time.Time
	had      int // events that have come
	tries    int
	firstAt  time.Duration
}

func (t *Traffic) draw(k Kind, e *entry, rng *rand.Rand) *request {
	r := &request{t: t, k: k, e: e, number: t.figures.begin(), rng: rand.New(rand.NewPCG(rng.Uint64(), 1)), firstAt: -1}
	r.path = k.Route.Prefix + strconv.FormatUint(rng.Uint64()%1000, 16)
	r.body = strings.Repeat(fmt.Sprintf("request %d ", r.number), 1+k.Bytes/16)
	if k.Out > 0 {
		subject := 1 + rng.IntN(k.Subjects)
		own := max(1, int(float64(k.Own)*(0.5+rng.Float64())))
		r.prompt = fmt.Sprintf("%x:%d,%x:%d", xxhash.Sum64String(k.Route.Name+strconv.Itoa(subject))>>16, k.Shared,
			rng.Uint64()>>16, own)
		r.tokens = fmt.Sprintf("%d,%d", k.Shared+own, k.Out)
	}
	return r
}

// play sends tries until there is a final answer.
func (r *request) play() {
	r.began = time.Now()
	r.deadline = r.began.Add(r.k.Deadline)
	var t *rules.Try
	for n := 0; ; n++ {
		var after time.Duration
		if t, after = r.try(); !r.again(t, n) {
			break
		}
		left := time.Until(r.deadline)
		if after = min(after, left/3); after > 0 {
			time.Sleep(after)
		}
	}
	r.t.figures.end(t, r.firstAt)
}

// again tells whether the client tries once more.
func (r *request) again(t *rules.Try, n int) bool {
	if n >= r.k.Retries || time.Until(r.deadline) < 50*time.Millisecond {
		return false
	}
	resumable := r.k.Route.Resumable && t.Stream
	repeatable := r.k.Route.Category == "idempotent" || r.k.Route.Resumable
	switch t.Outcome {
	case rules.Answered:
		switch t.Status {
		case 408, 421, 429, 503:
			return true
		case 400, 401, 404, 413, 431:
			return false
		}
		return t.Status >= 300 && repeatable
	case rules.Unreached, rules.Unread:
		return true
	case rules.Cut, rules.GivenUp:
		return repeatable && (resumable || !t.Stream)
	}
	return false
}

// try sends the request once. after is for how long the client is to wait before the next.
func (r *request) try() (t *rules.Try, after time.Duration) {
	w := r.t.w
	r.tries++
	t = &rules.Try{ID: fmt.Sprintf("%016x", r.rng.Uint64()), Request: r.number, Host: r.k.Route.Host, Method: http.MethodPost,
		Path: r.path, Body: xxhash.Sum64String(r.body), Zone: r.e.zone, Region: r.e.region, From: r.had, Sent: w.Now()}
	defer func() {
		t.Ended = w.Now()
		w.Evidence.Try(t)
	}()
	c := r.connect(t)
	if c == nil {
		t.Outcome = rules.Unreached
		return t, 20 * time.Millisecond
	}
	t.Proxy = c.address
	w.links.sent(t.ID, c.address)
	left := time.Until(r.deadline)
	s := &send{try: t, body: r.body, chunked: r.rng.IntN(4) == 0, deadline: r.deadline, headers: [][2]string{
		{"X-Time-Left-Ms", strconv.FormatInt(max(1, left.Milliseconds()), 10)}},
		first: func() {
			if r.firstAt < 0 {
				r.firstAt = time.Since(r.began)
			}
		}}
	if r.k.Route.Category == "streaming" {
		s.patience = max(2*time.Second, 4*ms(r.k.Route.Aim), 8*ms(r.k.Route.GapAim))
	}
	if r.prompt != "" {
		s.headers = append(s.headers, [2]string{"X-Model", "m"}, [2]string{"X-Token-Count", r.tokens}, [2]string{"X-Prompt-Prefix", r.prompt})
	}
	if r.had > 0 {
		s.headers = append(s.headers, [2]string{"Last-Event-Id", strconv.Itoa(r.had)})
	}
	header, again := c.exchange(s, w.Now)
	for _, e := range t.Events {
		r.had = max(r.had, e.Last)
	}
	if again {
		r.e.put(c)
	} else {
		_ = c.tcp.Close()
		if t.Outcome != rules.Answered {
			r.e.fail(c.address)
		}
	}
	if seconds, err := strconv.ParseFloat(header.Get("Retry-After"), 64); err == nil && seconds > 0 {
		after = time.Duration(seconds * float64(time.Second))
	}
	return t, after
}

// connect gives an open connection or makes one; nil: none came up. Every fifth request, and every later try, takes a new one.
func (r *request) connect(t *rules.Try) *conn {
	if r.rng.IntN(5) > 0 && r.tries == 1 {
		if c := r.e.kept(); c != nil {
			return c
		}
	}
	address, ok := r.e.pick()
	if !ok {
		return nil
	}
	ctx, cancel := context.WithDeadline(context.Background(), r.deadline)
	defer cancel()
	c, err := dial(ctx, address)
	if err != nil {
		t.Proxy = address
		r.e.fail(address)
		return nil
	}
	return c
}

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }
