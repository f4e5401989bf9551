package proxy

import (
	"sync"
	"sync/atomic"
)

const (
	bodiesShare = 5        // one part in so many of the memory is for bodies
	smallBody   = 4 << 10  // bytes; most fit
	largeBody   = 64 << 10 // bytes; long prompts fit
)

// budget bounds the bytes of bodies that are held over all requests.
type budget struct {
	room int64
	held atomic.Int64
}

func newBudget(room int64) *budget { return &budget{room: room} }

// take books n bytes, and tells whether there was room.
func (b *budget) take(n int64) bool {
	if b.held.Add(n) > b.room {
		b.held.Add(-n)
		return false
	}
	return true
}

func (b *budget) give(n int64) { b.held.Add(-n) }

var (
	smallBodies = sync.Pool{New: func() any { return new([smallBody]byte) }}
	largeBodies = sync.Pool{New: func() any { return new([largeBody]byte) }}
)

// bodyBuffer is an empty buffer with room for n bytes, and what gives it back.
func bodyBuffer(n int64) ([]byte, func()) {
	switch {
	case n <= 0:
		return nil, func() {}
	case n <= smallBody:
		b := smallBodies.Get().(*[smallBody]byte)
		return b[:0], func() { smallBodies.Put(b) }
	case n <= largeBody:
		b := largeBodies.Get().(*[largeBody]byte)
		return b[:0], func() { largeBodies.Put(b) }
	}
	return make([]byte, 0, n), func() {}
}
