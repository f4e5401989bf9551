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
	mostMargin = 20 * time.Millisecond // before its client's limit a request is given up, at the most
	mostWait   = 10 * time.Minute      // for an answer, whatever is asked
	restOfBody = time.Second           // a refused request's body is waited for
)

type connKey struct{} // of a request's *framing.ClientConn in its context

// ServeHTTP implements http.Handler.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	came := time.Now()
	p.counters.Requests.Add(1)
	rc := http.NewResponseController(w)
	_ = rc.SetWriteDeadline(came.Add(mostWait)) // not that of the answer before
	conn, _ := r.Context().Value(connKey{}).(*framing.ClientConn)
	id := r.Header.Get(attemptID)
	config := p.config()
	_ = rc.SetReadDeadline(came.Add(restOfBody)) // where no body is read, net/http waits for it before it answers
	if config == nil {
		p.counters.Refused.Add(1)
		w.Header().Set("Retry-After", seconds(defaultRetry))
		p.reply(w, id, http.StatusServiceUnavailable)
		return
	}
	target, path := targetOf(r)
	route := p.policy.Route(r.Host, path)
	if status := check(config.Limits, r, route, target); status != 0 {
		p.counters.Rejected.Add(1)
		p.reply(w, id, status)
		return
	}
	left := route.Timeout
	if t, ok := millis(r.Header.Get(timeLeft)); ok {
		left = min(left, t)
	}
	left = min(left, mostWait)
	c := &call{p: p, w: w, r: r, rc: rc, conn: conn, id: id, target: target, route: route, began: came,
		deadline: came.Add(left - min(left/20, mostMargin)), lastID: r.Header.Get(lastEventID)}
	b := body{room: p.room, most: config.Limits.MaxBodyBytes}
	defer b.free()
	_ = rc.SetReadDeadline(c.deadline)
	if status := b.read(r); status != 0 {
		c.refuseBody(status)
		return
	}
	_ = rc.SetReadDeadline(time.Time{}) // an end of the connection now means that the client is gone
	c.body = b.bytes
	in, out := tokenCount(r.Header.Get("X-Token-Count"))
	c.req = pick.Request{Route: route, Model: r.Header.Get("X-Model"), TokensIn: in, TokensOut: out,
		Prefix: promptParts(r.Header.Get("X-Prompt-Prefix")), TimeLeft: time.Until(c.deadline), Age: time.Since(came)}
	p.policy.Arrive(&c.req)
	c.run()
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

// check tells the status that a request's head is answered with at once; 0: none.
func check(l config.Limits, r *http.Request, route *config.Route, target string) int {
	size := int64(len(r.Method) + len(r.RequestURI) + len(r.Host) + 24)
	for name, values := range r.Header {
		for _, v := range values {
			size += int64(len(name) + len(v) + 4)
		}
	}
	switch {
	case l.MaxHeaderBytes > 0 && size > l.MaxHeaderBytes:
		return http.StatusRequestHeaderFieldsTooLarge
	case route == nil || target == "":
		return http.StatusNotFound
	case r.Header.Get(attemptID) == "" || len(r.Header[attemptID]) > 1:
		return http.StatusBadRequest
	case l.MaxBodyBytes > 0 && r.ContentLength > l.MaxBodyBytes:
		return http.StatusRequestEntityTooLarge
	}
	return 0
}

// refuseBody ends a request whose body could not be taken. None of it has been sent to a server.
func (c *call) refuseBody(status int) {
	n := &c.p.counters
	c.w.Header().Set("Connection", "close") // the rest of the body is not read
	switch status {
	case http.StatusServiceUnavailable:
		n.Refused.Add(1)
		c.refuse(status, defaultRetry)
	case statusGone:
		n.ClientGone.Add(1)
		c.cut(true)
	default:
		n.Rejected.Add(1)
		c.refuse(status, 0)
	}
}

// reply answers for the system itself.
func (p *Proxy) reply(w http.ResponseWriter, id string, status int) {
	h := w.Header()
	if id != "" {
		h.Set(attemptID, id)
	}
	h.Set("Content-Length", "0")
	p.closing(h)
	w.WriteHeader(status)
}

// closing announces the end of the connection, where a planned end has begun.
func (p *Proxy) closing(h http.Header) {
	if p.front.draining.Load() {
		h.Set("Connection", "close")
	}
}

// statusGone stands for a client that went away.
const statusGone = -1

// body is a request's body, held whole.
type body struct {
	room   *budget
	most   int64 // bytes; 0: any number
	bytes  []byte
	booked int64
	give   func()
}

// read takes the body in, and tells the status that the request is answered with if it cannot be had; 0: it can.
func (b *body) read(r *http.Request) int {
	if r.ContentLength == 0 {
		return 0
	}
	if !b.grow(max(r.ContentLength, smallBody)) {
		return http.StatusServiceUnavailable
	}
	for {
		if len(b.bytes) == cap(b.bytes) {
			if int64(len(b.bytes)) == r.ContentLength {
				return 0
			}
			if !b.grow(2 * int64(cap(b.bytes))) {
				return http.StatusServiceUnavailable
			}
		}
		n, err := r.Body.Read(b.bytes[len(b.bytes):cap(b.bytes)])
		b.bytes = b.bytes[:len(b.bytes)+n]
		var timeout net.Error
		switch {
		case b.most > 0 && int64(len(b.bytes)) > b.most:
			return http.StatusRequestEntityTooLarge
		case err == io.EOF:
			return 0
		case errors.As(err, &timeout) && timeout.Timeout():
			return http.StatusRequestTimeout
		case err != nil:
			return statusGone
		}
	}
}

// grow makes room for n bytes, and tells whether the budget has it.
func (b *body) grow(n int64) bool {
	if b.most > 0 {
		n = min(n, b.most+1) // one more, to see that it is too long
	}
	if more := n - b.booked; more > 0 {
		if !b.room.take(more) {
			return false
		}
		b.booked = n
	}
	next, give := bodyBuffer(n)
	next = append(next, b.bytes...)
	if b.give != nil {
		b.give()
	}
	b.bytes, b.give = next, give
	return true
}

// free gives the room back. The bytes are not to be used any more.
func (b *body) free() {
	b.room.give(b.booked)
	if b.give != nil {
		b.give()
	}
	*b = body{}
}
