package downstream

import (
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"sorrelrudder/internal/httpmsg"
	"sorrelrudder/internal/process"
)

// errResponseSent is returned by reads of an upload whose request already has its response.
var errResponseSent = errors.New("request body not read to its end: the response has already been received")

// uploadBody is a request's body that is read as it arrives.
type uploadBody interface {
	httpmsg.BodyStream
	// interrupt makes a Read that waits for the client return. It may be called concurrently with Read.
	interrupt()
	// received reports whether the rest of the body has arrived and waits to be read. It is not called concurrently with Read.
	received() bool
}

// uploadBlock holds a part of a body. The goroutine that receives the body writes behind end, without the upload's lock.
type uploadBlock struct {
	streamBuffer
	start, end int // of the bytes that have been received and not yet taken
}

// empty reports whether there is nothing to take.
func (b *uploadBlock) empty() bool { return b.start == b.end }

// upload is the remainder of a request's body. A goroutine of its own receives it from the client, ahead of the goroutine that sends it to an
// endpoint: the time of a request counts from when the client has sent it, however slowly the endpoint reads. An upload always has a block, however
// small; its memory comes from a budget. It implements httpmsg.RequestStream.
type upload struct {
	body     uploadBody
	memory   *process.BufferMemory
	throttle *transferThrottle
	stopping atomic.Bool
	done     chan struct{} // closed once receiving has ended, with the body complete or not

	mu       sync.Mutex
	changed  sync.Cond // blocks or err have changed, or the upload stops
	blocks   []*uploadBlock
	lastPart int       // length of the part that the last call of Next returned
	takenAt  time.Time // when it returned that part; only Next uses it
	held     int64     // bytes of the blocks
	err      error     // error that ended receiving; io.EOF: the body is complete
	endedAt  time.Time // when the last byte was received, or err was set; zero: not yet
	onEnd    func(at time.Time, err error)
}

// newUpload starts to receive a body. The caller must call stop.
func newUpload(b uploadBody, memory *process.BufferMemory, throttle *transferThrottle) *upload {
	u := &upload{body: b, memory: memory, throttle: throttle, done: make(chan struct{})}
	u.changed.L = &u.mu
	go u.receive()
	return u
}

// Length implements httpmsg.BodyStream.
func (u *upload) Length() int64 { return u.body.Length() }

// OnEnd implements httpmsg.RequestStream.
func (u *upload) OnEnd(f func(at time.Time, err error)) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.onEnd = f
	u.notifyEnd()
}

// Next implements httpmsg.RequestStream. What has been received of a body that is not complete is of no use.
func (u *upload) Next() ([]byte, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.lastPart > 0 {
		u.releasePart()
		u.mu.Unlock()
		u.throttle.pause(u.takenAt)
		u.mu.Lock()
	}
	for u.nothingToTake() && u.err == nil {
		u.changed.Wait()
	}
	if u.nothingToTake() || u.err != nil && !isEOF(u.err) {
		return nil, u.err
	}
	first := u.blocks[0]
	part := first.bytes[first.start:first.end]
	u.lastPart, u.takenAt = len(part), time.Now()
	return part, nil
}

// releasePart makes room for the part that the last call of Next returned. The caller holds mu.
func (u *upload) releasePart() {
	u.blocks[0].start += u.lastPart
	u.lastPart = 0
	if u.blocks[0].empty() && len(u.blocks) > 1 {
		u.dropBlock()
	}
	u.changed.Broadcast()
}

// nothingToTake reports whether all that has been received was taken. The caller holds mu.
func (u *upload) nothingToTake() bool { return len(u.blocks) == 0 || u.blocks[0].empty() }

// receive receives the body until it ends.
func (u *upload) receive() {
	defer close(u.done)
	for {
		block := u.awaitSpace()
		if block == nil {
			u.finish(errResponseSent)
			return
		}
		begin := time.Now()
		n, err := u.body.Read(block.bytes[block.end:])
		u.extend(block, n)
		if err != nil {
			u.finish(err)
			return
		}
		u.throttle.pause(begin)
	}
}

// awaitSpace returns the last block once it has space for the next part of the body. It waits while the body holds all the memory that it may,
// and returns nil once the upload stops.
func (u *upload) awaitSpace() *uploadBlock {
	u.mu.Lock()
	defer u.mu.Unlock()
	for !u.stopping.Load() {
		if block := u.blockWithSpace(); block != nil {
			return block
		}
		if u.endedAt.IsZero() && u.body.received() {
			u.recordEnd()
		}
		u.awaitChange(receivedPollInterval)
	}
	return nil
}

// blockWithSpace returns the last block, or a new one if that is full. It returns nil if there is no memory for a new one. The caller holds mu.
func (u *upload) blockWithSpace() *uploadBlock {
	if len(u.blocks) == 0 {
		return u.addBlock(newStreamBuffer(u.memory))
	}
	last := u.blocks[len(u.blocks)-1]
	if last.empty() {
		last.start, last.end = 0, 0
	}
	if last.end < len(last.bytes) {
		return last
	}
	buffer, ok := acquireStreamBuffer(u.memory, u.held)
	if !ok {
		return nil
	}
	return u.addBlock(buffer)
}

// addBlock appends an empty block. The caller holds mu.
func (u *upload) addBlock(buffer streamBuffer) *uploadBlock {
	block := &uploadBlock{streamBuffer: buffer}
	u.blocks = append(u.blocks, block)
	u.held += int64(len(buffer.bytes))
	return block
}

// awaitChange waits until the upload changes, but no longer than timeout. The caller holds mu.
func (u *upload) awaitChange(timeout time.Duration) {
	wake := time.AfterFunc(timeout, u.changed.Broadcast)
	defer wake.Stop()
	u.changed.Wait()
}

// extend records that n bytes have been received into a block.
func (u *upload) extend(block *uploadBlock, n int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	block.end += n
	u.changed.Broadcast()
}

// dropBlock removes the first block and releases its memory. The caller holds mu.
func (u *upload) dropBlock() {
	u.held -= int64(len(u.blocks[0].bytes))
	u.blocks[0].release(u.memory)
	u.blocks = u.blocks[1:]
	u.changed.Broadcast()
}

// finish records the error that ended receiving.
func (u *upload) finish(err error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !isEOF(err) {
		if u.stopping.Load() {
			err = errResponseSent
		}
		err = fmt.Errorf("read remainder of a request body: %w", err)
	}
	u.err = err
	u.recordEnd()
	u.changed.Broadcast()
}

// recordEnd records that the body has been received, or that it never will be. The caller holds mu.
func (u *upload) recordEnd() {
	if u.endedAt.IsZero() {
		u.endedAt = time.Now()
	}
	u.notifyEnd()
}

// notifyEnd calls onEnd if receiving has ended. The caller holds mu.
func (u *upload) notifyEnd() {
	f := u.onEnd
	if f == nil || u.endedAt.IsZero() {
		return
	}
	if u.err == nil || isEOF(u.err) {
		f(u.endedAt, nil)
		return
	}
	u.onEnd = nil
	f(u.endedAt, u.err)
}

// stop ends receiving, and reports whether the body was received completely; what was received can still be read then. Once it returns, nothing
// reads from the client any more.
func (u *upload) stop() (complete bool) {
	u.stopping.Store(true)
	// receive may set its own deadline after the one below. It then either sees stopping, or is interrupted by the next iteration.
	for {
		u.body.interrupt()
		u.changed.Broadcast()
		select {
		case <-u.done:
		case <-time.After(time.Millisecond):
			continue
		}
		break
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	return isEOF(u.err)
}

// discard releases the memory of an upload that has been stopped. Next fails from then on; a part that is in use stays valid.
func (u *upload) discard() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.lastPart > 0 { // it is left to the garbage collector
		u.blocks[0].forget(u.memory)
		u.blocks, u.lastPart = u.blocks[1:], 0
	}
	for len(u.blocks) > 0 {
		u.dropBlock()
	}
	u.err = errResponseSent
	u.changed.Broadcast()
}
