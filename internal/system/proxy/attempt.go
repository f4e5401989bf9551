package proxy

import (
	"bufio"
	"context"
	"errors"
	"net/http"
	"os"
	"time"
)

var (
	errNotSent         = errors.New("nothing was sent: another server may be asked")
	errDeadlinePassed  = errors.New("the time for the answer is up")
	errServerSilent    = errors.New("the server has been silent: another one is asked")
	errInvalidResponse = errors.New("this is no proper answer to the request: close the connection")
)

// maxInterimResponses bounds the 1xx answers before an answer.
const maxInterimResponses = 4

// upstreamAttempt is one request to a server and the answer to it, on a connection of its own meanwhile.
type upstreamAttempt struct {
	ctx          context.Context // the client's connection
	pools        *upstreamPools
	pool         *serverPool
	attemptID    string // of the request
	deadline     time.Time
	sendDeadline time.Time // the request goes out by then or not at all
	headRequest  bool      // the answer has no body, whatever it says

	// patience is how long the server may be silent before leave is asked whether to leave it; 0: any time.
	silenceTimeout time.Duration
	abandon        func() bool
	lastProgress   time.Duration // when bytes last came, or the wait for them began

	conn         *serverConn
	reader       *bufio.Reader
	stopWatching func() bool // ends the watch over ctx
	response     *http.Response
	sentAt       time.Duration // when the request was sent
	freshConn    bool          // it is the first on its connection
}

// send writes a request. With errNotSent not a byte was sent; with any other error the server may have run it.
func (x *upstreamAttempt) send(head, body []byte) error {
	for {
		conn, stale := x.pools.takeIdle(x.pool, x.attemptID)
		reused := conn != nil
		if !reused {
			var err error
			if conn, err = x.pools.dial(x.ctx, x.pool, x.sendDeadline); err != nil {
				return errNotSent
			}
			if stale > 0 { // the server is there, and closed the connection as it had idled
				x.pools.observeIdleTimeout(x.pool.service, stale)
			}
		} else {
			x.pools.counters.Reused.Add(1)
		}
		if time.Now().After(x.sendDeadline) { // the connection took too long, or the process stood still
			x.pools.putIdle(x.pool, conn, "")
			return errNotSent
		}
		x.attach(conn)
		conn.SetHeadRequest(x.headRequest)
		before, _ := conn.Written()
		_ = conn.SetWriteDeadline(x.deadline)
		_, err := conn.Write(head)
		if err == nil && len(body) > 0 {
			_, err = conn.Write(body)
		}
		x.sentAt = x.pools.now()
		x.lastProgress = x.sentAt
		if err == nil {
			return nil
		}
		if after, _ := conn.Written(); after > before && !x.pools.knobs.RetryPartlyWritten {
			return err
		}
		x.discard()
		if !reused || x.ctx.Err() != nil || !time.Now().Before(x.deadline) {
			return errNotSent
		}
	}
}

// attach takes a connection. It is closed when the client goes away.
func (x *upstreamAttempt) attach(c *serverConn) {
	x.conn, x.freshConn = c, c.fresh
	x.reader = readers.Get().(*bufio.Reader)
	x.reader.Reset(x)
	x.stopWatching = context.AfterFunc(x.ctx, func() { _ = c.Close() })
}

// Read implements io.Reader: bytes from the server, until the time is up or the server has been left.
func (x *upstreamAttempt) Read(p []byte) (int, error) {
	for {
		deadline := x.deadline
		if x.silenceTimeout > 0 {
			if t := x.pools.start.Add(x.lastProgress + x.silenceTimeout); t.Before(deadline) {
				deadline = t
			}
		}
		if err := x.conn.SetReadDeadline(deadline); err != nil {
			return 0, err
		}
		n, err := x.conn.Read(p)
		if n > 0 {
			x.lastProgress = x.pools.now()
			x.pool.lastContact.Store(int64(x.lastProgress))
			return n, nil // an error comes again
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return 0, err
		}
		now := x.pools.now()
		lastContact := max(time.Duration(x.pool.lastContact.Load()), x.lastProgress)
		switch {
		case !time.Now().Before(x.deadline):
			return 0, errDeadlinePassed
		case x.silenceTimeout == 0 || lastContact+x.silenceTimeout > now: // others there are answered
			x.lastProgress = lastContact
		case x.abandon != nil && x.abandon():
			return 0, errServerSilent
		default:
			x.lastProgress = now
		}
	}
}

// readHead reads the head of the readHead.
func (x *upstreamAttempt) readHead(method string) (*http.Response, error) {
	for range maxInterimResponses {
		resp, err := http.ReadResponse(x.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= 200 || x.pools.knobs.PassInterimResponses {
			x.response = resp
			return resp, nil
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			break
		}
	}
	return nil, errInvalidResponse
}

// finish gives the connection back if the answer has come whole and nothing after it, and it may be used again.
func (x *upstreamAttempt) finish() {
	if x.conn == nil {
		return
	}
	reusable := x.stopWatching() && x.response != nil && !x.response.Close && x.reader.Buffered() == 0 && x.conn.Idle()
	if !reusable {
		x.detach()
		return
	}
	if d := parseKeepAlive(x.response.Header); d > 0 {
		x.pools.observeIdleTimeout(x.pool.service, d)
	}
	conn := x.conn
	x.conn = nil
	x.detach()
	if conn.SetDeadline(time.Time{}) != nil {
		_ = conn.Close()
		return
	}
	x.pools.putIdle(x.pool, conn, x.attemptID)
}

// discard closes the connection. Whatever was still to be written on it is not.
func (x *upstreamAttempt) discard() {
	if x.conn != nil {
		x.stopWatching()
		x.detach()
	}
}

func (x *upstreamAttempt) detach() {
	if x.conn != nil {
		_ = x.conn.Close()
		x.conn = nil
	}
	if x.reader != nil {
		x.reader.Reset(nil)
		readers.Put(x.reader)
		x.reader = nil
	}
}
