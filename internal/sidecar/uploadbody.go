package sidecar

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"gradeusher.example/gradeusher/internal/framing"
)

const (
	maxBodyBytes          = 32 << 20                // size of a request's body
	minBodyBytesPerSecond = 48 << 10                // rate at which a client must send a body
	headTimeout           = 2700 * time.Millisecond // for a complete head, from the connection's start or the head's first byte
	minBodyGrace          = 800 * time.Millisecond  // for the body, after the head
	bodyStallTimeout      = 2600 * time.Millisecond // how long a client may send nothing of a body
	lingerTimeout         = 3 * time.Second         // how long the rest of a body is read after an answer that did not wait for it
	lingerStallTimeout    = time.Second
)

var errStopped = errors.New("the upload was stopped")

// pacedBody reads a client's body as long as it makes progress. A limit on the total time would cut
// off long bodies that arrive slowly; without any limit, a peer could hold its connection forever.
type pacedBody struct {
	body            io.Reader
	conn            *http.ResponseController
	shutdown        *shutdownClock
	timeLeft        time.Duration // how long may still be waited, in addition to the time that the next bytes earn
	received        int64         // bytes received
	expectsContinue bool          // the client waits for an interim response before it sends the body
	ended           bool          // the body is complete, or reading it has failed
}

// newPacedBody starts with the time that the head has left over: a peer that stops in the middle of a
// body gets no more time than one that stops in the head.
func newPacedBody(conn *http.ResponseController, r *http.Request, shutdown *shutdownClock) *pacedBody {
	timeLeft := headTimeout
	if c, ok := r.Context().Value(connKey{}).(*framing.ClientConn); ok {
		timeLeft -= time.Since(c.RequestStart())
	}
	return &pacedBody{body: r.Body, conn: conn, shutdown: shutdown, timeLeft: max(timeLeft, minBodyGrace),
		expectsContinue: r.Header.Get("Expect") != ""}
}

// Read implements io.Reader.
func (p *pacedBody) Read(b []byte) (int, error) {
	began := time.Now()
	if err := p.conn.SetReadDeadline(began.Add(min(p.timeLeft, bodyStallTimeout))); err != nil {
		return 0, err
	}
	count, err := p.body.Read(b)
	p.timeLeft += time.Duration(count)*time.Second/minBodyBytesPerSecond - time.Since(began)
	p.timeLeft = min(p.timeLeft, bodyStallTimeout+time.Second)
	p.ended = err != nil
	if p.received += int64(count); p.received > maxBodyBytes {
		return 0, new(http.MaxBytesError)
	}
	if p.shutdown.isLate(time.Now()) {
		return 0, errTooLate
	}
	if errors.Is(err, io.EOF) {
		// The time limit for the body no longer applies; if the connection ends from now on, the client has disconnected.
		_ = p.conn.SetReadDeadline(time.Time{})
	} else if err == nil && p.timeLeft <= 0 {
		err = os.ErrDeadlineExceeded
	}
	return count, err
}

// linger reads the rest of a body for a while. Closing a connection with unread data resets it, and the answer may be lost.
func (p *pacedBody) linger() {
	if p.ended || p.expectsContinue && p.received == 0 || p.conn.Flush() != nil {
		return
	}
	until := time.Now().Add(lingerTimeout)
	chunk := chunks.Get().(*[chunkBytes]byte)
	defer chunks.Put(chunk)
	for {
		if now := time.Now(); now.After(until) || p.conn.SetReadDeadline(now.Add(lingerStallTimeout)) != nil {
			return
		}
		if _, err := p.body.Read(chunk[:]); err != nil {
			return
		}
	}
}

// upload is the part of a long body that is not buffered but streamed from the client to one server.
type upload struct {
	body        *pacedBody
	onFirstRead func() // called at the first read: from then on the body cannot be sent again
	onComplete  func() // called when the last byte has been read

	mu      sync.Mutex
	hasRead bool
	err     error // why reading ended; io.EOF: the body is complete
}

// Read implements io.Reader.
func (u *upload) Read(p []byte) (int, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.err != nil {
		return 0, u.err
	}
	if !u.hasRead {
		u.hasRead = true
		u.onFirstRead()
	}
	n, err := u.body.Read(p)
	if u.err = err; errors.Is(err, io.EOF) {
		u.onComplete()
	}
	return n, err
}

// stop ends reading, and returns once no read is in progress. It returns the error of the client's side, if that failed.
func (u *upload) stop() error {
	if u.isComplete() {
		return nil // the read deadline has been cleared already
	}
	_ = u.body.conn.SetReadDeadline(time.Unix(1, 0))
	u.mu.Lock()
	defer u.mu.Unlock()
	err := u.err
	if u.err == nil {
		u.err = errStopped
	}
	_ = u.body.conn.SetReadDeadline(time.Time{})
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

// isComplete reports whether all of the body has been read.
func (u *upload) isComplete() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return errors.Is(u.err, io.EOF)
}

// hasFailed reports whether the client's side failed.
func (u *upload) hasFailed() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.err != nil && !errors.Is(u.err, io.EOF) && !errors.Is(u.err, errStopped)
}

// connKey is the key of the client's connection in a request's context.
type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}
