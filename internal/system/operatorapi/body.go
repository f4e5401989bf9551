package operatorapi

import (
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// bodyChunkBytes is how much more a body whose length is not told may hold at a time, in bytes.
const bodyChunkBytes = 64 << 10

// errTooManyBodies: the bodies of all calls together are too large.
var errTooManyBodies = errors.New("this keeper holds too many bodies: send the change again, or to another keeper")

// readBody reads a body within the bounds of size and time. Call release when it is not needed any more, also after an
// error. Errors are errTooManyBodies, a *http.MaxBytesError or those of the connection.
func (a *api) readBody(w http.ResponseWriter, r *http.Request) (body []byte, release func(), err error) {
	controller := http.NewResponseController(w)
	// Writers that know no deadlines (those of tests) are bounded by whoever made them.
	if controller.SetReadDeadline(time.Now().Add(bodyTimeout)) == nil {
		defer func() { _ = controller.SetReadDeadline(time.Time{}) }()
	}
	var reserved int64
	release = func() { a.bodyBudget.release(reserved) }
	reserve := func(n int64) bool {
		if !a.bodyBudget.tryReserve(n) {
			return false
		}
		reserved += n
		return true
	}
	in := http.MaxBytesReader(w, r.Body, maxBodyBytes)
	if r.ContentLength >= 0 {
		if !reserve(r.ContentLength) {
			return nil, release, errTooManyBodies
		}
		body = make([]byte, r.ContentLength)
		_, err = io.ReadFull(in, body)
		return body, release, err
	}
	body, err = readChunks(in, reserve)
	return body, release, err
}

// readChunks reads to the end, and reserves room before it takes more.
func readChunks(in io.Reader, reserve func(int64) bool) ([]byte, error) {
	var body []byte
	for {
		if !reserve(bodyChunkBytes) {
			return nil, errTooManyBodies
		}
		body = slices.Grow(body, bodyChunkBytes)
		for end := len(body) + bodyChunkBytes; len(body) < end; {
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

// byteBudget bounds the bytes that all calls hold together.
type byteBudget struct {
	mu        sync.Mutex
	available int64
}

func (b *byteBudget) tryReserve(n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n > b.available {
		return false
	}
	b.available -= n
	return true
}

func (b *byteBudget) release(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.available += n
}
