package upstream

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"sorrelrudder/internal/httpmsg"
)

const (
	// bodySendTimeout is how long an endpoint may take nothing of a long body.
	bodySendTimeout = 5 * time.Second
	// streamBufferBytes is how much of a long body is forwarded at a time.
	streamBufferBytes = 32 << 10
)

// streamBuffers are the buffers of long bodies.
var streamBuffers = sync.Pool{New: func() any { return new([streamBufferBytes]byte) }}

// SendStreamedBody writes the rest of the request that was sent last, as it comes and however long that takes; its response has then
// until the time that deadline returns. The error is a NotWrittenError or a RequestBodyError.
func (c *Conn) SendStreamedBody(body httpmsg.BodyStream, deadline func() time.Time) error {
	buffer := streamBuffers.Get().(*[streamBufferBytes]byte)
	defer streamBuffers.Put(buffer)
	c.SetDeadline(time.Time{})
	chunked := body.Length() < 0
	for {
		n, err := body.Read(buffer[:])
		ended := err == io.EOF //nolint:errorlint // a wrapped EOF is a body that broke off, not its end
		if err != nil && !ended {
			return RequestBodyError{Err: err}
		}
		c.bufferPart(buffer[:n], chunked, ended)
		if c.writer.Buffered() > 0 || n > 0 {
			if err := c.flushPart(); err != nil {
				return NotWrittenError{Err: err}
			}
		}
		if ended {
			c.deadline = deadline()
			c.SetDeadline(c.deadline)
			return nil
		}
	}
}

// bufferPart writes a part of a body to the write buffer, which keeps an error for its Flush.
func (c *Conn) bufferPart(part []byte, chunked, last bool) {
	if !chunked {
		_, _ = c.writer.Write(part)
		return
	}
	if len(part) > 0 {
		_, _ = c.writer.Write(strconv.AppendInt(c.writer.AvailableBuffer(), int64(len(part)), 16))
		_, _ = c.writer.WriteString("\r\n")
		_, _ = c.writer.Write(part)
		_, _ = c.writer.WriteString("\r\n")
	}
	if last {
		_, _ = c.writer.WriteString("0\r\n\r\n")
	}
}

// flushPart sends what is in the write buffer. The error is ErrEarlyResponse if the endpoint has sent something meanwhile.
func (c *Conn) flushPart() error {
	if !c.nothingToRead() {
		return ErrEarlyResponse
	}
	c.SetWriteDeadline(time.Now().Add(bodySendTimeout))
	return c.writer.Flush()
}

// Body reads the body of a response as it comes.
type Body struct {
	conn     *Conn
	response *http.Response
	chunked  bool
}

// Body returns the body of a response, the head of which was received last.
func (c *Conn) Body(response *http.Response) *Body {
	c.readBudget = 2 * httpmsg.MaxBodyBytes // chunks have some bytes beside the body's
	return &Body{conn: c, response: response, chunked: len(response.TransferEncoding) > 0}
}

// Read reads what has come, and waits for one byte at most: for no longer than stall, or until deadline if there is one. The reader of
// chunks would wait for the whole of p.
func (b *Body) Read(p []byte, stall time.Duration, deadline time.Time) (int, error) {
	c := b.conn
	if c.reader.Buffered() == 0 {
		until := time.Now().Add(stall)
		if !deadline.IsZero() {
			until = earlier(deadline, until)
		}
		c.SetReadDeadline(until)
		if err := b.awaitChunk(); err != nil {
			return 0, err
		}
	}
	if b.chunked {
		p = p[:min(len(p), c.reader.Buffered())]
	}
	return b.response.Body.Read(p)
}

// awaitChunk waits for the next byte of a body that is sent in chunks.
func (b *Body) awaitChunk() error {
	if !b.chunked {
		return nil
	}
	_, err := b.conn.reader.Peek(1)
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF // the last chunk is still to come
	}
	return err
}
