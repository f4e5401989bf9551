package link

import (
	"errors"
	"net"
	"syscall"
	"time"
)

// The bounds of the delay before a socket is used again that returned an error. It doubles with each error in a row.
const (
	minRetryDelay = 5 * time.Millisecond
	maxRetryDelay = time.Second
)

// Retry says whether a socket that returned an error is to be used again. A socket outlives errors such as a want of descriptors, which last until
// somebody else closes some: a loop that ended by one would end for good, and one that went on at once would keep a core busy. It is used by one
// goroutine.
type Retry struct {
	// Stop ends a delay as soon as it is closed; nil: nothing does.
	Stop <-chan struct{}
	// OnError is called with the first error of those in a row; nil: nobody is told.
	OnError func(error)

	failures int // in a row
}

// After waits after an error of the socket, and reports whether the socket is to be used again: false says that it was closed, or that Stop was.
// Errors of a single connection or packet, which the next one need not have, are neither waited for nor told.
func (r *Retry) After(err error) (again bool) {
	if errors.Is(err, net.ErrClosed) {
		return false
	}
	if errors.Is(err, syscall.ECONNABORTED) || errors.Is(err, syscall.ECONNREFUSED) {
		return true
	}
	if r.failures == 0 && r.OnError != nil {
		r.OnError(err)
	}
	delay := time.NewTimer(min(minRetryDelay<<min(r.failures, maxDoublings), maxRetryDelay))
	defer delay.Stop()
	r.failures++
	select {
	case <-delay.C:
		return true
	case <-r.Stop:
		return false
	}
}

// maxDoublings is after how many errors in a row the delay has reached maxRetryDelay.
const maxDoublings = 8

// Reset says that the socket has been used without an error.
func (r *Retry) Reset() { r.failures = 0 }
