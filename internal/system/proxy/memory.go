package proxy

import (
	"sync"
	"sync/atomic"
)

const (
	bodyMemoryDivisor = 5        // 1/bodyMemoryDivisor of the process's memory is for bodies
	smallBufferBytes  = 4 << 10  // large enough for most bodies
	largeBufferBytes  = 64 << 10 // large enough for long prompts
)

// memoryBudget bounds the total size of the bodies buffered for all requests. It is safe for concurrent use.
type memoryBudget struct {
	capacity int64 // bytes
	reserved atomic.Int64
}

func newMemoryBudget(capacity int64) *memoryBudget { return &memoryBudget{capacity: capacity} }

// reserve takes size bytes from the budget. It returns false and takes none if fewer are left.
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

// getBuffer returns an empty buffer with capacity for size bytes, and a function that returns the buffer to its pool.
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
