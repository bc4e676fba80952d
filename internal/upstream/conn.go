package upstream

import (
	"bufio"
	"net"
	"net/http"
	"time"

	"sorrelrudder/internal/process"
)

const (
	// responseHeadTimeout bounds the head of a response, from its first byte to its last. It guards against endpoints that stop half
	// way: without it each would cost all the time that the request has.
	responseHeadTimeout = 250 * time.Millisecond
	// BodyStallTimeout is how long the body of a response may stand still, for the same reason.
	BodyStallTimeout = 300 * time.Millisecond
	// maxHeadBytes bounds the head of a response: one that never ends must not fill the memory.
	maxHeadBytes = 16 << 10
	// maxInterimResponses bounds the 1xx responses before the final one.
	maxInterimResponses = 5
)

// Conn is a connection to an endpoint. But for Close and Discard it is used by one goroutine at a time.
type Conn struct {
	net.Conn
	peer          *Peer
	release       func() // gives its descriptor back
	reader        *bufio.Reader
	writer        *bufio.Writer
	readBudget    int       // bytes that may still be read of the present response
	deadline      time.Time // of the present exchange
	responseBegun bool      // the response's first byte has come
	idleSince     time.Time
}

// Read implements net.Conn. It bounds what is read of a response, in bytes and in time.
func (c *Conn) Read(p []byte) (int, error) {
	if c.readBudget <= 0 {
		return 0, ErrResponseTooLong
	}
	n, err := c.Conn.Read(p[:min(len(p), c.readBudget)])
	c.readBudget -= n
	if n > 0 && !c.responseBegun {
		c.responseBegun = true
		c.SetReadDeadline(earlier(c.deadline, time.Now().Add(responseHeadTimeout)))
	}
	return n, err
}

// Close closes the connection and gives its descriptor back.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.release()
	return err
}

// Discard is Close for callers to whom an error makes no difference.
func (c *Conn) Discard() { _ = c.Close() }

// nothingToRead reports whether nothing is there to be read from the endpoint, neither bytes nor the end.
func (c *Conn) nothingToRead() bool { return c.reader.Buffered() == 0 && process.NothingToRead(c.Conn) }

// Exchange sends a request and receives the head of its response.
func (c *Conn) Exchange(q *Request) (*http.Response, error) {
	if err := c.Send(q); err != nil {
		return nil, err
	}
	return c.Receive(q)
}

// Send writes a request, but for its StreamedBody. The error is a NotWrittenError.
func (c *Conn) Send(q *Request) error {
	if err := q.write(c.writer); err != nil {
		return NotWrittenError{Err: err}
	}
	return nil
}

// Receive reads the head of the response to q, which was sent last.
func (c *Conn) Receive(q *Request) (*http.Response, error) {
	c.readBudget = maxHeadBytes
	var request *http.Request
	if q.Method == http.MethodHead { // its response has no body, whatever the head says
		request = &http.Request{Method: q.Method}
	}
	for range maxInterimResponses {
		response, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
		c.responseBegun = c.reader.Buffered() > 0
		if !c.responseBegun { // the final response may take its time
			c.SetReadDeadline(c.deadline)
		}
	}
	return nil, ErrTooManyInterim
}
