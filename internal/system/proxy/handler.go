package proxy

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"gradeusher.example/gradeusher/internal/framing"
	"gradeusher.example/gradeusher/internal/system/config"
	"gradeusher.example/gradeusher/internal/system/proxy/pick"
)

const (
	maxDeadlineMargin = 20 * time.Millisecond // before its client's limit a request is given up, at the most
	maxRequestTimeout = 10 * time.Minute      // for an answer, whatever is asked
	unreadBodyTimeout = time.Second           // a refused request's body is waited for
)

type clientConnKey struct{} // of a request's *framing.ClientConn in its context

// ServeHTTP implements http.Handler.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	startedAt := time.Now()
	p.counters.Requests.Add(1)
	controller := http.NewResponseController(w)
	_ = controller.SetWriteDeadline(startedAt.Add(maxRequestTimeout)) // not that of the answer before
	conn, _ := r.Context().Value(clientConnKey{}).(*framing.ClientConn)
	id := r.Header.Get(headerAttemptID)
	config := p.config()
	_ = controller.SetReadDeadline(startedAt.Add(unreadBodyTimeout)) // where no body is read, net/http waits for it before it answers
	if config == nil {
		p.counters.Refused.Add(1)
		w.Header().Set("Retry-After", formatRetryAfter(defaultRetryAfter))
		p.respond(w, id, http.StatusServiceUnavailable)
		return
	}
	target, path := targetOf(r)
	route := p.picker.Route(r.Host, path)
	if status := checkHead(config.Limits, r, route, target); status != 0 {
		p.counters.Rejected.Add(1)
		p.respond(w, id, status)
		return
	}
	left := route.Timeout
	if t, ok := parseMilliseconds(r.Header.Get(headerTimeLeft)); ok {
		left = min(left, t)
	}
	left = min(left, maxRequestTimeout)
	proxied := &clientRequest{proxy: p, writer: w, request: r, controller: controller, conn: conn, attemptID: id, target: target, route: route, startedAt: startedAt,
		deadline: startedAt.Add(left - min(left/20, maxDeadlineMargin)), lastEventID: r.Header.Get(headerLastEventID)}
	body := requestBody{memory: p.memory, maxBytes: config.Limits.BodyBytes}
	defer body.release()
	_ = controller.SetReadDeadline(proxied.deadline)
	if status := body.read(r); status != 0 {
		proxied.rejectBody(status)
		return
	}
	_ = controller.SetReadDeadline(time.Time{}) // an end of the connection now means that the client is gone
	proxied.body = body.bytes
	in, out := parseTokenCount(r.Header.Get("X-Token-Count"))
	proxied.pickRequest = pick.Request{Route: route, Model: r.Header.Get("X-Model"), TokensIn: in, TokensOut: out,
		Prefix: parsePromptParts(r.Header.Get("X-Prompt-Prefix")), TimeLeft: time.Until(proxied.deadline), Age: time.Since(startedAt)}
	p.picker.Arrive(&proxied.pickRequest)
	proxied.run()
}

// targetOf is the request target as it goes to a server, and its path.
func targetOf(r *http.Request) (target, path string) {
	if target = r.RequestURI; !strings.HasPrefix(target, "/") { // a proxy's form, with scheme and host, or none at all
		if target = ""; strings.HasPrefix(r.URL.EscapedPath(), "/") {
			target = r.URL.RequestURI()
		}
	}
	path, _, _ = strings.Cut(target, "?")
	return target, path
}

// checkHead tells the status that a request's head is answered with at once; 0: none.
func checkHead(limits config.Limits, r *http.Request, route *config.Route, target string) int {
	size := int64(len(r.Method) + len(r.RequestURI) + len(r.Host) + 24)
	for name, values := range r.Header {
		for _, v := range values {
			size += int64(len(name) + len(v) + 4)
		}
	}
	switch {
	case limits.HeaderBytes > 0 && size > limits.HeaderBytes:
		return http.StatusRequestHeaderFieldsTooLarge
	case route == nil || target == "":
		return http.StatusNotFound
	case r.Header.Get(headerAttemptID) == "" || len(r.Header[headerAttemptID]) > 1:
		return http.StatusBadRequest
	case limits.BodyBytes > 0 && r.ContentLength > limits.BodyBytes:
		return http.StatusRequestEntityTooLarge
	}
	return 0
}

// rejectBody ends a request whose body could not be taken. None of it has been sent to a server.
func (c *clientRequest) rejectBody(status int) {
	counters := &c.proxy.counters
	c.writer.Header().Set("Connection", "close") // the rest of the body is not read
	switch status {
	case http.StatusServiceUnavailable:
		counters.Refused.Add(1)
		c.respondError(status, defaultRetryAfter)
	case statusClientGone:
		counters.ClientGone.Add(1)
		c.abortConn(true)
	default:
		counters.Rejected.Add(1)
		c.respondError(status, 0)
	}
}

// respond answers for the system itself.
func (p *Proxy) respond(w http.ResponseWriter, id string, status int) {
	h := w.Header()
	if id != "" {
		h.Set(headerAttemptID, id)
	}
	h.Set("Content-Length", "0")
	p.announceClose(h)
	w.WriteHeader(status)
}

// announceClose announces the end of the connection, where a planned end has begun.
func (p *Proxy) announceClose(h http.Header) {
	if p.clients.draining.Load() {
		h.Set("Connection", "close")
	}
}

// statusClientGone stands for a client that went away.
const statusClientGone = -1

// requestBody is a request's requestBody, held whole.
type requestBody struct {
	memory   *memoryBudget
	maxBytes int64 // bytes; 0: any number
	bytes    []byte
	reserved int64
	recycle  func()
}

// read takes the body in, and tells the status that the request is answered with if it cannot be had; 0: it can.
func (b *requestBody) read(r *http.Request) int {
	if r.ContentLength == 0 {
		return 0
	}
	if !b.reserve(max(r.ContentLength, smallBufferBytes)) {
		return http.StatusServiceUnavailable
	}
	for {
		if len(b.bytes) == cap(b.bytes) {
			if int64(len(b.bytes)) == r.ContentLength {
				return 0
			}
			if !b.reserve(2 * int64(cap(b.bytes))) {
				return http.StatusServiceUnavailable
			}
		}
		n, err := r.Body.Read(b.bytes[len(b.bytes):cap(b.bytes)])
		b.bytes = b.bytes[:len(b.bytes)+n]
		var timeout net.Error
		switch {
		case b.maxBytes > 0 && int64(len(b.bytes)) > b.maxBytes:
			return http.StatusRequestEntityTooLarge
		case err == io.EOF:
			return 0
		case errors.As(err, &timeout) && timeout.Timeout():
			return http.StatusRequestTimeout
		case err != nil:
			return statusClientGone
		}
	}
}

// reserve makes room for n bytes, and tells whether the budget has it.
func (b *requestBody) reserve(n int64) bool {
	if b.maxBytes > 0 {
		n = min(n, b.maxBytes+1) // one more, to see that it is too long
	}
	if more := n - b.reserved; more > 0 {
		if !b.memory.reserve(more) {
			return false
		}
		b.reserved = n
	}
	next, give := getBuffer(n)
	next = append(next, b.bytes...)
	if b.recycle != nil {
		b.recycle()
	}
	b.bytes, b.recycle = next, give
	return true
}

// release gives the room back. The bytes are not to be used any more.
func (b *requestBody) release() {
	b.memory.release(b.reserved)
	if b.recycle != nil {
		b.recycle()
	}
	*b = requestBody{}
}
