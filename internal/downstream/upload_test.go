package downstream

import (
	"errors"
	"io"
	"testing"
	"time"

	"sorrelrudder/internal/process"
)

// scriptedBody is the body of an upload. Reads return what the test sends.
type scriptedBody struct {
	parts chan []byte // closed at the end of the body
	err   error       // after the last part
}

func (b *scriptedBody) Length() int64  { return -1 }
func (b *scriptedBody) interrupt()     {}
func (b *scriptedBody) received() bool { return false }

func (b *scriptedBody) Read(p []byte) (int, error) {
	part, ok := <-b.parts
	if !ok {
		return 0, b.err
	}
	return copy(p, part), nil
}

// newScriptedUpload returns an upload with a budget of the given number of blocks.
func newScriptedUpload(blocks int64, err error) (*upload, *scriptedBody, *process.BufferMemory) {
	memory := &process.BufferMemory{}
	memory.Resize(blocks * copyBufferBytes)
	body := &scriptedBody{parts: make(chan []byte), err: err}
	return newUpload(body, memory, newTransferThrottle()), body, memory
}

// TestUploadIsReceivedAheadWithinItsMemory guards against an endpoint that reads slowly holding up the end of a body, against bodies without
// a bound in memory, and against memory that is not released.
func TestUploadIsReceivedAheadWithinItsMemory(t *testing.T) {
	u, body, memory := newScriptedUpload(4, io.EOF)
	block := make([]byte, copyBufferBytes)
	for range 2 { // two of four: as much as is left
		body.parts <- block
	}
	select {
	case body.parts <- block:
		t.Error("a third block was received, want two")
	case <-time.After(10 * receivedPollInterval):
	}
	ended := make(chan error, 1)
	u.OnEnd(func(_ time.Time, err error) { ended <- err })
	if _, err := u.Next(); err != nil {
		t.Fatal(err)
	}
	if _, err := u.Next(); err != nil { // makes room for the first
		t.Fatal(err)
	}
	close(body.parts)
	if err := <-ended; err != nil {
		t.Errorf("the end was reported with %v, want no error", err)
	}
	if _, err := u.Next(); !isEOF(err) {
		t.Errorf("got %v after the last block, want the end", err)
	}
	if !u.stop() {
		t.Error("the body counts as incomplete")
	}
	u.discard()
	if !memory.Acquire(0, 2*copyBufferBytes) {
		t.Error("memory was not released")
	}
}

// TestBrokenUploadEndsAtOnce guards against forwarding the rest of a body that cannot become complete.
func TestBrokenUploadEndsAtOnce(t *testing.T) {
	broken := errors.New("the client has left")
	u, body, memory := newScriptedUpload(4, broken)
	ended := make(chan error, 1)
	u.OnEnd(func(_ time.Time, err error) { ended <- err })
	body.parts <- make([]byte, copyBufferBytes)
	body.parts <- make([]byte, copyBufferBytes-1)
	close(body.parts)
	if err := <-ended; !errors.Is(err, broken) {
		t.Errorf("the end was reported with %v, want %v", err, broken)
	}
	if part, err := u.Next(); len(part) != 0 || !errors.Is(err, broken) {
		t.Errorf("got %d bytes and %v, want %v", len(part), err, broken)
	}
	u.stop()
	u.discard()
	if !memory.Acquire(0, 2*copyBufferBytes) {
		t.Error("memory was not released")
	}
}
