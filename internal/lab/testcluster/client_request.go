package testcluster

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"gradeusher.example/gradeusher/internal/lab/testcluster/rules"
)

const (
	connectBackoff   = 20 * time.Millisecond // after an attempt that reached no proxy
	minRetryTime     = 50 * time.Millisecond // that must be left for a retry
	minStreamTimeout = 2 * time.Second       // without a byte of a stream
	pathsPerRoute    = 1000                  // for which clients ask
)

// request is one request of a client, for which it sends one attempt or more.
type request struct {
	traffic        *Traffic
	kind           RequestKind
	pool           *clientPool
	number         int
	rng            *rand.Rand
	path           string
	body           string
	prompt         string // X-Prompt-Prefix; empty: the request has no prompt
	tokens         string // X-Token-Count
	caller         Caller
	began          time.Time
	deadline       time.Time
	receivedEvents int // number of the last event that has come
	attempts       int
	firstAt        time.Duration // from began to the first token or answer; negative: none has come
}

// newRequest counts a request, and draws its path, prompt and size.
func (t *Traffic) newRequest(kind RequestKind, pool *clientPool, rng *rand.Rand) *request {
	r := &request{traffic: t, kind: kind, pool: pool, number: t.stats.begin(), rng: rand.New(rand.NewPCG(rng.Uint64(), 1)), firstAt: -1}
	r.path = kind.Route.Prefix + strconv.FormatUint(rng.Uint64()%pathsPerRoute, 16)
	r.body = strings.Repeat(fmt.Sprintf("request %d ", r.number), 1+kind.BodyBytes/16)
	r.caller = drawCaller(kind.Callers, rng)
	if kind.AnswerTokens > 0 {
		prefix := 1 + rng.IntN(kind.Prefixes)
		own := max(1, int(float64(kind.OwnTokens)*(0.5+rng.Float64())))
		r.prompt = fmt.Sprintf("%x:%d,%x:%d", xxhash.Sum64String(kind.Route.Name+strconv.Itoa(prefix))>>16, kind.PrefixTokens,
			rng.Uint64()>>16, own)
		r.tokens = fmt.Sprintf("%d,%d", kind.PrefixTokens+own, kind.AnswerTokens)
	}
	return r
}

// run sends attempts until there is a final answer.
func (r *request) run() {
	r.began = time.Now()
	r.deadline = r.began.Add(r.kind.Deadline)
	var attempt *rules.Attempt
	for retries := 0; ; retries++ {
		var backoff time.Duration
		if attempt, backoff = r.sendAttempt(); !r.shouldRetry(attempt, retries) {
			break
		}
		left := time.Until(r.deadline)
		if backoff = min(backoff, left/3); backoff > 0 {
			time.Sleep(backoff)
		}
	}
	r.traffic.stats.end(attempt, r.firstAt)
}

// shouldRetry reports whether the client sends the request again after an attempt.
func (r *request) shouldRetry(attempt *rules.Attempt, retries int) bool {
	if retries >= r.kind.Retries || time.Until(r.deadline) < minRetryTime {
		return false
	}
	resumable := r.kind.Route.Resumable && attempt.Stream
	idempotent := r.kind.Route.Category == "idempotent" || r.kind.Route.Resumable
	switch attempt.Outcome {
	case rules.Answered:
		return retryStatus(attempt.Status, idempotent)
	case rules.Unreached, rules.ClosedUnread:
		return true
	case rules.Truncated, rules.TimedOut:
		return idempotent && (resumable || !attempt.Stream)
	}
	return false
}

// retryStatus reports whether the client sends a request again after an answer with the status.
func retryStatus(status int, idempotent bool) bool {
	if rules.IsNotExecutedStatus(status) {
		return true
	}
	switch status {
	case http.StatusBadRequest, http.StatusUnauthorized, http.StatusNotFound, http.StatusRequestEntityTooLarge, http.StatusRequestHeaderFieldsTooLarge:
		return false
	}
	return status >= 300 && idempotent
}

// sendAttempt sends the request once. backoff is for how long the client is to wait before a retry.
func (r *request) sendAttempt() (attempt *rules.Attempt, backoff time.Duration) {
	env := r.traffic.env
	r.attempts++
	attempt = &rules.Attempt{ID: fmt.Sprintf("%016x", r.rng.Uint64()), Request: r.number, Host: r.kind.Route.Host, Method: http.MethodPost,
		Path: r.path, Body: xxhash.Sum64String(r.body), Zone: r.pool.zone, Region: r.pool.region, Key: r.caller.Key, From: r.receivedEvents,
		Sent: env.Now(), Deadline: env.at(r.deadline)}
	defer func() {
		attempt.Ended = env.Now()
		env.Evidence.RecordAttempt(attempt)
	}()
	conn := r.connect(attempt)
	if conn == nil {
		attempt.Outcome = rules.Unreached
		return attempt, connectBackoff
	}
	attempt.Proxy = conn.address
	env.links.recordSender(attempt.ID, conn.address)
	header, reusable := conn.exchange(r.attemptSpec(attempt), env.Now)
	for _, e := range attempt.Events {
		r.receivedEvents = max(r.receivedEvents, e.Last)
	}
	r.release(conn, reusable, attempt.Outcome)
	if seconds, err := strconv.ParseFloat(header.Get("Retry-After"), 64); err == nil && seconds > 0 {
		backoff = time.Duration(seconds * float64(time.Second))
	}
	return attempt, backoff
}

// attemptSpec returns what is to be sent for an attempt.
func (r *request) attemptSpec(attempt *rules.Attempt) *attemptSpec {
	remaining := time.Until(r.deadline)
	spec := &attemptSpec{attempt: attempt, body: r.body, chunked: r.rng.IntN(4) == 0, deadline: r.deadline, onFirst: r.recordFirst}
	spec.headers = []headerField{{"X-Time-Left-Ms", strconv.FormatInt(max(1, remaining.Milliseconds()), 10)}}
	spec.headers = append(spec.headers, r.caller.headers()...)
	if r.kind.Route.Category == "streaming" {
		spec.readTimeout = max(minStreamTimeout, 4*ms(r.kind.Route.Aim), 8*ms(r.kind.Route.GapAim))
	}
	if r.prompt != "" {
		spec.headers = append(spec.headers, headerField{"X-Model", "m"}, headerField{"X-Token-Count", r.tokens}, headerField{"X-Prompt-Prefix", r.prompt})
	}
	if r.receivedEvents > 0 {
		spec.headers = append(spec.headers, headerField{"Last-Event-Id", strconv.Itoa(r.receivedEvents)})
	}
	return spec
}

// recordFirst records that the first token or answer has come.
func (r *request) recordFirst() {
	if r.firstAt < 0 {
		r.firstAt = time.Since(r.began)
	}
}

// release keeps a connection for later requests if it is reusable, and closes it otherwise.
func (r *request) release(conn *clientConn, reusable bool, outcome rules.Outcome) {
	if reusable {
		r.pool.putIdle(conn)
		return
	}
	_ = conn.tcp.Close()
	if outcome != rules.Answered {
		r.pool.markFailed(conn.address)
	}
}

// connect returns an idle connection or dials one, and nil if it cannot. One request in five, on average, and every retry dial. It records in
// the attempt the proxy that cannot be reached.
func (r *request) connect(attempt *rules.Attempt) *clientConn {
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
		attempt.Proxy = address
		r.pool.markFailed(address)
		return nil
	}
	return c
}

// ms returns so many milliseconds.
func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }
