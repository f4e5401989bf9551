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
