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
	errUnreached = errors.New("nothing was sent: another server may be asked")
	errTimeUp    = errors.New("the time for the answer is up")
	errSilent    = errors.New("the server has been silent: another one is asked")
	errImproper  = errors.New("this is no proper answer to the request: close the connection")
)

// mostInterim bounds the 1xx answers before an answer.
const mostInterim = 4

// exchange is one request to a server and the answer to it, on a connection of its own meanwhile.
type exchange struct {
	ctx      context.Context // the client's connection
	up       *upstream
	pool     *pool
	id       string // of the request
	deadline time.Time
	sendBy   time.Time // the request goes out by then or not at all
	bare     bool      // the answer has no body, whatever it says

	// patience is how long the server may be silent before leave is asked whether to leave it; 0: any time.
	patience time.Duration
	leave    func() bool
	progress time.Duration // when bytes last came, or the wait for them began

	conn    *serverConn
	reader  *bufio.Reader
	unwatch func() bool // ends the watch over ctx
	resp    *http.Response
	sent    time.Duration // when the request was sent
	fresh   bool          // it is the first on its connection
}

// send writes a request. With errUnreached not a byte was sent; with any other error the server may have run it.
func (x *exchange) send(head, body []byte) error {
	for {
		conn, stale := x.up.take(x.pool, x.id)
		reused := conn != nil
		if !reused {
			var err error
			if conn, err = x.up.dial(x.ctx, x.pool, x.sendBy); err != nil {
				return errUnreached
			}
			if stale > 0 { // the server is there, and closed the connection as it had idled
				x.up.keeps(x.pool.service, stale)
			}
		} else {
			x.up.counters.Reused.Add(1)
		}
		if time.Now().After(x.sendBy) { // the connection took too long, or the process stood still
			x.up.put(x.pool, conn, "")
			return errUnreached
		}
		x.begin(conn)
		conn.SetHeadRequest(x.bare)
		before, _ := conn.Written()
		_ = conn.SetWriteDeadline(x.deadline)
		_, err := conn.Write(head)
		if err == nil && len(body) > 0 {
			_, err = conn.Write(body)
		}
		x.sent = x.up.now()
		x.progress = x.sent
		if err == nil {
			return nil
		}
		if after, _ := conn.Written(); after > before && !x.up.without.partlyWritten {
			return err
		}
		x.drop()
		if !reused || x.ctx.Err() != nil || !time.Now().Before(x.deadline) {
			return errUnreached
		}
	}
}

// begin takes a connection. It is closed when the client goes away.
func (x *exchange) begin(c *serverConn) {
	x.conn, x.fresh = c, c.fresh
	x.reader = readers.Get().(*bufio.Reader)
	x.reader.Reset(x)
	x.unwatch = context.AfterFunc(x.ctx, func() { _ = c.Close() })
}

// Read implements io.Reader: bytes from the server, until the time is up or the server has been left.
func (x *exchange) Read(p []byte) (int, error) {
	for {
		until := x.deadline
		if x.patience > 0 {
			if t := x.up.start.Add(x.progress + x.patience); t.Before(until) {
				until = t
			}
		}
		if err := x.conn.SetReadDeadline(until); err != nil {
			return 0, err
		}
		n, err := x.conn.Read(p)
		if n > 0 {
			x.progress = x.up.now()
			x.pool.heard.Store(int64(x.progress))
			return n, nil // an error comes again
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return 0, err
		}
		now := x.up.now()
		heard := max(time.Duration(x.pool.heard.Load()), x.progress)
		switch {
		case !time.Now().Before(x.deadline):
			return 0, errTimeUp
		case x.patience == 0 || heard+x.patience > now: // others there are answered
			x.progress = heard
		case x.leave != nil && x.leave():
			return 0, errSilent
		default:
			x.progress = now
		}
	}
}

// answer reads the head of the answer.
func (x *exchange) answer(method string) (*http.Response, error) {
	for range mostInterim {
		resp, err := http.ReadResponse(x.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= 200 || x.up.without.interim {
			x.resp = resp
			return resp, nil
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			break
		}
	}
	return nil, errImproper
}

// finish gives the connection back if the answer has come whole and nothing after it, and it may be used again.
func (x *exchange) finish() {
	if x.conn == nil {
		return
	}
	clean := x.unwatch() && x.resp != nil && !x.resp.Close && x.reader.Buffered() == 0 && x.conn.Idle()
	if !clean {
		x.release()
		return
	}
	if d := keepAlive(x.resp.Header); d > 0 {
		x.up.keeps(x.pool.service, d)
	}
	conn := x.conn
	x.conn = nil
	x.release()
	if conn.SetDeadline(time.Time{}) != nil {
		_ = conn.Close()
		return
	}
	x.up.put(x.pool, conn, x.id)
}

// drop closes the connection. Whatever was still to be written on it is not.
func (x *exchange) drop() {
	if x.conn != nil {
		x.unwatch()
		x.release()
	}
}

func (x *exchange) release() {
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
