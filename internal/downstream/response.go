package downstream

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"sorrelrudder/internal/httpmsg"
)

// writeResponse writes a response, and reports whether another request may follow on c. If last is true, the connection closes after the
// response. It clears resp.Body, whose memory would else be in use until a slow client has read the remainder.
func (s *Server) writeResponse(c *clientConn, resp *httpmsg.Response, last bool) (keepOpen bool) {
	last = s.decideLast(c, last)
	f := frameResponse(c, resp)
	last = last || f.closeDelimited
	c.SetDeadline(time.Now().Add(writeTimeout))
	err := c.writeStart(resp, f, last)
	resp.Body = nil
	if resp.Remainder != nil {
		if err == nil {
			err = s.writeRemainder(c, resp.Remainder, f)
		}
		resp.Remainder.Close(err == nil)
		if err != nil && f.length < 0 {
			c.reset() // the client must not mistake the end of the connection for the end of the response
		}
	}
	if err != nil {
		s.events.Info("response not written completely", "to", c.RemoteAddr().String(), "status", resp.Status, "streamed", resp.Remainder != nil, "err", err)
	}
	c.lastResponseSent = err == nil && last
	return err == nil && !last
}

// decideLast counts a response on c, and reports whether it is the last one. It is if last is true, if the connection has to close after
// its response, or if the idle policy does not let c wait for another request and none has arrived yet.
func (s *Server) decideLast(c *clientConn, last bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.responses++
	if last || s.closesAfterResponse(c) {
		return true
	}
	return !s.beginIdle(c) && c.noPendingInput()
}

// responseFraming describes how the end of a response is marked (RFC 9112, section 6.3).
type responseFraming struct {
	length         int64 // length of the body in bytes; -1: not known
	hasBody        bool
	sendsLength    bool // the response has a Content-Length field
	chunked        bool // the body uses the chunked transfer coding
	closeDelimited bool // the response ends with the connection
}

// frameResponse decides how the end of a response to the last request of c is marked.
func frameResponse(c *clientConn, resp *httpmsg.Response) responseFraming {
	f := responseFraming{
		length:  responseLength(resp, c.headRequest),
		hasBody: !c.headRequest && !bodiless(resp.Status),
	}
	f.sendsLength = f.length >= 0 && (f.hasBody || c.headRequest)
	if f.hasBody && f.length < 0 {
		f.chunked, f.closeDelimited = !c.http10, c.http10
	}
	return f
}

// responseLength returns the length of a response's body in bytes, or -1 if it is not known. For a HEAD request it is the length that the
// body would have for a GET request.
func responseLength(resp *httpmsg.Response, headRequest bool) int64 {
	switch {
	case resp.Remainder != nil:
		return resp.Remainder.Length()
	case headRequest && len(resp.Body) == 0:
		return resp.Length
	}
	return int64(len(resp.Body))
}

// bodiless reports whether responses with the given status have no body.
func bodiless(status int) bool {
	return status == http.StatusNoContent || status == http.StatusNotModified
}

// retryAfterSeconds formats a duration as the value of a Retry-After field: in seconds, with decimals if needed.
func retryAfterSeconds(d time.Duration) string {
	return strconv.FormatFloat(d.Seconds(), 'f', -1, 64)
}

// writeStart writes the header of a response and resp.Body.
func (c *clientConn) writeStart(resp *httpmsg.Response, f responseFraming, last bool) error {
	var b bytes.Buffer
	encodeHeader(&b, resp, f, last)
	body := resp.Body
	switch {
	case !f.hasBody || len(body) == 0:
	case f.chunked:
		fmt.Fprintf(&b, "%x\r\n", len(body))
		return c.writeTogether(&b, body, "\r\n")
	default:
		return c.writeTogether(&b, body, "")
	}
	_, err := c.Write(b.Bytes())
	return err
}

// writeTogether writes the bytes of start, a body and the text after it. Only a short body is copied.
func (c *clientConn) writeTogether(start *bytes.Buffer, body []byte, after string) error {
	if len(body) <= maxCopiedBodyBytes {
		start.Write(body)
		start.WriteString(after)
		_, err := c.Write(start.Bytes())
		return err
	}
	parts := net.Buffers{start.Bytes(), body, []byte(after)}
	_, err := parts.WriteTo(c.Conn)
	return err
}

// encodeHeader appends the header of a response to b.
func encodeHeader(b *bytes.Buffer, resp *httpmsg.Response, f responseFraming, last bool) {
	b.WriteString("HTTP/1.1 ")
	b.WriteString(strconv.Itoa(resp.Status))
	b.WriteByte(' ')
	b.WriteString(http.StatusText(resp.Status))
	b.WriteString("\r\n")
	if resp.Header != nil {
		_ = resp.Header.Write(b) // writing to a bytes.Buffer does not fail
	}
	if resp.RetryAfter > 0 {
		writeField(b, "Retry-After", retryAfterSeconds(resp.RetryAfter))
	}
	if last {
		writeField(b, "Connection", "close")
	}
	switch {
	case f.chunked:
		writeField(b, "Transfer-Encoding", "chunked")
	case f.sendsLength:
		writeField(b, "Content-Length", strconv.FormatInt(f.length, 10))
	}
	b.WriteString("\r\n")
}

// writeField writes a header field line.
func writeField(b *bytes.Buffer, name, value string) {
	b.WriteString(name)
	b.WriteString(": ")
	b.WriteString(value)
	b.WriteString("\r\n")
}

// writeRemainder writes the remainder of a response's body as it arrives.
func (s *Server) writeRemainder(c *clientConn, remainder httpmsg.ResponseStream, f responseFraming) error {
	s.setCloseDelimited(c, f.length < 0 && !f.chunked)
	defer s.setCloseDelimited(c, false)
	err := s.copyRemainder(remainder, func(p []byte) error {
		c.SetWriteDeadline(time.Now().Add(streamWriteTimeout))
		return c.writePart(p, f.chunked)
	})
	if err == nil && f.chunked {
		_, err = io.WriteString(c.Conn, "0\r\n\r\n")
	}
	return err
}

// writePart writes a part of a body, as one chunk if the body is chunked.
func (c *clientConn) writePart(p []byte, chunked bool) error {
	if !chunked {
		_, err := c.Write(p)
		return err
	}
	chunk := net.Buffers{[]byte(strconv.FormatInt(int64(len(p)), 16) + "\r\n"), p, []byte("\r\n")}
	_, err := chunk.WriteTo(c.Conn)
	return err
}

// setCloseDelimited records whether the client would take a close of c for the end of the response. If so, closeAll resets c.
func (s *Server) setCloseDelimited(c *clientConn, isCloseDelimited bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.closeDelimited = isCloseDelimited
}

// copyRemainder reads a body until its end, and passes each part to write as it arrives. It returns nil at the end of the body.
func (s *Server) copyRemainder(from httpmsg.BodyStream, write func(p []byte) error) error {
	memory := s.options.BufferMemory
	buffer := newStreamBuffer(memory)
	defer buffer.release(memory)
	for {
		begin := time.Now()
		n, err := from.Read(buffer.bytes)
		if n > 0 {
			if werr := write(buffer.bytes[:n]); werr != nil {
				return werr
			}
		}
		switch {
		case isEOF(err):
			return nil
		case err != nil:
			return err
		}
		s.transfers.pause(begin)
	}
}

// isEOF reports whether err marks the end of a complete body. A wrapped io.EOF does not: it comes from another source than the body.
func isEOF(err error) bool {
	return err == io.EOF //nolint:errorlint // see above
}
