package downstream

import (
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// errResponseSent is the error of reading an upload whose request has its response.
var errResponseSent = errors.New("the request has its answer")

// upload is the remainder of a request's body, read by the goroutine that sends it to a server while the connection's
// goroutine waits for the response. It implements httpmsg.BodyStream.
type upload struct {
	*bodyReader
	stopping atomic.Bool
	done     chan struct{} // closed once reading has ended, with the body complete or not

	mu  sync.Mutex // held during a Read; guards err
	err error      // how reading has ended; io.EOF: the body is complete
}

func newUpload(b *bodyReader) *upload { return &upload{bodyReader: b, done: make(chan struct{})} }

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
	n, err := u.bodyReader.Read(p)
	if err == nil {
		return n, nil
	}
	if !isEOF(err) && u.stopping.Load() {
		err = errResponseSent
	}
	return n, u.finish(err)
}

// finish notes how reading has ended. The caller holds mu.
func (u *upload) finish(err error) error {
	if !isEOF(err) {
		err = fmt.Errorf("the rest of a body: %w", err)
	}
	u.err = err
	close(u.done)
	return err
}

// stop ends the reading, and reports whether the body was complete. Nothing reads from the connection any more once it
// returns.
func (u *upload) stop() (complete bool) {
	u.stopping.Store(true)
	// A Read that set its own deadline after this one looks at stopping next, or is ended by the next turn.
	for {
		u.conn.SetReadDeadline(time.Unix(1, 0))
		if u.mu.TryLock() {
			break
		}
		time.Sleep(time.Millisecond)
	}
	defer u.mu.Unlock()
	return isEOF(u.err)
}
