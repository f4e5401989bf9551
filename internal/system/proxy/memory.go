package proxy

import (
	"sync"
	"sync/atomic"
)

const (
	bodyMemoryDivisor = 5        // one part in so many of the process's memory is for bodies
	smallBufferBytes  = 4 << 10  // most bodies fit
	largeBufferBytes  = 64 << 10 // long prompts fit
)

// memoryBudget bounds the bytes of bodies that are buffered over all requests. It is safe for concurrent use.
type memoryBudget struct {
	capacity int64 // bytes
	reserved atomic.Int64
}

func newMemoryBudget(capacity int64) *memoryBudget { return &memoryBudget{capacity: capacity} }

// reserve takes size bytes from the budget and reports whether it had them.
func (b *memoryBudget) reserve(size int64) bool {
	if b.reserved.Add(size) > b.capacity {
		b.reserved.Add(-size)
		return false
	}
	return true
}

// release returns bytes to the budget.
func (b *memoryBudget) release(size int64) { b.reserved.Add(-size) }

var (
	smallBuffers = sync.Pool{New: func() any { return new([smallBufferBytes]byte) }}
	largeBuffers = sync.Pool{New: func() any { return new([largeBufferBytes]byte) }}
)

// getBuffer returns an empty buffer with capacity for size bytes, and a function that gives it back to its pool.
func getBuffer(size int64) (buffer []byte, recycle func()) {
	switch {
	case size <= 0:
		return nil, func() {}
	case size <= smallBufferBytes:
		array := smallBuffers.Get().(*[smallBufferBytes]byte)
		return array[:0], func() { smallBuffers.Put(array) }
	case size <= largeBufferBytes:
		array := largeBuffers.Get().(*[largeBufferBytes]byte)
		return array[:0], func() { largeBuffers.Put(array) }
	}
	return make([]byte, 0, size), func() {}
}
