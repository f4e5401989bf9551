package proxy

import (
	"net/http"
	"strings"
	"time"

	"gradeusher.example/gradeusher/internal/framing"
	"gradeusher.example/gradeusher/internal/system/config"
	"gradeusher.example/gradeusher/internal/system/proxy/pick"
)

const (
	// maxDeadlineMargin bounds how long before the end of its timeout a request fails.
	maxDeadlineMargin = 20 * time.Millisecond
	// deadlineMarginDivisor: the margin is 1/deadlineMarginDivisor of the request's timeout.
	deadlineMarginDivisor = 20
	// maxRequestTimeout bounds the wait for a response, regardless of what the client and the route allow.
	maxRequestTimeout = 10 * time.Minute
	// unreadBodyTimeout bounds how long net/http waits for the body of a request that is answered before its body was read.
	unreadBodyTimeout = time.Second
	// requestLineOverheadBytes and fieldOverheadBytes count the bytes of a head other than names and values: spaces, colons, line ends,
	// the version and the name of the Host field.
	requestLineOverheadBytes = 24
	fieldOverheadBytes       = 4
)

// clientConnKey is the key of a request's *framing.ClientConn in its context.
type clientConnKey struct{}

// ServeHTTP implements http.Handler: it reads one request of a client and answers it.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	proxied := newClientRequest(p, w, r)
	p.counters.Requests.Add(1)
	_ = proxied.controller.SetWriteDeadline(proxied.startedAt.Add(maxRequestTimeout)) // replaces that of the previous response
	_ = proxied.controller.SetReadDeadline(proxied.startedAt.Add(unreadBodyTimeout))
	config := p.config()
	if config == nil {
		p.counters.Refused.Add(1)
		w.Header().Set("Retry-After", formatRetryAfter(defaultRetryAfter))
		p.respond(w, proxied.attemptID, http.StatusServiceUnavailable)
		return
	}
	if status := proxied.matchRoute(config); status != 0 {
		p.counters.Rejected.Add(1)
		p.respond(w, proxied.attemptID, status)
		return
	}
	if err := proxied.authenticate(r.Context()); err != nil {
		proxied.rejectUnauthenticated(err)
		return
	}
	body := requestBody{memory: p.memory, maxBytes: config.Limits.MaxBodyBytes}
	defer body.release()
	_ = proxied.controller.SetReadDeadline(proxied.deadline)
	if err := body.read(r); err != nil {
		proxied.rejectBody(err)
		return
	}
	_ = proxied.controller.SetReadDeadline(time.Time{}) // from now on, a failed read means that the client has disconnected
	proxied.body = body.bytes
	proxied.describeToPicker()
	if proxied.admitOrReject(r.Context()) {
		proxied.run(r.Context())
	}
}

// newClientRequest returns the clientRequest for a request whose head has been read.
func newClientRequest(p *Proxy, w http.ResponseWriter, r *http.Request) *clientRequest {
	conn, _ := r.Context().Value(clientConnKey{}).(*framing.ClientConn)
	return &clientRequest{
		proxy:       p,
		writer:      w,
		request:     r,
		controller:  http.NewResponseController(w),
		conn:        conn,
		attemptID:   r.Header.Get(headerAttemptID),
		lastEventID: r.Header.Get(headerLastEventID),
		startedAt:   time.Now(),
	}
}

// matchRoute determines the route and the deadline of the request. If the request has to be rejected because of its head, matchRoute
// returns the status to answer with, otherwise 0.
func (c *clientRequest) matchRoute(config *config.Config) (status int) {
	target, path := targetOf(c.request)
	route, by := c.proxy.picker.Route(c.request.Host, path)
	if status := checkHead(config.Limits, c.request, route, target); status != 0 {
		return status
	}
	c.target, c.route, c.identity.config = target, route, by
	timeout := min(route.Timeout, maxRequestTimeout)
	if clientTimeout, ok := parseMilliseconds(c.request.Header.Get(headerTimeLeft)); ok {
		timeout = min(timeout, clientTimeout)
	}
	margin := min(timeout/deadlineMarginDivisor, maxDeadlineMargin)
	c.deadline = c.startedAt.Add(timeout - margin)
	return 0
}

// describeToPicker builds the pick.Request and records it in the picker.
func (c *clientRequest) describeToPicker() {
	header := c.request.Header
	tokensIn, tokensOut := parseTokenCount(header.Get(headerTokenCount))
	c.pickRequest = pick.Request{
		Route:        c.route,
		Tenant:       c.identity.tenant,
		Model:        header.Get(headerModel),
		TokensIn:     tokensIn,
		MaxTokensOut: tokensOut,
		Prefix:       parsePromptParts(header.Get(headerPromptPrefix)),
		TimeLeft:     time.Until(c.deadline),
		Age:          time.Since(c.startedAt),
	}
	c.proxy.picker.RecordRequest(&c.pickRequest)
}

// targetOf returns the request target as it is sent to a server, in origin form (RFC 9112, section 3.2.1), and its path. Both are
// empty if the request has no path.
func targetOf(r *http.Request) (target, path string) {
	target = r.RequestURI
	if !strings.HasPrefix(target, "/") { // absolute form, or no path at all
		target = ""
		if strings.HasPrefix(r.URL.EscapedPath(), "/") {
			target = r.URL.RequestURI()
		}
	}
	path, _, _ = strings.Cut(target, "?")
	return target, path
}

// checkHead returns the status with which a request is rejected because of its head, or 0 if it is accepted.
func checkHead(limits config.Limits, r *http.Request, route *config.Route, target string) int {
	attemptIDs := r.Header[headerAttemptID]
	switch {
	case limits.MaxHeaderBytes > 0 && headBytes(r) > limits.MaxHeaderBytes:
		return http.StatusRequestHeaderFieldsTooLarge
	case route == nil || target == "":
		return http.StatusNotFound
	case len(attemptIDs) != 1 || attemptIDs[0] == "":
		return http.StatusBadRequest
	case limits.MaxBodyBytes > 0 && r.ContentLength > limits.MaxBodyBytes:
		return http.StatusRequestEntityTooLarge
	}
	return 0
}

// headBytes returns the size of a request's head as received, disregarding variations in how its lines are written.
func headBytes(r *http.Request) int64 {
	size := len(r.Method) + len(r.RequestURI) + len(r.Host) + requestLineOverheadBytes
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + fieldOverheadBytes
		}
	}
	return int64(size)
}
