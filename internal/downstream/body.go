package downstream

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http/httputil"
	"time"

	"sorrelrudder/internal/httpmsg"
)

// errTrailerTooLong is mapped to errMalformedBody for the client.
var errTrailerTooLong = errors.New("the trailer is too long")

// bodyReader reads the body of one request as it comes. It implements httpmsg.BodyStream. Its errors but io.EOF are as
// those of requestReader.readRequest.
type bodyReader struct {
	requests *requestReader
	conn     net.Conn
	progress bodyProgress
	length   int64     // -1: chunked
	chunks   io.Reader // of a chunked body
	ended    bool
}

func newBodyReader(r *requestReader, c net.Conn, q *clientRequest) *bodyReader {
	b := &bodyReader{requests: r, conn: c, length: q.Length, progress: bodyProgress{started: time.Now()}}
	if q.chunked {
		b.length, b.chunks = -1, httputil.NewChunkedReader(r.buffered)
	}
	return b
}

// bodyProgress is how much of a body has come since when.
type bodyProgress struct {
	started time.Time
	bytes   int64
}

// tooSlow reports whether the body has come at less than minBodyBytesPerSecond.
func (p bodyProgress) tooSlow(now time.Time) bool {
	return now.Sub(p.started) > bodyRateGrace+time.Duration(p.bytes)*time.Second/minBodyBytesPerSecond
}

// Length implements httpmsg.BodyStream.
func (b *bodyReader) Length() int64 { return b.length }

// Read implements httpmsg.BodyStream. It waits for one byte at most.
func (b *bodyReader) Read(p []byte) (int, error) {
	if b.ended {
		return 0, io.EOF
	}
	if len(p) == 0 {
		return 0, nil
	}
	if b.requests.buffered.Buffered() == 0 {
		now := time.Now()
		if b.progress.tooSlow(now) {
			return 0, errRequestTimeout
		}
		b.conn.SetReadDeadline(now.Add(bodyReadTimeout))
	}
	n, err := b.read(p)
	b.progress.bytes += int64(n)
	switch {
	case b.progress.bytes > httpmsg.MaxBodyBytes:
		return 0, errBodyTooLong
	case isEOF(err) && b.ended, err == nil:
		return n, err
	}
	return n, readError(err, errMalformedBody)
}

// read reads a part of the body, and sets ended with its last.
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

// readChunked reads from what is buffered alone: of a chunk that comes slowly httputil's reader would wait for the whole.
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

// skipTrailer reads and discards what follows the last chunk.
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
