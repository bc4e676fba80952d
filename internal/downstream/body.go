package downstream

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http/httputil"
	"sync"
	"sync/atomic"
	"time"

	"sorrelrudder/internal/httpmsg"
)

const (
	// bodyReadTimeout is how long a body may stand still.
	bodyReadTimeout = time.Second
	// minBodyBytesPerSecond is how many bytes a second a body must bring on the whole, beyond bodyGrace: half of what the slowest client
	// sends. It guards against clients that hold a connection, a server and a descriptor with a byte now and then.
	minBodyBytesPerSecond = 32 << 10
	bodyRateGrace         = 1500 * time.Millisecond
	// maxTrailerBytes bounds what follows a chunked body.
	maxTrailerBytes = 1 << 10
)

// bodyReader reads the body of one request as it comes. Its errors but io.EOF are as those of requestReader.read.
type bodyReader struct {
	requests  *requestReader
	conn      net.Conn
	length    int64     // -1: chunked
	chunks    io.Reader // of a chunked one
	bytesRead int64     // bytes read
	started   time.Time
	ended     bool
}

func newBodyReader(r *requestReader, c net.Conn, q *clientRequest) *bodyReader {
	b := &bodyReader{requests: r, conn: c, length: q.Length, started: time.Now()}
	if q.chunked {
		b.length, b.chunks = -1, httputil.NewChunkedReader(r.buffered)
	}
	return b
}

// Length is the method of httpmsg.BodyStream.
func (b *bodyReader) Length() int64 { return b.length }

// Read is the method of httpmsg.BodyStream. It waits for one byte at most: of a chunk that comes slowly the reader of chunks would
// wait for the whole.
func (b *bodyReader) Read(p []byte) (int, error) {
	if b.ended {
		return 0, io.EOF
	}
	if len(p) == 0 {
		return 0, nil
	}
	if b.requests.buffered.Buffered() == 0 {
		now := time.Now()
		if now.Sub(b.started) > bodyRateGrace+time.Duration(b.bytesRead)*time.Second/minBodyBytesPerSecond {
			return 0, errRequestTimeout
		}
		b.conn.SetReadDeadline(now.Add(bodyReadTimeout))
	}
	n, err := b.read(p)
	b.bytesRead += int64(n)
	switch {
	case b.bytesRead > httpmsg.MaxBodyBytes:
		return 0, errBodyTooLong
	case err == io.EOF && b.ended, err == nil:
		return n, err
	}
	return n, readError(err, errMalformedBody)
}

func (b *bodyReader) read(p []byte) (int, error) {
	if b.chunks == nil {
		n, err := b.requests.buffered.Read(p[:min(int64(len(p)), b.length-b.bytesRead)])
		b.ended = b.bytesRead+int64(n) == b.length
		if n > 0 {
			err = nil
		}
		return n, err
	}
	if _, err := b.requests.buffered.Peek(1); err != nil {
		return 0, err
	}
	n, err := b.chunks.Read(p[:min(len(p), b.requests.buffered.Buffered())])
	if err != io.EOF {
		return n, err
	}
	if err := b.skipTrailer(); err != nil {
		return n, err
	}
	b.ended = true
	return n, io.EOF
}

// skipTrailer reads over what follows the last chunk.
func (b *bodyReader) skipTrailer() error {
	for left := maxTrailerBytes; ; {
		line, err := b.requests.buffered.ReadSlice('\n')
		if err != nil {
			return err
		}
		if left -= len(line); left < 0 {
			return errors.New("the trailer is too long")
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return nil
		}
	}
}

// upload is the rest of a long body on its way to a server. Its connection's goroutine waits for the answer meanwhile, and
// stops it before it reads on.
type upload struct {
	*bodyReader
	stopping atomic.Bool
	done     chan struct{} // closed once it has ended, whole or not

	mu  sync.Mutex
	err error // io.EOF: it was whole
}

func newUpload(b *bodyReader) *upload { return &upload{bodyReader: b, done: make(chan struct{})} }

// errResponseSent is what is read of an upload whose request has its answer.
var errResponseSent = errors.New("the request has its answer")

// Read is the method of httpmsg.BodyStream.
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
	if err != nil && err != io.EOF && u.stopping.Load() {
		err = errResponseSent
	}
	if err != nil {
		return n, u.finish(err)
	}
	return n, nil
}

// finish notes how the upload ended. The caller holds mu.
func (u *upload) finish(err error) error {
	if err != io.EOF {
		err = fmt.Errorf("the rest of a body: %w", err)
	}
	u.err = err
	close(u.done)
	return err
}

// stop ends the reading, and reports whether the body was whole. Nobody reads from the connection any more once it returns.
func (u *upload) stop() (whole bool) {
	u.stopping.Store(true)
	// Read sets its deadline before it looks at stopping again, or sees it set; so a wait that began before ends here.
	for {
		u.conn.SetReadDeadline(time.Unix(1, 0))
		if u.mu.TryLock() {
			break
		}
		time.Sleep(time.Millisecond)
	}
	defer u.mu.Unlock()
	return u.err == io.EOF
}
