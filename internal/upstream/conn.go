package upstream

import (
	"bufio"
	"errors"
	"net"
	"net/http"
	"os"
	"time"

	"sorrelrudder/internal/process"
)

const (
	// responseHeadTimeout bounds the time from the first to the last byte of a response's head. Without it, an endpoint that stops in
	// the middle of a head would use up the whole deadline of the request.
	responseHeadTimeout = 250 * time.Millisecond
	// BodyStallTimeout is how long the body of a short response may make no progress, for the same reason.
	BodyStallTimeout = 300 * time.Millisecond
	// maxHeadBytes bounds the heads of the responses to one request together, since an endless head must not exhaust the memory.
	maxHeadBytes = 16 << 10
	// maxResponseHeads bounds the number of response heads that are read for one request: those of 1xx responses and of the final response.
	maxResponseHeads = 5
)

// Conn is a connection to an endpoint. One goroutine at a time uses it; only Close and Discard may be called concurrently.
type Conn struct {
	net.Conn
	peer          *Peer
	release       func() // releases its file descriptor
	reader        *bufio.Reader
	writer        *bufio.Writer
	readBudget    int         // how many more bytes of the current response may be read
	purpose       Purpose     // of the current exchange
	deadline      time.Time   // of the current exchange
	sentAt        time.Time   // when the current exchange's request was sent
	responseBegun bool        // the first byte of the response has been received
	awaitsHead    bool        // the head of the response has not been received completely
	keepWaiting   func() bool // Request.KeepWaiting of the current exchange
	bodyRead      bool        // the body of the response has been read to its end, before it was asked for
	idleSince     time.Time
	// lastLoadReport is the body of the last response if that was a load report and Receive skips its copies, otherwise nil.
	lastLoadReport []byte
}

// Read implements net.Conn. It enforces the read budget, and sets the deadline for the rest of the head at the first byte of a response.
func (c *Conn) Read(p []byte) (int, error) {
	if c.readBudget <= 0 {
		return 0, ErrResponseTooLong
	}
	p = p[:min(len(p), c.readBudget)]
	n, err := c.Conn.Read(p)
	if c.awaitsHead && errors.Is(err, os.ErrDeadlineExceeded) && c.keepWaiting != nil && c.keepWaiting() {
		c.SetReadDeadline(c.deadline)
		n, err = c.Conn.Read(p)
	}
	c.readBudget -= n
	if n > 0 && !c.responseBegun {
		c.responseBegun = true
		c.SetReadDeadline(earlier(c.deadline, time.Now().Add(responseHeadTimeout)))
	}
	return n, err
}

// Close closes the connection and releases its file descriptor.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.release()
	return err
}

// Discard is Close for callers that ignore its error.
func (c *Conn) Discard() { _ = c.Close() }

// nothingToRead reports whether the endpoint has neither sent unread data nor closed the connection.
func (c *Conn) nothingToRead() bool { return c.reader.Buffered() == 0 && process.NothingToRead(c.Conn) }

// Exchange sends a request that has no StreamedBody and receives the head of its response.
func (c *Conn) Exchange(q *Request) (*http.Response, error) {
	if err := c.Send(q); err != nil {
		return nil, err
	}
	return c.Receive(q)
}

// Send writes a request without its StreamedBody, which is left to SendStreamedBody. The error is a NotWrittenError.
func (c *Conn) Send(q *Request) error {
	if err := q.write(c.writer); err != nil {
		return NotWrittenError{Err: err}
	}
	c.sentAt, c.keepWaiting = time.Now(), q.KeepWaiting
	return nil
}

// Receive reads the head of the response to q, which was sent last. It skips interim responses and second copies of the load report before.
func (c *Conn) Receive(q *Request) (*http.Response, error) {
	c.readBudget, c.awaitsHead, c.bodyRead = maxHeadBytes, true, false
	defer func() { c.awaitsHead = false }()
	var request *http.Request
	if q.Method == http.MethodHead { // its response has no body, whatever Content-Length the head has
		request = &http.Request{Method: q.Method}
	}
	for range maxResponseHeads {
		response, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			stale, err := c.isLoadReportCopy(response)
			if err != nil {
				return nil, err
			}
			if !stale {
				c.observeResponse(q, response)
				return response, nil
			}
		}
		c.responseBegun = c.reader.Buffered() > 0
		if !c.responseBegun { // the final response has until the deadline of the exchange to begin
			c.SetReadDeadline(c.deadline)
		}
	}
	return nil, ErrTooManyInterim
}
