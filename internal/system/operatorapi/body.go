package operatorapi

import (
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// bodyStep is how much more a body whose length is not told may hold at a time, in bytes.
const bodyStep = 64 << 10

// errBodies: the bodies of all calls together are too large.
var errBodies = errors.New("this keeper holds too many bodies: send the change again, or to another keeper")

// readBody reads a body within the bounds of size and time. Call release when it is not needed any more, also after an
// error. Errors are errBodies, a *http.MaxBytesError or those of the connection.
func (a *api) readBody(w http.ResponseWriter, r *http.Request) (body []byte, release func(), err error) {
	rc := http.NewResponseController(w)
	// Writers that know no deadlines (those of tests) are bounded by whoever made them.
	if rc.SetReadDeadline(time.Now().Add(bodyTimeout)) == nil {
		defer func() { _ = rc.SetReadDeadline(time.Time{}) }()
	}
	var reserved int64
	release = func() { a.bodies.release(reserved) }
	reserve := func(n int64) bool {
		if !a.bodies.reserve(n) {
			return false
		}
		reserved += n
		return true
	}
	in := http.MaxBytesReader(w, r.Body, maxBody)
	if r.ContentLength >= 0 {
		if !reserve(r.ContentLength) {
			return nil, release, errBodies
		}
		body = make([]byte, r.ContentLength)
		_, err = io.ReadFull(in, body)
		return body, release, err
	}
	body, err = readSteps(in, reserve)
	return body, release, err
}

// readSteps reads to the end, and reserves room before it takes more.
func readSteps(in io.Reader, reserve func(int64) bool) ([]byte, error) {
	var body []byte
	for {
		if !reserve(bodyStep) {
			return nil, errBodies
		}
		body = slices.Grow(body, bodyStep)
		for end := len(body) + bodyStep; len(body) < end; {
			n, err := in.Read(body[len(body):end])
			body = body[:len(body)+n]
			if errors.Is(err, io.EOF) {
				return slices.Clone(body), nil // it is kept: without the room that was not needed
			}
			if err != nil {
				return nil, err
			}
		}
	}
}

// budget bounds the bytes that all calls hold together.
type budget struct {
	mu   sync.Mutex
	left int64
}

func (b *budget) reserve(n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n > b.left {
		return false
	}
	b.left -= n
	return true
}

func (b *budget) release(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left += n
}
