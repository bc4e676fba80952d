package upstream

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"sorrelrudder/internal/httpmsg"
)

// bodySendTimeout bounds the sending of each part of a long body: how long an endpoint may accept no data.
const bodySendTimeout = 5 * time.Second

// SendStreamedBody writes the rest of the request that was sent last, as it is received from the client. Its total time is bounded only by
// timeout from when the client has sent the last byte, since the client waits for the response from then on. Once the body is sent, sent is
// called with that time, by which the exchange must end. The error is a NotWrittenError or a RequestBodyError.
func (c *Conn) SendStreamedBody(body httpmsg.RequestStream, timeout time.Duration, sent func(expires time.Time)) error {
	c.SetDeadline(time.Time{})
	bound := &sendBound{conn: c.Conn, timeout: timeout}
	body.OnEnd(bound.bodyEnded)
	chunked := body.Length() < 0
	for {
		part, err := body.Next()
		ended := err == io.EOF //nolint:errorlint // a wrapped EOF means a truncated body
		if err != nil && !ended {
			return RequestBodyError{Err: err}
		}
		c.bufferPart(part, chunked, ended)
		if c.writer.Buffered() > 0 || len(part) > 0 {
			if err := c.flushPart(bound); err != nil {
				return bound.classify(err)
			}
		}
		if ended {
			c.deadline = bound.expires()
			c.SetDeadline(c.deadline)
			sent(c.deadline)
			return nil
		}
	}
}

// sendBound bounds the sending of a body whose end may become known while a part of it is being written.
type sendBound struct {
	conn    net.Conn
	timeout time.Duration // from when the body has been received

	mu      sync.Mutex
	end     time.Time // until when the body may be sent; zero: not known
	bodyErr error     // the body cannot be received completely
}

// bodyEnded is called when the body has been received, or cannot be received any more.
func (b *sendBound) bodyEnded(at time.Time, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bodyErr, b.end = err, at.Add(b.timeout)
	if err != nil {
		b.end = at
	}
	b.conn.SetWriteDeadline(b.end)
}

// beginPart sets the deadline for the next part.
func (b *sendBound) beginPart() {
	b.mu.Lock()
	defer b.mu.Unlock()
	until := time.Now().Add(bodySendTimeout)
	if !b.end.IsZero() {
		until = earlier(until, b.end)
	}
	b.conn.SetWriteDeadline(until)
}

// expires returns the time until which the body may be sent.
func (b *sendBound) expires() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.end
}

// classify returns the error of SendStreamedBody for the error of a write.
func (b *sendBound) classify(err error) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.bodyErr != nil {
		return RequestBodyError{Err: b.bodyErr}
	}
	return NotWrittenError{Err: err}
}

// bufferPart writes a part of a body to the write buffer, as a chunk if chunked is set. An error of the buffer is returned by its next
// Flush.
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

// flushPart sends the contents of the write buffer. It returns ErrEarlyResponse if the endpoint has already sent data or closed the
// connection.
func (c *Conn) flushPart(bound *sendBound) error {
	if !c.nothingToRead() {
		return ErrEarlyResponse
	}
	bound.beginPart()
	return c.writer.Flush()
}

// Body reads the body of a response as it is received.
type Body struct {
	conn     *Conn
	response *http.Response
	chunked  bool
	inMemory bool // there is nothing to read from the connection
}

// Body returns a reader of the body of response, whose head was received last.
func (c *Conn) Body(response *http.Response) *Body {
	c.readBudget = 2 * httpmsg.MaxBodyBytes // twice the bound, since chunked encoding adds bytes to the body
	return &Body{
		conn: c, response: response, chunked: len(response.TransferEncoding) > 0, inMemory: c.bodyRead || response.Body == http.NoBody,
	}
}

// Read returns the bytes that have been received. If there are none, it waits for the first one until firstByte; the error is then
// os.ErrDeadlineExceeded, and Read may be called again. What a chunked body needs further, such as the rest of a chunk's size, has until rest
// to arrive. Read limits p for a chunked body, since the standard library's chunked reader would wait until p is full.
func (b *Body) Read(p []byte, firstByte, rest time.Time) (int, error) {
	c := b.conn
	if b.inMemory {
		return b.response.Body.Read(p)
	}
	if c.reader.Buffered() == 0 {
		c.SetReadDeadline(firstByte)
		if err := b.awaitByte(); err != nil {
			return 0, err
		}
	}
	if b.chunked {
		c.SetReadDeadline(rest)
		p = p[:min(len(p), c.reader.Buffered())]
	}
	return b.response.Body.Read(p)
}

// awaitByte waits for the next byte of the body. The end of the connection is left to the reader of the body, unless the body is chunked: its
// end is the last chunk.
func (b *Body) awaitByte() error {
	_, err := b.conn.reader.Peek(1)
	if !errors.Is(err, io.EOF) {
		return err
	}
	if b.chunked {
		return io.ErrUnexpectedEOF
	}
	return nil
}
