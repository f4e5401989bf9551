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
	mostLong    = 32 << 20                // bytes of a request's body
	leastRate   = 48 << 10                // bytes a second that a client must send of one
	headWithin  = 2700 * time.Millisecond // a head must be whole, from its connection or its first byte
	leastGrace  = 800 * time.Millisecond  // behind the head
	bodyStall   = 2600 * time.Millisecond // a client may send nothing of a body
	lingerFor   = 3 * time.Second         // the rest of a body is read behind an answer that does not wait for it
	lingerStall = time.Second
)

var errStopped = errors.New("nobody reads it any more")

// paced reads a client's body as long as that makes progress. Danger: a bound on the whole would cut off long bodies that
// come slowly, and none would let a peer hold its connection for good.
type paced struct {
	body  io.Reader
	conn  *http.ResponseController
	leave *leaving
	spare time.Duration // that may still be waited, besides what the next bytes earn
	n     int64         // bytes that came
	asks  bool          // the client waits for a word before it sends any
	ended bool          // it has come whole, or has failed
}

// newPaced begins with what is left of a head's time: a peer that stops half way in a body has not more time than one that
// stops in the head.
func newPaced(conn *http.ResponseController, r *http.Request, leave *leaving) *paced {
	spare := headWithin
	if c, ok := r.Context().Value(connKey{}).(*framing.ClientConn); ok {
		spare -= time.Since(c.RequestStart())
	}
	return &paced{body: r.Body, conn: conn, leave: leave, spare: max(spare, leastGrace),
		asks: r.Header.Get("Expect") != ""}
}

// Read implements io.Reader.
func (p *paced) Read(b []byte) (int, error) {
	began := time.Now()
	if err := p.conn.SetReadDeadline(began.Add(min(p.spare, bodyStall))); err != nil {
		return 0, err
	}
	n, err := p.body.Read(b)
	p.spare += time.Duration(n)*time.Second/leastRate - time.Since(began)
	p.spare = min(p.spare, bodyStall+time.Second)
	p.ended = err != nil
	if p.n += int64(n); p.n > mostLong {
		return 0, new(http.MaxBytesError)
	}
	if p.leave.late(time.Now()) {
		return 0, errLate
	}
	if err == io.EOF {
		// The time for the body is over; a later end of the connection means that the client is gone.
		_ = p.conn.SetReadDeadline(time.Time{})
	} else if err == nil && p.spare <= 0 {
		err = os.ErrDeadlineExceeded
	}
	return n, err
}

// linger reads what is left of a body for a while. Danger: closing with something unread resets the connection, and the
// answer may be lost with it.
func (p *paced) linger() {
	if p.ended || p.asks && p.n == 0 || p.conn.Flush() != nil {
		return
	}
	until := time.Now().Add(lingerFor)
	piece := pieces.Get().(*[flowPiece]byte)
	defer pieces.Put(piece)
	for {
		if now := time.Now(); now.After(until) || p.conn.SetReadDeadline(now.Add(lingerStall)) != nil {
			return
		}
		if _, err := p.body.Read(piece[:]); err != nil {
			return
		}
	}
}

// upload is the part of a long body that is not held, on its way from the client to one server.
type upload struct {
	body  *paced
	taken func() // called when its first byte is asked for: it cannot be sent again
	ended func() // called when its last byte has come

	mu  sync.Mutex
	any bool
	err error // io.EOF: it has ended
}

// Read implements io.Reader.
func (u *upload) Read(p []byte) (int, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.err != nil {
		return 0, u.err
	}
	if !u.any {
		u.any = true
		u.taken()
	}
	n, err := u.body.Read(p)
	if u.err = err; err == io.EOF {
		u.ended()
	}
	return n, err
}

// stop has nobody read any more, and returns once nobody does. It returns why the client's side failed, if it did.
func (u *upload) stop() error {
	if u.whole() {
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
	if err == io.EOF {
		return nil
	}
	return err
}

// whole tells whether all of it has been read.
func (u *upload) whole() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.err == io.EOF
}

// failed tells whether the client's side failed.
func (u *upload) failed() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.err != nil && u.err != io.EOF && u.err != errStopped
}

// connKey is under what a request's context has its client's connection.
type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}
