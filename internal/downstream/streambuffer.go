package downstream

import (
	"sync"

	"sorrelrudder/internal/process"
)

// copyBuffers pools the buffers of long bodies.
var copyBuffers = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}

// streamBuffer is a buffer through which a long body passes. A small one stands outside the budget, so that each body makes progress.
type streamBuffer struct {
	bytes  []byte
	small  bool
	pooled *[copyBufferBytes]byte // nil if small
}

// newStreamBuffer returns a buffer for a body that holds none yet. It is small if memory has no more.
func newStreamBuffer(memory *process.BufferMemory) streamBuffer {
	if buffer, ok := acquireStreamBuffer(memory, 0); ok {
		return buffer
	}
	return streamBuffer{bytes: make([]byte, minBufferBytes), small: true}
}

// acquireStreamBuffer returns a further buffer for a body that holds the given number of bytes, unless memory has no more for that body.
func acquireStreamBuffer(memory *process.BufferMemory, held int64) (buffer streamBuffer, ok bool) {
	if !memory.Acquire(held, copyBufferBytes) {
		return streamBuffer{}, false
	}
	pooled := copyBuffers.Get().(*[copyBufferBytes]byte)
	return streamBuffer{bytes: pooled[:], pooled: pooled}, true
}

// release returns the buffer, which must not be used any more.
func (b *streamBuffer) release(memory *process.BufferMemory) {
	if !b.small {
		copyBuffers.Put(b.pooled)
	}
	b.forget(memory)
}

// forget returns the memory of a buffer that may still be in use to the budget.
func (b *streamBuffer) forget(memory *process.BufferMemory) {
	if !b.small {
		memory.Release(copyBufferBytes)
	}
}
