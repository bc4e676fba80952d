package downstream

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http/httputil"
	"time"

	"sorrelrudder/internal/httpmsg"
	"sorrelrudder/internal/process"
)

// errTrailerTooLong is returned for a trailer section longer than maxTrailerBytes. The client is sent errMalformedBody instead.
var errTrailerTooLong = errors.New("trailer section of a chunked request body is too long")

// bodyReader reads the body of one request as it arrives. It implements httpmsg.BodyStream. Errors other than io.EOF are as those of
// requestReader.readRequest.
type bodyReader struct {
	requests *requestReader
	conn     net.Conn
	progress bodyProgress
	length   int64     // in bytes; -1: the body is chunked
	chunks   io.Reader // decodes a chunked body; nil for other bodies
	ended    bool      // the body is complete
}

func newBodyReader(r *requestReader, c net.Conn, q *clientRequest) *bodyReader {
	b := &bodyReader{requests: r, conn: c, length: q.Length}
	if q.chunked {
		b.length, b.chunks = -1, httputil.NewChunkedReader(r.buffered)
	}
	return b
}

// bodyProgress records how much of a body has been received, and how long the server has waited for it. The time in which the server did not
// read, because an endpoint takes the body slowly, is not the client's.
type bodyProgress struct {
	waited time.Duration
	bytes  int64
}

// tooSlow reports whether the average rate of the body is below minBodyBytesPerSecond, after bodyRateGrace.
func (p bodyProgress) tooSlow() bool {
	return p.waited > bodyRateGrace+time.Duration(p.bytes)*time.Second/minBodyBytesPerSecond
}

// Length implements httpmsg.BodyStream.
func (b *bodyReader) Length() int64 { return b.length }

// interrupt implements uploadBody.
func (b *bodyReader) interrupt() { b.conn.SetReadDeadline(time.Unix(1, 0)) }

// received implements uploadBody. The rest of a chunked body has no known length.
func (b *bodyReader) received() bool {
	left := b.length - b.progress.bytes
	return b.chunks == nil && left <= int64(b.requests.buffered.Buffered()+process.UnreadBytes(b.conn))
}

// Read implements httpmsg.BodyStream. It blocks only until at least one byte is available.
func (b *bodyReader) Read(p []byte) (int, error) {
	if b.ended {
		return 0, io.EOF
	}
	if len(p) == 0 {
		return 0, nil
	}
	now := time.Now()
	if b.requests.buffered.Buffered() == 0 {
		if b.progress.tooSlow() {
			return 0, errRequestTimeout
		}
		b.conn.SetReadDeadline(now.Add(bodyReadTimeout))
	}
	n, err := b.read(p)
	b.progress.waited += time.Since(now)
	b.progress.bytes += int64(n)
	switch {
	case b.progress.bytes > httpmsg.MaxBodyBytes:
		return 0, errBodyTooLong
	case isEOF(err) && b.ended, err == nil:
		return n, err
	}
	return n, readError(err, errMalformedBody)
}

// read reads a part of the body, and sets ended once the body is complete.
func (b *bodyReader) read(p []byte) (int, error) {
	if b.chunks != nil {
		return b.readChunked(p)
	}
	n, err := b.requests.buffered.Read(p[:min(int64(len(p)), b.length-b.progress.bytes)])
	b.ended = b.progress.bytes+int64(n) == b.length
	if n > 0 {
		err = nil
	}
	return n, err
}

// readChunked reads a part of a chunked body. It limits the read to the buffered bytes, because httputil's reader would block until the
// whole of a slow chunk has arrived.
func (b *bodyReader) readChunked(p []byte) (int, error) {
	buffered := b.requests.buffered
	if _, err := buffered.Peek(1); err != nil {
		return 0, err
	}
	n, err := b.chunks.Read(p[:min(len(p), buffered.Buffered())])
	if !isEOF(err) {
		return n, err
	}
	if err := b.skipTrailer(); err != nil {
		return n, err
	}
	b.ended = true
	return n, io.EOF
}

// skipTrailer reads and discards the trailer section after the last chunk.
func (b *bodyReader) skipTrailer() error {
	for left := maxTrailerBytes; ; {
		line, err := b.requests.buffered.ReadSlice('\n')
		if err != nil {
			return err
		}
		if left -= len(line); left < 0 {
			return errTrailerTooLong
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return nil
		}
	}
}
