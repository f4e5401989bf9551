package proxy

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"gradeusher.example/gradeusher/internal/framing"
	"gradeusher.example/gradeusher/internal/system/config"
	"gradeusher.example/gradeusher/internal/system/proxy/pick"
)

const (
	mostUnreached = 4                       // servers that one request finds unreachable before it is given up
	leastPatience = 1500 * time.Millisecond // a server may be silent so long before an answer begins
	leastGap      = time.Second             // and so long within a stream
	defaultRetry  = 300 * time.Millisecond  // where nobody has said when there will be room
	leastRetry    = 50 * time.Millisecond
	smallHead     = 2 << 10 // bytes; most heads fit
	joinedBody    = 8 << 10 // bytes of a body that goes out in one write with its head
)

// call is a client's request on its way.
type call struct {
	p    *Proxy
	w    http.ResponseWriter
	r    *http.Request
	rc   *http.ResponseController
	conn *framing.ClientConn // nil in tests

	id       string // X-Attempt-Id
	target   string // path and query as they came
	route    *config.Route
	req      pick.Request
	body     []byte
	began    time.Time
	deadline time.Time

	tried     []string // servers it was sent to
	offered   bool     // some send may have run
	unreached int
	chosen    *pick.Choice  // where to go on, from a silent server
	refused   time.Duration // what servers that did not run it said: come again after it
	kept      *answer       // a server's own failure, passed on if nothing better comes
	passing   bool          // the head of an answer is out
	lastID    string        // of the events that are out, "" if it cannot be told
	booked    int64         // bytes of answers
}

// run sends the request to one server after another until it is answered.
func (c *call) run() {
	defer func() { c.p.room.give(c.booked) }()
	for {
		ch := c.choose()
		if ch.Verdict != pick.Send {
			c.conclude(ch)
			return
		}
		if c.attempt(ch) {
			return
		}
	}
}

// mayMove tells whether the request may be sent to one more server, as far as it goes by the request alone.
func (c *call) mayMove(offered bool) bool {
	switch {
	case len(c.tried) >= max(c.route.MaxAttempts, 1):
		return false
	case c.passing:
		return (c.route.Resumable || c.p.opt.without.resumeRule) && c.lastID != ""
	}
	return !offered || c.route.Idempotent() || c.p.opt.without.repeatRule
}

// choose asks where to send the request next.
func (c *call) choose() pick.Choice {
	if ch := c.chosen; ch != nil {
		c.chosen = nil
		return *ch
	}
	c.p.policy.awaitWord(c.r.Context())
	left := time.Until(c.deadline)
	if left <= 0 || c.r.Context().Err() != nil || c.unreached >= mostUnreached || !c.mayMove(c.offered) {
		return pick.Choice{Verdict: pick.GiveUp}
	}
	return c.ask(left, c.tried, c.offered)
}

func (c *call) ask(left time.Duration, tried []string, offered bool) pick.Choice {
	c.req.TimeLeft, c.req.Age, c.req.Resumed = left, time.Since(c.began), c.passing
	return c.p.policy.Choose(&c.req, tried, offered)
}

// attempt sends the request to a server, and tells whether the request has come to its end.
func (c *call) attempt(ch pick.Choice) bool {
	runsOnce.Check(!c.offered || c.route.Idempotent())
	up := c.p.upstream
	x := &exchange{ctx: c.r.Context(), up: up, pool: up.pool(ch.Server), id: c.id, deadline: c.deadline, sendBy: c.sendBy(ch),
		bare: c.r.Method == http.MethodHead}
	buf, give := bodyBuffer(smallHead + int64(min(len(c.body), joinedBody)))
	head, body := c.head(buf, ch)
	err := x.send(head, body)
	give()
	if errors.Is(err, errUnreached) {
		c.unreached++
		if c.r.Context().Err() != nil {
			c.done(ch, pick.Canceled)
		} else {
			up.abandon(x.pool)
			c.done(ch, pick.ConnectFailed)
		}
		return false
	}
	c.p.counters.Sends.Add(1)
	if c.tried = append(c.tried, ch.Server.ID); len(c.tried) > 1 {
		c.p.counters.Retries.Add(1)
	}
	c.watch(x, max(2*c.route.LatencyTarget, c.p.opt.patience))
	resp, early := (*http.Response)(nil), err != nil
	if resp, err = x.answer(c.r.Method); err == nil {
		resp.Close = resp.Close || early // the rest of the request never goes out
		err = c.proper(x, resp)
	}
	if err != nil {
		return c.fail(ch, x, err)
	}
	c.p.policy.Started(ch.Ticket, ch.Server.ID, hintsOf(resp.Header, resp.Close))
	return c.take(ch, x, resp)
}

// sendBy is when a request that was chosen to go out just now must have done so.
func (c *call) sendBy(ch pick.Choice) time.Time {
	if ch.SendWithin > 0 {
		return earlier(c.deadline, time.Now().Add(ch.SendWithin))
	}
	return c.deadline
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// watch has a silent server left, where the request may go on elsewhere.
func (c *call) watch(x *exchange, patience time.Duration) {
	if x.patience = 0; c.mayMove(true) {
		x.patience = patience
		x.leave = func() bool {
			left := time.Until(c.deadline)
			if left <= 0 || !c.mayMove(true) {
				return false
			}
			ch := c.ask(left, c.tried, true)
			if ch.Verdict != pick.Send {
				return false
			}
			c.chosen = &ch
			return true
		}
	}
}

// proper tells whether a head is that of a server's answer to this request.
func (c *call) proper(x *exchange, resp *http.Response) error {
	id, ok := resp.Header[attemptID]
	bad := len(id) > 1 || ok && id[0] != c.id
	// Danger: a surplus answer to an earlier request may lie where this one's is due; only its id tells. The first answer on
	// a connection can be no such one.
	bad = bad || !ok && (!x.fresh || success(resp.StatusCode))
	bad = bad && !c.p.opt.without.echoedID
	if success(resp.StatusCode) {
		_, refused := resp.Header[notExecuted] // a success that did not run: neither is believed
		bad = bad || refused || resp.Header.Get(serverSeal) == "" && !c.p.opt.without.seal || resp.Header.Get("Content-Encoding") != ""
	}
	if bad {
		c.p.counters.Mismatch.Add(1)
		return errImproper
	}
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && !x.bare && !c.p.opt.without.unframed {
		c.p.counters.Unframed.Add(1) // its end would be that of the connection, whole or not
		return errImproper
	}
	return nil
}

func success(status int) bool { return status >= 200 && status < 300 }

// promise tells whether a status promises that the request has not run.
func promise(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// fail takes in that a send brought no answer, or none to its end.
func (c *call) fail(ch pick.Choice, x *exchange, err error) bool {
	x.drop()
	c.offered = true
	switch {
	case c.r.Context().Err() != nil:
		c.done(ch, pick.Canceled)
	case errors.Is(err, errSilent):
		c.p.counters.Abandoned.Add(1)
		c.p.upstream.distrust(x.pool, x.sent)
		c.done(ch, pick.TimedOut)
	case errors.Is(err, errTimeUp) && c.p.upstream.now()-max(time.Duration(x.pool.heard.Load()), x.sent) < leastPatience:
		c.done(ch, pick.Canceled) // late, but alive for all that is known
	case errors.Is(err, errTimeUp):
		c.p.upstream.distrust(x.pool, x.sent)
		c.done(ch, pick.TimedOut)
	default:
		c.p.upstream.distrust(x.pool, x.sent)
		c.done(ch, pick.ConnectionLost)
	}
	return false
}

func (c *call) done(ch pick.Choice, o pick.Outcome) { c.p.policy.Done(ch.Ticket, o, 0) }

// conclude answers a request that goes to no further server.
func (c *call) conclude(ch pick.Choice) {
	n := &c.p.counters
	switch {
	case c.r.Context().Err() != nil:
		n.ClientGone.Add(1)
		c.cut(true)
	case c.passing:
		n.Truncated.Add(1)
		c.cut(false)
	case c.kept != nil:
		n.Served.Add(1)
		c.kept.pass(c)
	case !c.offered:
		n.Refused.Add(1)
		c.refuse(http.StatusServiceUnavailable, max(ch.RetryAfter, c.refused))
	case time.Until(c.deadline) <= 0:
		n.TimedOut.Add(1)
		c.refuse(http.StatusGatewayTimeout, 0)
	default:
		n.Failed.Add(1)
		c.refuse(http.StatusBadGateway, 0)
	}
}

// refuse answers for the system itself.
func (c *call) refuse(status int, after time.Duration) {
	if promise(status) {
		if after <= 0 {
			after = defaultRetry
		}
		if left := time.Until(c.deadline); left > 0 {
			after = min(after, left/3)
		}
		c.w.Header().Set("Retry-After", seconds(max(after, leastRetry)))
	}
	c.p.reply(c.w, c.id, status)
}

// cut breaks the answer off so that it cannot look complete. What still waits for the client goes out; for one that is gone
// it is dropped.
func (c *call) cut(gone bool) {
	if c.conn == nil || c.p.opt.without.cut {
		return
	}
	if gone || c.r.ProtoMinor == 0 {
		_ = c.conn.SetLinger(0) // where the connection's end is the answer's, a reset says that it is not whole
	}
	_ = c.conn.Close()
}

// head appends the request as the server gets it, and tells what of the body follows in a write of its own.
func (c *call) head(b []byte, ch pick.Choice) (head, rest []byte) {
	b = append(b, c.r.Method...)
	b = append(b, ' ')
	b = append(b, c.target...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, c.r.Host...)
	b = append(b, "\r\n"...)
	names := named(c.r.Header)
	for name, values := range c.r.Header {
		switch name {
		case "Content-Length", "Expect", timeLeft, instance, "Priority", "Host":
			continue
		case lastEventID:
			if c.passing {
				continue
			}
		}
		if passes(name, names) {
			for _, v := range values {
				b = field(b, name, v)
			}
		}
	}
	left := max(time.Until(c.deadline).Milliseconds(), 1)
	b = field(b, timeLeft, strconv.FormatInt(left, 10))
	b = field(b, instance, ch.Server.ID)
	b = field(b, "Priority", strconv.Itoa(ch.Priority))
	if c.passing && c.lastID != "" {
		b = field(b, lastEventID, c.lastID)
	}
	if len(c.body) > 0 || c.r.ContentLength != 0 || c.r.Header["Content-Length"] != nil {
		b = field(b, "Content-Length", strconv.Itoa(len(c.body)))
	}
	b = append(b, "\r\n"...)
	if len(c.body) <= joinedBody {
		return append(b, c.body...), nil
	}
	return b, c.body
}

func field(b []byte, name, value string) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	b = append(b, value...)
	return append(b, "\r\n"...)
}
