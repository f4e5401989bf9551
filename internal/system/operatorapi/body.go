package operatorapi

import (
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// bodyChunkBytes is the number of bytes that are reserved at a time for a body of unknown length.
const bodyChunkBytes = 64 << 10

// errTooManyBodies is returned if the bodies of all requests together would exceed maxTotalBodyBytes.
var errTooManyBodies = errors.New("this keeper holds too many bodies: send the change again, or to another keeper")

// readBody reads a body within the bounds of size and time. The caller must release the reservation once it no longer needs the
// body, even after an error. An error is errTooManyBodies, a *http.MaxBytesError or an error of the connection.
func (a *api) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *reservation, error) {
	defer setReadTimeout(w, bodyTimeout)()
	reserved := &reservation{budget: &a.bodyBudget}
	limited := http.MaxBytesReader(w, r.Body, maxBodyBytes)
	if r.ContentLength < 0 {
		body, err := readChunks(limited, reserved)
		return body, reserved, err
	}
	if !reserved.tryGrow(r.ContentLength) {
		return nil, reserved, errTooManyBodies
	}
	body := make([]byte, r.ContentLength)
	_, err := io.ReadFull(limited, body)
	return body, reserved, err
}

// setReadTimeout bounds the time for reading a request's body until the returned function removes the bound. It has no effect on
// writers without support for deadlines, such as those of tests.
func setReadTimeout(w http.ResponseWriter, timeout time.Duration) (cancel func()) {
	controller := http.NewResponseController(w)
	if controller.SetReadDeadline(time.Now().Add(timeout)) != nil {
		return func() {}
	}
	return func() { _ = controller.SetReadDeadline(time.Time{}) }
}

// readChunks reads a body of unknown length to its end and reserves capacity before it reads each chunk.
func readChunks(in io.Reader, reserved *reservation) ([]byte, error) {
	var body []byte
	for {
		if !reserved.tryGrow(bodyChunkBytes) {
			return nil, errTooManyBodies
		}
		body = slices.Grow(body, bodyChunkBytes)
		for end := len(body) + bodyChunkBytes; len(body) < end; {
			n, err := in.Read(body[len(body):end])
			body = body[:len(body)+n]
			if errors.Is(err, io.EOF) {
				return slices.Clone(body), nil // the state retains the body, so unused capacity is dropped
			}
			if err != nil {
				return nil, err
			}
		}
	}
}

// reservation is the part of a byteBudget that one request has taken.
type reservation struct {
	budget *byteBudget
	bytes  int64
}

// tryGrow reserves more bytes and reports whether the budget had enough.
func (r *reservation) tryGrow(bytes int64) bool {
	if !r.budget.tryReserve(bytes) {
		return false
	}
	r.bytes += bytes
	return true
}

func (r *reservation) release() { r.budget.release(r.bytes) }

// byteBudget bounds the memory of all bodies together. It is safe for concurrent use.
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
