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
	maxHeldBytes   = 64 << 10              // bytes of a request's or an answer's body
	maxHeaderBytes = 16 << 10              // bytes of a request's or an answer's header
	maxHeadBytes   = maxHeaderBytes + 4096 // bytes of a head that are looked at: what http.Server reads before it gives up
	idlePerSockets = 64                    // one idle connection to each server for so many descriptors
	// A machine that vanishes is not back within minOutage: a connection that idled less has not outlived one.
	minOutage          = 50 * time.Millisecond
	answerDrainTimeout = 50 * time.Millisecond // the body must come of an answer that has said all in its header
)

// message is a client's request as servers get it.
type message struct {
	method      string
	url         *url.URL // path and query
	id          string
	key         string // Idempotency-Key, "" for none
	contentType string // Content-Type
	body        []byte
	rest        *upload       // what follows body, as it comes; nil: nothing
	length      int64         // of both, where there is a rest; -1: not known
	timeout     time.Duration // for the answer, from when all of the body has come

	relayed *atomic.Int64 // counts the attempts written whole; nil: nobody counts
}

// reply is how an attempt ended. body and ctype are those of a Served one.
type reply struct {
	outcome         balance.Outcome
	requestRejected bool // the server found fault with the request, not with itself
	body            []byte
	contentType     string
}

// upstream holds the connections to the servers. Each server has a pool of its own, so that it can be dropped alone.
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
	boot     time.Time
	pool     *http.Transport
	answered atomic.Int64 // when an answer last came, in nanoseconds of Unix time
}

func newUpstream(connect, idleClose time.Duration, sockets int, n *counts, room *byteBudget) *upstream {
	// Danger: a server closes a connection that has idled too long, and what crosses that close is a reset that may
	// have run. Half the server's time keeps well clear of it.
	return &upstream{connect: connect, idle: idleClose / 2, maxIdle: max(sockets/idlePerSockets, 2),
		minOutage: minOutage, counts: n, budget: room, targets: map[string]*target{}}
}

// update takes in a list: where each server listens now.
func (u *upstream) update(list List) {
	u.mu.Lock()
	defer u.mu.Unlock()
	listed := map[string]bool{}
	for _, e := range list.Targets {
		listed[e.ID] = e.State != balance.Removed
		old := u.targets[e.ID]
		// Danger: idle connections to a former process or address swallow the next requests.
		if old != nil && (!listed[e.ID] || old.address != e.Address || !old.boot.Equal(e.Boot)) {
			u.drop(e.ID)
			old = nil
		}
		if old == nil && listed[e.ID] {
			u.targets[e.ID] = &target{address: e.Address, boot: e.Boot, pool: u.pool()}
		}
	}
	for id := range u.targets {
		if list.Complete && !listed[id] {
			u.drop(id)
		}
	}
}

// boot is when a server's listed process started, zero if that is not known, and whether it is listed.
func (u *upstream) boot(id string) (time.Time, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if t := u.targets[id]; t != nil {
		return t.boot, true
	}
	return time.Time{}, false
}

// drop forgets a server. Attempts that are out keep their connections to their end.
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

// attempt sends m to a server and waits for the end, until ctx is done. It sends it at most once.
// An answer that is not held until its end is handed to begin, and the attempt ends with it.
func (u *upstream) attempt(ctx context.Context, id string, m *message, begin func(*answerStream)) reply {
	u.mu.Lock()
	to := u.targets[id]
	u.mu.Unlock()
	if to == nil || ctx.Err() != nil {
		return reply{outcome: balance.NotSent}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var conn *framing.ServerConn
	var before int64
	began := time.Now()
	fresh := true // whether the connection has just been used, or opened
	req := m.request(to.address)
	req = req.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			u.counts.connected(info.Reused, time.Since(began))
			fresh = info.IdleTime < u.minOutage
			if conn, _ = info.Conn.(*framing.ServerConn); conn != nil {
				before, _ = conn.Meter()
				bound := time.Duration(0)
				if m.rest != nil { // a long body, which is not held
					bound = stallTimeout
				}
				conn.BoundWrites(bound)
			}
			// Said only now: the wait for a connection is the client's time too.
			wait := m.timeout
			if end, ok := ctx.Deadline(); ok {
				wait = time.Until(end)
			}
			if wait != 0 {
				req.Header.Set("X-Timeout-Ms", strconv.FormatInt(max(wait.Milliseconds(), 1), 10))
			}
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			if info.Err == nil && m.relayed != nil {
				m.relayed.Add(1)
			}
		},
	}))
	resp, err := to.pool.RoundTrip(req)
	if err == nil {
		var r reply
		if r, err = u.read(resp, begin, func() { cancel(nil) }); err == nil {
			to.answered.Store(time.Now().UnixNano())
			return r
		}
	}
	ran := false // whether it may have
	if conn != nil {
		// Closed first, so that what is counted after it is all that was or will be written.
		_ = conn.Close()
		written, short := conn.Meter()
		ran = resp != nil || written > before && !short && (m.rest == nil || m.rest.isComplete())
	}
	var outcome balance.Outcome
	switch cause := context.Cause(ctx); {
	case !ran && m.rest != nil && m.rest.hasFailed():
		outcome = balance.NotSent // the client's fault, not the server's
	case errors.Is(cause, context.Canceled) && ran:
		outcome = balance.Cancelled
	case errors.Is(cause, context.Canceled):
		outcome = balance.NotSent
	case !ran:
		outcome = balance.ConnectFailed
	case cause != nil:
		outcome = balance.TimedOut
	default:
		outcome = balance.Reset
	}
	broken := outcome == balance.Reset && (fresh || resp != nil)
	alive := broken || to.answered.Load() > began.UnixNano()
	if outcome != balance.Cancelled && outcome != balance.NotSent && !alive {
		// Danger: when a machine vanishes, its idle connections stay open and swallow requests that may then never
		// be repeated. A new connection fails before anything is sent. But where it is just one connection that
		// breaks or falls silent, the others are sound, and new ones would cost the server work.
		to.pool.CloseIdleConnections()
	}
	return reply{outcome: outcome}
}

// request makes the HTTP request of one attempt. Danger: http.Transport by itself sends again what it takes for safe
// to repeat, when a reused connection breaks: an attempt nobody ordered. It never does that to a request that has a
// body and no GetBody, so even an empty body is given as one.
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
		req.TransferEncoding = []string{"identity"} // no framing for what is not there
	}
	return req
}

// read takes an answer in, or passes it to begin and returns when it has ended; stop ends the attempt. It fails if a 200
// does not come whole; other answers have said all in their header.
func (u *upstream) read(resp *http.Response, begin func(*answerStream), stop func()) (reply, error) {
	if resp.StatusCode == http.StatusOK {
		f := newAnswerStream(resp.ContentLength, resp.Header.Get("Content-Type"), u.budget, begin)
		f.stop = stop
		body, err := f.receive(resp.Body)
		if closed := resp.Body.Close(); err == nil {
			err = closed
		}
		if errors.Is(err, errTooLong) {
			return reply{outcome: balance.Errored}, nil
		}
		return reply{outcome: balance.Served, body: body, contentType: f.contentType}, err
	}
	// Danger: a body that never ends, or another protocol's bytes, would keep what the header says from the client.
	// A short one is worth the wait, as its connection can then be used again.
	enough := time.AfterFunc(answerDrainTimeout, func() { _ = resp.Body.Close() })
	defer enough.Stop()
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxHeldBytes))
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
