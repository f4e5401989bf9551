package proxy

import (
	"errors"
	"io"
	"mime"
	"net/http"
	"strconv"
	"time"

	"gradeusher.example/gradeusher/internal/system/proxy/pick"
)

const (
	leastHeld = 4 << 10   // bytes of an answer that are held at first, if its length is not known
	mostHeld  = 256 << 10 // bytes of an answer that are held until it is whole, at the most
	stallFor  = 10 * time.Second
	flowPiece = 32 << 10 // bytes of a long answer that are passed on at once
)

var errGone = errors.New("the client takes no more")

// answer is one that is held whole.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// take passes on a proper answer, or goes by what it says. It tells whether the request has come to its end.
func (c *call) take(ch pick.Result, x *exchange, resp *http.Response) bool {
	status := resp.StatusCode
	_, refused := resp.Header[notExecuted]
	switch {
	case refused || status == http.StatusMisdirectedRequest:
		return c.takeRefusal(ch, x, resp)
	case success(status) && eventStream(resp):
		return c.stream(ch, x, resp)
	case c.passing: // only a stream can go on with one
		x.drop()
		c.offered = true
		c.done(ch, pick.ServerError)
		return false
	}
	a := &answer{status: status, header: resp.Header}
	var err error
	var whole bool
	if a.body, whole, err = c.hold(resp); err != nil {
		return c.fail(ch, x, err)
	}
	// Danger: a status that promises more than the server has said is not passed on, nor is one too long to be held.
	promised := promise(status) && !c.p.opt.without.promiseRule
	if !whole && !promised {
		return c.flow(ch, x, resp, a)
	}
	if whole {
		x.finish()
	} else {
		x.drop()
	}
	if status < 500 && !promised {
		c.done(ch, pick.Served)
		c.p.counters.Served.Add(1)
		a.pass(c)
		return true
	}
	c.offered = true
	c.done(ch, pick.ServerError)
	if c.kept = a; promised {
		c.kept = nil
	}
	return false
}

// takeRefusal takes in that the server did not run the request.
func (c *call) takeRefusal(ch pick.Result, x *exchange, resp *http.Response) bool {
	outcome, after := pick.NotExecuted, retryAfter(resp.Header.Get("Retry-After"))
	_, whole, err := c.hold(resp)
	switch {
	case resp.StatusCode == http.StatusMisdirectedRequest: // another server lives there
		outcome = pick.Misdirected
		x.drop()
		c.p.upstream.abandon(x.pool)
	case err == nil && whole:
		x.finish()
	default:
		x.drop()
	}
	c.refused = max(c.refused, after)
	c.p.policy.Done(ch.Ticket, outcome, after)
	return false
}

func eventStream(resp *http.Response) bool {
	kind, _, err := mime.ParseMediaType(resp.Header.Get("Content-Type"))
	return err == nil && kind == "text/event-stream"
}

// hold reads an answer's body to its end, or until it is longer than is held, and tells whether it is whole. What it
// books is given back with the call.
func (c *call) hold(resp *http.Response) (body []byte, whole bool, err error) {
	if resp.ContentLength > mostHeld && c.r.Method != http.MethodHead {
		return nil, false, nil
	}
	room := min(max(resp.ContentLength, 0)+1, leastHeld) // one more, so that the end is seen
	if resp.ContentLength > leastHeld && resp.ContentLength <= mostHeld && c.r.Method != http.MethodHead {
		room = resp.ContentLength + 1
	}
	if resp.ContentLength < 0 {
		room = leastHeld
	}
	for {
		if !c.p.room.take(room) {
			return body, false, nil
		}
		c.booked += room
		body = append(make([]byte, 0, int64(cap(body))+room), body...)
		for len(body) < cap(body) {
			n, err := resp.Body.Read(body[len(body):cap(body)])
			body = body[:len(body)+n]
			if err == io.EOF {
				return body, true, nil
			}
			if err != nil {
				return nil, false, err
			}
		}
		if len(body) > mostHeld/2 {
			return body, false, nil
		}
		room = int64(len(body))
	}
}

// flow passes on an answer that is too long to be held.
func (c *call) flow(ch pick.Result, x *exchange, resp *http.Response, a *answer) bool {
	x.patience = 0
	c.passHead(a.status, a.header, resp.ContentLength)
	err := c.write(a.body)
	piece := make([]byte, flowPiece)
	for err == nil {
		var n int
		n, err = resp.Body.Read(piece)
		if n > 0 {
			if e := c.write(piece[:n]); e != nil {
				err = e
			}
		}
	}
	if err == io.EOF {
		x.finish()
		c.done(ch, pick.Served)
		c.p.counters.Served.Add(1)
		return true
	}
	return c.broke(ch, x, err)
}

// stream passes on events as they come. An answer that is cut may be taken up at another server.
func (c *call) stream(ch pick.Result, x *exchange, resp *http.Response) bool {
	buf, give := bodyBuffer(eventRoom)
	defer give()
	ev := &events{from: resp.Body, buf: buf}
	if c.route.Resumable {
		ev.after(c.lastID)
	}
	if c.passing {
		c.p.counters.Resumed.Add(1)
	}
	first := true
	for {
		whole, err := ev.next()
		if err == io.EOF {
			if !c.passing {
				c.passHead(resp.StatusCode, resp.Header, resp.ContentLength)
			}
			x.finish()
			c.done(ch, pick.Served)
			c.p.counters.Served.Add(1)
			return true
		}
		if err != nil {
			return c.fail(ch, x, err)
		}
		if first {
			c.p.policy.FirstEvent(ch.Ticket)
			if !c.passing {
				// Danger: a stream that goes on at another server need not come to the length that the first one told.
				c.passHead(resp.StatusCode, resp.Header, -1)
			}
		}
		if err := c.write(whole); err != nil {
			return c.broke(ch, x, err)
		}
		if c.lastID = ev.lastID; ev.bare {
			c.lastID = "" // it cannot be told where another server should go on
		}
		if first {
			first = false
			c.watch(x, max(2*c.route.EventGapTarget, c.p.opt.gap))
		}
	}
}

// broke ends an answer that was cut while it was passed on and cannot go on.
func (c *call) broke(ch pick.Result, x *exchange, err error) bool {
	if !errors.Is(err, errGone) {
		c.fail(ch, x, err)
		c.p.counters.Truncated.Add(1)
		c.cut(false)
		return true
	}
	x.drop()
	c.done(ch, pick.Canceled)
	c.p.counters.ClientGone.Add(1)
	c.cut(true)
	return true
}

// passHead passes on the head of an answer; length -1: not told.
func (c *call) passHead(status int, from http.Header, length int64) {
	c.passing = true
	to := c.w.Header()
	names := named(from)
	for name, values := range from {
		if name != "Content-Length" && passes(name, names) {
			to[name] = values
		}
	}
	for _, name := range []string{"Date", "Content-Type"} { // net/http would make them up
		if _, ok := from[name]; !ok {
			to[name] = nil
		}
	}
	if length >= 0 {
		to.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	c.p.closing(to)
	c.w.WriteHeader(status)
}

// pass passes on an answer that is held whole.
func (a *answer) pass(c *call) {
	length := int64(len(a.body))
	if c.r.Method == http.MethodHead || a.status == http.StatusNoContent || a.status == http.StatusNotModified {
		length = -1
		if text := a.header.Get("Content-Length"); text != "" && a.status != http.StatusNoContent {
			if n, err := strconv.ParseInt(text, 10, 64); err == nil {
				length = n
			}
		}
	}
	c.passHead(a.status, a.header, length)
	if len(a.body) > 0 {
		if err := c.write(a.body); err != nil {
			c.cut(true)
		}
	}
}

// write passes bytes on at once. A client that takes none for long is given up.
func (c *call) write(b []byte) error {
	_ = c.rc.SetWriteDeadline(time.Now().Add(c.p.opt.stall))
	if _, err := c.w.Write(b); err != nil {
		return errGone
	}
	if c.rc.Flush() != nil {
		return errGone
	}
	return nil
}
