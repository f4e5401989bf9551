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
	maxBodyBytes          = 32 << 20                // bytes of a request's body
	minBodyBytesPerSecond = 48 << 10                // bytes a second that a client must send of one
	headTimeout           = 2700 * time.Millisecond // for a complete head, from its connection or its first byte
	minBodyGrace          = 800 * time.Millisecond  // behind the head
	bodyStallTimeout      = 2600 * time.Millisecond // a client may send nothing of a body
	lingerTimeout         = 3 * time.Second         // the rest of a body is read behind an answer that does not wait for it
	lingerStallTimeout    = time.Second
)

var errStopped = errors.New("nobody reads it any more")

// pacedBody reads a client's body as long as that makes progress. A bound on all of it would cut off long bodies that come
// slowly, and none would let a peer hold its connection for good.
type pacedBody struct {
	body            io.Reader
	conn            *http.ResponseController
	shutdown        *shutdownClock
	timeLeft        time.Duration // that may still be waited, besides what the next bytes earn
	received        int64         // bytes that came
	expectsContinue bool          // the client waits for an interim answer before it sends any
	ended           bool          // it is complete, or has failed
}

// newPacedBody begins with what is left of a head's time: a peer that stops half way in a body has not more time than one that
// stops in the head.
func newPacedBody(conn *http.ResponseController, r *http.Request, leave *shutdownClock) *pacedBody {
	spare := headTimeout
	if c, ok := r.Context().Value(connKey{}).(*framing.ClientConn); ok {
		spare -= time.Since(c.RequestStart())
	}
	return &pacedBody{body: r.Body, conn: conn, shutdown: leave, timeLeft: max(spare, minBodyGrace),
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
		// The time for the body is over; a later end of the connection means that the client is gone.
		_ = p.conn.SetReadDeadline(time.Time{})
	} else if err == nil && p.timeLeft <= 0 {
		err = os.ErrDeadlineExceeded
	}
	return count, err
}

// linger reads what is left of a body for a while. Closing with something unread resets the connection, and the answer may be
// lost with it.
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

// upload is the part of a long body that is not held, on its way from the client to one server.
type upload struct {
	body        *pacedBody
	onFirstRead func() // called when its first byte is asked for: it cannot be sent again
	onComplete  func() // called when its last byte has come

	mu      sync.Mutex
	hasRead bool
	err     error // io.EOF: it has ended
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

// stop has nobody read any more, and returns once nobody does. It returns why the client's side failed, if it did.
func (u *upload) stop() error {
	if u.isComplete() {
		return nil // and the time for it is over
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

// isComplete reports whether all of it has been read.
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

// connKey is under what a request's context has its client's connection.
type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}
