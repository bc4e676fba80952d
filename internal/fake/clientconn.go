package fake

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

var (
	// errConnectionLimit reports that the clients have reached their limit of open connections.
	errConnectionLimit = errors.New("limit of open client connections reached")

	// errClosedUnanswered reports that a connection ended before the first byte of a response.
	errClosedUnanswered = errors.New("connection closed before the first byte of a response")
)

// maxUnexpectedBytes limits how many bytes after a response are recorded.
const maxUnexpectedBytes = 80

// clientConn is a connection of a client.
type clientConn struct {
	net.Conn
	reader  *bufio.Reader
	reused  bool   // an earlier attempt used the connection
	onClose func() // decrements the open count of the pool; idempotent
}

// Close closes the connection. The pool no longer counts it as open.
func (c *clientConn) Close() error {
	err := c.Conn.Close()
	c.onClose()
	return err
}

// roundTrip writes a request and reads the response. It skips interim responses. The error wraps errClosedUnanswered if the
// connection ended before the first byte of a response.
func (c *clientConn) roundTrip(request string) (*http.Response, []byte, error) {
	_, writeErr := io.WriteString(c, request)
	if _, err := c.reader.Peek(1); err != nil { // a response may arrive before the whole request is written
		var netErr net.Error
		if errors.As(err, &netErr) && netErr.Timeout() {
			return nil, nil, err
		}
		return nil, nil, errors.Join(errClosedUnanswered, err, writeErr)
	}
	for {
		response, err := http.ReadResponse(c.reader, nil)
		if err != nil {
			return nil, nil, err
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		body, err := io.ReadAll(io.LimitReader(response.Body, maxBodyBytes))
		return response, body, err
	}
}

// connPool holds the connections of the clients.
type connPool struct {
	addr     string
	limit    int  // of open connections; 0: no limit
	abandon  bool // keep connections open after their first use, without reusing them
	recorder *EffectRecorder
	results  *ClientResults

	open             atomic.Int64
	abandonedReaders sync.WaitGroup

	mu        sync.Mutex // guards the fields below
	idle      []*clientConn
	abandoned map[*clientConn]struct{}
}

// dial opens a connection. It returns errConnectionLimit if the limit is reached.
func (p *connPool) dial(timeout time.Duration) (*clientConn, error) {
	if n := p.open.Add(1); p.limit > 0 && n > int64(p.limit) {
		p.open.Add(-1)
		return nil, errConnectionLimit
	}
	conn, err := net.DialTimeout("tcp", p.addr, timeout)
	if err != nil {
		p.open.Add(-1)
		return nil, err
	}
	p.results.recordConnection()
	onClose := sync.OnceFunc(func() { p.open.Add(-1) })
	return &clientConn{Conn: conn, reader: bufio.NewReader(conn), onClose: onClose}, nil
}

// acquire returns an idle connection, or a new one if none is idle. Bytes that arrived on an idle connection are recorded as
// unexpected, and the connection is closed.
func (p *connPool) acquire(timeout time.Duration) (*clientConn, error) {
	for {
		conn := p.popIdle()
		if conn == nil {
			return p.dial(timeout)
		}
		conn.reused = true
		buffered := conn.reader.Buffered()
		if buffered == 0 {
			return conn, nil
		}
		unexpected, _ := conn.reader.Peek(min(buffered, maxUnexpectedBytes))
		p.recorder.RecordUnexpected(fmt.Sprintf("bytes behind an answer: %q", unexpected))
		conn.Close()
	}
}

// popIdle removes and returns the connection that was released last. It returns nil if no connection is idle.
func (p *connPool) popIdle() *clientConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return nil
	}
	last := len(p.idle) - 1
	conn := p.idle[last]
	p.idle = p.idle[:last]
	return conn
}

// release returns a connection to the pool. The response on it must have been read completely. If the pool abandons
// connections, a goroutine reads from the connection until the program closes it.
func (p *connPool) release(conn *clientConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.abandon {
		p.idle = append(p.idle, conn)
		return
	}
	p.abandoned[conn] = struct{}{}
	conn.SetDeadline(time.Time{})
	p.abandonedReaders.Go(func() { p.awaitClose(conn) })
}

// awaitClose reads from an abandoned connection until the program closes it. Bytes that arrive are recorded as unexpected.
func (p *connPool) awaitClose(conn *clientConn) {
	if n, _ := io.Copy(io.Discard, conn.reader); n > 0 {
		p.recorder.RecordUnexpected(fmt.Sprintf("%d bytes behind an answer", n))
	}
	conn.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.abandoned, conn)
}

// closeAll closes all connections. No connection may be in use.
func (p *connPool) closeAll() {
	p.mu.Lock()
	for _, conn := range p.idle {
		conn.Close()
	}
	for conn := range p.abandoned {
		conn.Close()
	}
	p.mu.Unlock()
	p.abandonedReaders.Wait()
}
