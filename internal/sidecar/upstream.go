package sidecar

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"gradeusher.example/gradeusher/balance"
	"gradeusher.example/gradeusher/internal/framing"
)

const (
	maxBufferedBytes = 64 << 10              // bytes of a request's or an answer's body that are buffered
	maxHeaderBytes   = 16 << 10              // size of a request's or an answer's header
	maxHeadBytes     = maxHeaderBytes + 4096 // bytes of a head that are inspected: what http.Server reads before it gives up
	idlePerSockets   = 64                    // descriptors for each idle connection that is kept to a server
	// A machine that vanishes is not back within minOutage, so a connection that was idle for less has not survived an outage.
	minOutage          = 50 * time.Millisecond
	answerDrainTimeout = 50 * time.Millisecond // for reading the body of an answer whose header is sufficient
)

// message is a client's request as it is sent to servers.
type message struct {
	method      string
	url         *url.URL // path and query
	id          string
	key         string // Idempotency-Key; "": none
	contentType string // Content-Type
	body        []byte
	rest        *upload       // the part that follows body, as it arrives; nil: none
	length      int64         // of body and rest together, if there is a rest; -1: not known
	timeout     time.Duration // for the answer, from when all of the body has arrived

	relayed *atomic.Int64 // counts the attempts written completely; nil: not counted
}

// reply is the result of an attempt. body and contentType are set if the outcome is Served.
type reply struct {
	outcome         balance.Outcome
	requestRejected bool // the server rejected the request itself, so the answer is no sign of a fault of the server
	body            []byte
	contentType     string
}

// upstream holds the connections to the servers. Each server has a connection pool of its own, so that it can be dropped alone.
type upstream struct {
	connect   time.Duration
	idle      time.Duration
	maxIdle   int
	minOutage time.Duration
	counts    *counts
	budget    *byteBudget

	mu      sync.Mutex
	targets map[string]*target
}

type target struct {
	address  string
	started  time.Time
	pool     *http.Transport
	answered atomic.Int64 // when the last answer arrived, in nanoseconds of Unix time
}

func newUpstream(connect, idleClose time.Duration, sockets int, n *counts, budget *byteBudget) *upstream {
	// A server closes a connection that was idle too long. A request that crosses this close on its way is answered
	// by a reset, and may have run. Closing after half of the server's idle timeout keeps well clear of that.
	return &upstream{connect: connect, idle: idleClose / 2, maxIdle: max(sockets/idlePerSockets, 2),
		minOutage: minOutage, counts: n, budget: budget, targets: map[string]*target{}}
}

// update applies a list of servers and their addresses.
func (u *upstream) update(list List) {
	u.mu.Lock()
	defer u.mu.Unlock()
	listed := map[string]bool{}
	for _, e := range list.Targets {
		listed[e.ID] = e.State != balance.Removed
		old := u.targets[e.ID]
		// Idle connections to a former process or address would swallow the next requests.
		if old != nil && (!listed[e.ID] || old.address != e.Address || !old.started.Equal(e.Started)) {
			u.drop(e.ID)
			old = nil
		}
		if old == nil && listed[e.ID] {
			u.targets[e.ID] = &target{address: e.Address, started: e.Started, pool: u.pool()}
		}
	}
	for id := range u.targets {
		if list.Complete && !listed[id] {
			u.drop(id)
		}
	}
}

// startOf returns when a server's listed process started, zero if that is not known, and whether the server is listed.
func (u *upstream) startOf(id string) (time.Time, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if t := u.targets[id]; t != nil {
		return t.started, true
	}
	return time.Time{}, false
}

// drop removes a server. Attempts in flight keep their connections until they end.
func (u *upstream) drop(id string) {
	u.targets[id].pool.CloseIdleConnections()
	delete(u.targets, id)
}

func (u *upstream) pool() *http.Transport {
	dialer := &net.Dialer{Timeout: u.connect, KeepAlive: -1}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			u.counts.dials.Add(1)
			c, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return framing.NewServerConn(c, maxHeadBytes), nil
		},
		DisableCompression:     true,
		MaxIdleConnsPerHost:    u.maxIdle,
		IdleConnTimeout:        u.idle,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}

// attempt sends m to a server, at most once, and waits for the attempt's end, until ctx is done. An
// answer that is not buffered to its end is passed to begin, and the attempt ends with it.
func (u *upstream) attempt(ctx context.Context, id string, m *message, begin func(*answerStream)) reply {
	u.mu.Lock()
	to := u.targets[id]
	u.mu.Unlock()
	if to == nil || ctx.Err() != nil {
		return reply{outcome: balance.NotSent}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	x := &exchange{upstream: u, target: to, message: m, startedAt: time.Now(), isFresh: true}
	resp, err := x.roundTrip(ctx)
	if err == nil {
		var r reply
		if r, err = u.read(resp, begin, func() { cancel(nil) }); err == nil {
			to.answered.Store(time.Now().UnixNano())
			return r
		}
	}
	hasAnswer := resp != nil
	outcome := x.outcome(context.Cause(ctx), x.mayHaveRun(hasAnswer))
	x.dropIdle(outcome, hasAnswer)
	return reply{outcome: outcome}
}

// exchange is one attempt and its connection.
type exchange struct {
	upstream  *upstream
	target    *target
	message   *message
	startedAt time.Time

	conn          *framing.ServerConn // nil: the attempt got no connection
	writtenBefore int64               // bytes written to conn by earlier attempts
	isFresh       bool                // the connection was used or opened only just before
}

// roundTrip sends the request and returns the head of its answer.
func (x *exchange) roundTrip(ctx context.Context) (*http.Response, error) {
	req := x.message.request(x.target.address)
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			x.connected(info)
			x.setTimeout(ctx, req.Header)
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			if info.Err == nil && x.message.relayed != nil {
				x.message.relayed.Add(1)
			}
		},
	}
	return x.target.pool.RoundTrip(req.WithContext(httptrace.WithClientTrace(ctx, trace)))
}

// connected records the connection that the attempt has got.
func (x *exchange) connected(info httptrace.GotConnInfo) {
	x.upstream.counts.connected(info.Reused, time.Since(x.startedAt))
	x.isFresh = info.IdleTime < x.upstream.minOutage
	x.conn, _ = info.Conn.(*framing.ServerConn)
	if x.conn == nil {
		return
	}
	x.writtenBefore, _ = x.conn.Written()
	writeTimeout := time.Duration(0)
	if x.message.rest != nil { // a long body, which is not buffered
		writeTimeout = stallTimeout
	}
	x.conn.SetWriteTimeout(writeTimeout)
}

// setTimeout sets the header that states how long the client waits. It is called once there is a
// connection, because the wait for one uses up the client's time too.
func (x *exchange) setTimeout(ctx context.Context, header http.Header) {
	timeout := x.message.timeout
	if end, ok := ctx.Deadline(); ok {
		timeout = time.Until(end)
	}
	if timeout != 0 {
		header.Set("X-Timeout-Ms", strconv.FormatInt(max(timeout.Milliseconds(), 1), 10))
	}
}

// mayHaveRun closes the connection of a failed attempt, and reports whether the server may have run
// the request. It closes the connection first, so that the count of written bytes is final.
func (x *exchange) mayHaveRun(hasAnswer bool) bool {
	if x.conn == nil {
		return false
	}
	_ = x.conn.Close()
	written, short := x.conn.Written()
	if hasAnswer {
		return true
	}
	bodySent := x.message.rest == nil || x.message.rest.isComplete()
	return written > x.writtenBefore && !short && bodySent
}

// outcome returns the outcome of a failed attempt. cause is why its context ended, nil if it did not.
func (x *exchange) outcome(cause error, mayHaveRun bool) balance.Outcome {
	isCanceled := errors.Is(cause, context.Canceled)
	switch {
	case !mayHaveRun && x.message.rest != nil && x.message.rest.hasFailed():
		return balance.NotSent // the client's fault, not the server's
	case isCanceled && mayHaveRun:
		return balance.Cancelled
	case isCanceled:
		return balance.NotSent
	case !mayHaveRun:
		return balance.ConnectFailed
	case cause != nil:
		return balance.TimedOut
	}
	return balance.Reset
}

// dropIdle closes the idle connections to a server that may have vanished. They would stay open and swallow
// requests, which might then never be retried, while a new connection fails before anything is sent. If only
// one connection breaks or times out, the others are healthy, and replacing them would cost the server work.
func (x *exchange) dropIdle(outcome balance.Outcome, hasAnswer bool) {
	if outcome == balance.Cancelled || outcome == balance.NotSent {
		return
	}
	brokeAlone := outcome == balance.Reset && (x.isFresh || hasAnswer)
	answeredSince := x.target.answered.Load() > x.startedAt.UnixNano()
	if !brokeAlone && !answeredSince {
		x.target.pool.CloseIdleConnections()
	}
}

// request returns the HTTP request of one attempt. When a reused connection breaks, http.Transport resends
// requests that it considers safe to retry, which would be an attempt that the Balancer did not ask for. It
// never resends a request that has a body but no GetBody, so even an empty body is passed as one.
func (m *message) request(address string) *http.Request {
	header := http.Header{"X-Request-Id": {m.id}, "User-Agent": nil}
	if m.key != "" {
		header.Set("Idempotency-Key", m.key)
	}
	if m.contentType != "" {
		header.Set("Content-Type", m.contentType)
	}
	to := *m.url
	to.Scheme, to.Host = "http", address
	req := &http.Request{Method: m.method, URL: &to, Host: address, Header: header, Proto: "HTTP/1.1", ProtoMajor: 1,
		ProtoMinor: 1, Body: io.NopCloser(bytes.NewReader(m.body)), ContentLength: int64(len(m.body))}
	if m.rest != nil {
		req.Body, req.ContentLength = io.NopCloser(io.MultiReader(bytes.NewReader(m.body), m.rest)), m.length
	} else if len(m.body) == 0 {
		req.TransferEncoding = []string{"identity"} // sends no framing for the empty body
	}
	return req
}

// read receives an answer, or passes it to begin and returns when it has ended; stop ends the
// attempt. It fails if a 200 is not complete; the header of any other answer is sufficient.
func (u *upstream) read(resp *http.Response, begin func(*answerStream), stop func()) (reply, error) {
	if resp.StatusCode == http.StatusOK {
		f := newAnswerStream(resp.ContentLength, resp.Header.Get("Content-Type"), u.budget, begin)
		f.stop = stop
		body, err := f.receive(resp.Body)
		if closed := resp.Body.Close(); err == nil {
			err = closed
		}
		if errors.Is(err, errAnswerTooLong) {
			return reply{outcome: balance.Errored}, nil
		}
		return reply{outcome: balance.Served, body: body, contentType: f.contentType}, err
	}
	// A body that never ends, or bytes of another protocol, must not delay the answer to the client, for which
	// the header is sufficient. A short body is worth the wait, because its connection can then be reused.
	drainTimer := time.AfterFunc(answerDrainTimeout, func() { _ = resp.Body.Close() })
	defer drainTimer.Stop()
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxBufferedBytes))
	_ = resp.Body.Close()
	switch status := resp.StatusCode; {
	case (status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout) &&
		resp.Header.Get("X-Not-Processed") == "1":
		return reply{outcome: balance.Saturated}, nil
	case status >= 400 && status < 500 && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests:
		return reply{outcome: balance.Errored, requestRejected: true}, nil
	}
	return reply{outcome: balance.Errored}, nil
}
