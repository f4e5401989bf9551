package proxy

import (
	"bufio"
	"context"
	"errors"
	"net/http"
	"os"
	"time"

	"gradeusher.example/gradeusher/internal/system/proxy/pick"
)

var (
	errNotSent         = errors.New("not a byte of the request was sent; it may be sent to another server")
	errDeadlinePassed  = errors.New("the deadline passed before the response was complete")
	errServerTimedOut  = errors.New("the server was silent for too long; the request is retried on another server")
	errInvalidResponse = errors.New("the server sent no valid response to this request; its connection must be closed")
)

// maxInterimResponses bounds the responses that may precede the final one, that one included (RFC 9110, section 15.2).
const maxInterimResponses = 4

// upstreamAttempt is one send of a request to a server, with its response. It owns its connection until it ends, so that a response
// can only reach the request that it belongs to. One goroutine owns the attempt.
type upstreamAttempt struct {
	ctx          context.Context // done when the client's connection has ended
	choice       pick.Result
	pools        *upstreamPools
	pool         *serverPool
	attemptID    string // X-Attempt-Id of the request
	deadline     time.Time
	sendDeadline time.Time // the request is not sent after this time
	headRequest  bool      // the request method is HEAD: the response has no body, whatever its head announces

	progressTimeout time.Duration   // how long the server may be silent before abandon is called; 0: until the deadline
	abandon         func() bool     // reports whether to abandon the silent server
	wake            <-chan struct{} // if not nil, abandon is called next when it is closed and the read deadline has passed
	resumed         func()          // called if the server sends something while wake is set
	lastProgress    time.Duration   // when bytes last arrived or the wait for them began, relative to pools.start

	conn         *serverConn // nil: no connection yet, or returned to its pool
	reader       *bufio.Reader
	stopWatching func() bool // stops closing conn when ctx is done
	response     *http.Response
	sentAt       time.Duration // when the request was written, relative to pools.start
	freshConn    bool          // the request is the first on its connection
}

// send writes the request. errNotSent means that not a byte of it was sent; after any other error the server may have executed it.
// send tries another connection only if an idle connection turns out to be closed and nothing was written on it.
func (a *upstreamAttempt) send(head, body []byte) error {
	for {
		reused, err := a.connect()
		if err != nil {
			return err
		}
		before, _ := a.conn.Written()
		err = a.write(head, body)
		if err == nil {
			return nil
		}
		after, _ := a.conn.Written()
		if partlyWritten := after > before; partlyWritten && !a.pools.knobs.RetryPartlyWritten {
			return err
		}
		a.discard()
		if !reused || a.ctx.Err() != nil || !time.Now().Before(a.deadline) {
			return errNotSent
		}
	}
}

// connect takes an idle connection to the server or opens one, and reports which. It fails with errNotSent.
func (a *upstreamAttempt) connect() (reused bool, err error) {
	conn, staleAge := a.pools.takeIdle(a.pool, a.attemptID)
	reused = conn != nil
	if reused {
		a.pools.counters.Reused.Add(1)
	} else {
		conn, err = a.pools.dial(a.ctx, a.pool, a.sendDeadline)
		if err != nil {
			return false, errNotSent
		}
		if staleAge > 0 { // the server is reachable, so it closed the other connection because it was idle
			a.pools.observeIdleTimeout(a.pool.service, staleAge)
		}
	}
	if time.Now().After(a.sendDeadline) { // the connection took too long, or the process was paused
		a.pools.putIdle(a.pool, conn, noAttemptID)
		return reused, errNotSent
	}
	a.attach(conn)
	return reused, nil
}

// write writes the request on the attempt's connection.
func (a *upstreamAttempt) write(head, body []byte) error {
	a.conn.SetHeadRequest(a.headRequest)
	_ = a.conn.SetWriteDeadline(a.deadline)
	_, err := a.conn.Write(head)
	if err == nil && len(body) > 0 {
		_, err = a.conn.Write(body)
	}
	a.sentAt = a.pools.now()
	a.lastProgress = a.sentAt
	return err
}

// attach gives the attempt ownership of a connection, which is closed when the client disconnects.
func (a *upstreamAttempt) attach(conn *serverConn) {
	a.conn, a.freshConn = conn, conn.fresh
	a.reader = readers.Get().(*bufio.Reader)
	a.reader.Reset(a)
	a.stopWatching = context.AfterFunc(a.ctx, func() { _ = conn.Close() })
}

// Read implements io.Reader and reads bytes from the server. It fails with errDeadlinePassed, with errServerTimedOut once the
// server has been abandoned, and with the errors of the connection.
func (a *upstreamAttempt) Read(p []byte) (int, error) {
	for {
		if err := a.conn.SetReadDeadline(a.readDeadline()); err != nil {
			return 0, err
		}
		if a.isWoken() { // the deadline that was to end the read may have been replaced just now
			if err := a.evaluateTimeout(); err != nil {
				return 0, err
			}
			continue
		}
		count, err := a.conn.Read(p)
		if count > 0 {
			a.recordProgress()
			return count, nil // the next read returns the error again
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return 0, err
		}
		if err := a.evaluateTimeout(); err != nil {
			return 0, err
		}
	}
}

// recordProgress records that bytes have arrived.
func (a *upstreamAttempt) recordProgress() {
	a.lastProgress = a.pools.now()
	a.pool.lastContact.Store(int64(a.lastProgress))
	if a.wake != nil {
		a.wake = nil
		a.resumed()
	}
}

// isWoken reports whether wake is closed.
func (a *upstreamAttempt) isWoken() bool {
	select {
	case <-a.wake: // never, if it is nil
		return true
	default:
		return false
	}
}

// readDeadline returns the deadline of the next read: that of the request, or when the server will have been silent for too long.
func (a *upstreamAttempt) readDeadline() time.Time {
	if a.progressTimeout == 0 || a.wake != nil {
		return a.deadline
	}
	return earlierOf(a.deadline, a.pools.start.Add(a.lastProgress+a.progressTimeout))
}

// evaluateTimeout decides whether to continue reading after a read has timed out. A server that responds to other attempts is not
// considered silent.
func (a *upstreamAttempt) evaluateTimeout() error {
	now := a.pools.now()
	lastContact := max(time.Duration(a.pool.lastContact.Load()), a.lastProgress)
	switch {
	case !time.Now().Before(a.deadline):
		return errDeadlinePassed
	case a.wake != nil && !a.isWoken(): // it was woken up for an earlier result
	case a.wake == nil && (a.progressTimeout == 0 || lastContact+a.progressTimeout > now):
		a.lastProgress = lastContact
	case a.abandon != nil && a.abandon():
		return errServerTimedOut
	default:
		a.lastProgress = now
	}
	return nil
}

// sinceLastContact returns the time since the server last sent anything to any attempt, or since this request was sent if that is later.
func (a *upstreamAttempt) sinceLastContact() time.Duration {
	return a.pools.now() - max(time.Duration(a.pool.lastContact.Load()), a.sentAt)
}

// readHead reads the head of the final response and skips interim ones. It fails with errInvalidResponse if the server switches
// protocols or sends too many interim responses. The body needs no Close: finish and discard return or close the connection that it
// is read from.
func (a *upstreamAttempt) readHead(method string) error {
	for range maxInterimResponses {
		resp, err := http.ReadResponse(a.reader, &http.Request{Method: method}) //nolint:bodyclose // the attempt owns the connection
		if err != nil {
			return err
		}
		isInterim := resp.StatusCode < http.StatusOK
		if !isInterim || a.pools.knobs.PassInterimResponses {
			a.response = resp
			return nil
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			break
		}
	}
	return errInvalidResponse
}

// finish ends the attempt and returns its connection to the pool if the connection can be reused.
func (a *upstreamAttempt) finish() {
	if a.conn == nil {
		return
	}
	if clientGone := !a.stopWatching(); clientGone || !a.connReusable() {
		a.detach()
		return
	}
	if timeout := parseKeepAlive(a.response.Header); timeout > 0 {
		a.pools.observeIdleTimeout(a.pool.service, timeout)
	}
	conn := a.conn
	a.conn = nil
	a.detach()
	if conn.SetDeadline(time.Time{}) != nil {
		_ = conn.Close()
		return
	}
	a.pools.putIdle(a.pool, conn, a.attemptID)
}

// connReusable reports whether the response was received completely, nothing followed it, and neither end announced a close.
func (a *upstreamAttempt) connReusable() bool {
	return a.response != nil && !a.response.Close && a.reader.Buffered() == 0 && a.conn.Idle()
}

// discard ends the attempt and closes its connection. Data that was not yet written on it is dropped.
func (a *upstreamAttempt) discard() {
	if a.conn != nil {
		a.stopWatching()
		a.detach()
	}
}

// detach closes the connection, if the attempt still has one, and returns the reader to its pool.
func (a *upstreamAttempt) detach() {
	if a.conn != nil {
		_ = a.conn.Close()
		a.conn = nil
	}
	if a.reader != nil {
		a.reader.Reset(nil)
		readers.Put(a.reader)
		a.reader = nil
	}
}
