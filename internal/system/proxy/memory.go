package proxy

import (
	"sync"
	"sync/atomic"
)

const (
	bodyMemoryDivisor = 5        // one part in so many of the memory is for bodies
	smallBufferBytes  = 4 << 10  // bytes; most fit
	largeBufferBytes  = 64 << 10 // bytes; long prompts fit
)

// memoryBudget bounds the bytes of bodies that are held over all requests.
type memoryBudget struct {
	capacity int64
	reserved atomic.Int64
}

func newMemoryBudget(capacity int64) *memoryBudget { return &memoryBudget{capacity: capacity} }

// reserve books n bytes, and tells whether there was room.
func (b *memoryBudget) reserve(n int64) bool {
	if b.reserved.Add(n) > b.capacity {
		b.reserved.Add(-n)
		return false
	}
	return true
}

func (b *memoryBudget) release(n int64) { b.reserved.Add(-n) }

var (
	smallBuffers = sync.Pool{New: func() any { return new([smallBufferBytes]byte) }}
	largeBuffers = sync.Pool{New: func() any { return new([largeBufferBytes]byte) }}
)

// getBuffer is an empty buffer with room for n bytes, and what gives it back.
func getBuffer(n int64) ([]byte, func()) {
	switch {
	case n <= 0:
		return nil, func() {}
	case n <= smallBufferBytes:
		b := smallBuffers.Get().(*[smallBufferBytes]byte)
		return b[:0], func() { smallBuffers.Put(b) }
	case n <= largeBufferBytes:
		b := largeBuffers.Get().(*[largeBufferBytes]byte)
		return b[:0], func() { largeBuffers.Put(b) }
	}
	return make([]byte, 0, n), func() {}
}
