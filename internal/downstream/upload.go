package downstream

import (
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"sorrelrudder/internal/httpmsg"
)

// errResponseSent is returned by reads of an upload whose request already has its response.
var errResponseSent = errors.New("request body not read to its end: the response has already been received")

// uploadBody is a request's body that is read as it arrives.
type uploadBody interface {
	httpmsg.BodyStream
	// interrupt makes a Read that waits for the client return. It may be called concurrently with Read.
	interrupt()
}

// upload is the remainder of a request's body. The goroutine that sends the body to an endpoint reads it while the connection's goroutine
// waits for the response. It implements httpmsg.BodyStream.
type upload struct {
	body     uploadBody
	stopping atomic.Bool
	done     chan struct{} // closed once reading has ended, with the body complete or not

	mu  sync.Mutex // held during a Read; guards err
	err error      // error that ended reading; io.EOF: the body is complete
}

func newUpload(b uploadBody) *upload { return &upload{body: b, done: make(chan struct{})} }

// Length implements httpmsg.BodyStream.
func (u *upload) Length() int64 { return u.body.Length() }

// Read implements httpmsg.BodyStream.
func (u *upload) Read(p []byte) (int, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.err != nil {
		return 0, u.err
	}
	if u.stopping.Load() {
		return 0, u.finish(errResponseSent)
	}
	n, err := u.body.Read(p)
	if err == nil {
		return n, nil
	}
	if !isEOF(err) && u.stopping.Load() {
		err = errResponseSent
	}
	return n, u.finish(err)
}

// finish records the error that ended reading, and closes done. The caller holds mu.
func (u *upload) finish(err error) error {
	if !isEOF(err) {
		err = fmt.Errorf("read remainder of a request body: %w", err)
	}
	u.err = err
	close(u.done)
	return err
}

// stop ends reading, and reports whether the body was complete. Once it returns, no goroutine reads the body any more.
func (u *upload) stop() (complete bool) {
	u.stopping.Store(true)
	// A concurrent Read may set its own deadline after the one below. It then either sees stopping, or is interrupted by the next
	// iteration.
	for {
		u.body.interrupt()
		if u.mu.TryLock() {
			break
		}
		time.Sleep(time.Millisecond)
	}
	defer u.mu.Unlock()
	return isEOF(u.err)
}
