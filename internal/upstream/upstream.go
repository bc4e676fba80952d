// Package upstream holds the connections of one pool to its servers: which are idle, what is read of an answer and for how
// long, and whether a request that broke off can have run. Connections carry one request at a time (HTTP/1.1). It picks
// no server, and neither sends again nor gives up by itself.
package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"sorrelrudder/internal/httpmsg"
	"sorrelrudder/internal/process"
	"sorrelrudder/policy"
)

const (
	// responseHeadTimeout is how long the head of an answer may take from its first byte to its last, and AnswerPause how long its body may
	// stand still. They guard against answers that stop half way or never end, while the connection stays open: without
	// them each would cost all the time that the request has.
	responseHeadTimeout = 250 * time.Millisecond
	BodyStallTimeout    = 300 * time.Millisecond
	// bodySendTimeout is how long a server may take none of a long body.
	bodySendTimeout = 5 * time.Second
	// streamBufferBytes is how much of a long body is passed on at a time.
	streamBufferBytes = 32 << 10
	// maxHeadBytes bounds the head of an upstream's answer: one that never ends must not fill the memory.
	maxHeadBytes = 16 << 10
	// maxInterimResponses bounds the 1xx answers before the final one.
	maxInterimResponses = 5
	// idleLimitFraction is the part of the idle limit after which an idle connection is closed: the upstream closes it
	// at the limit, and a request that crosses that close is lost to a reset.
	idleLimitFraction = 0.6
	// minIdleBeforeReuse is how long a connection should have been idle before it is used again: what an upstream sends
	// behind its answer shows by then. A younger one is used only if the alternative is to dial.
	minIdleBeforeReuse = 5 * time.Millisecond
	// connBufferBytes is the size of a connection's two buffers: most heads and answers fit.
	connBufferBytes = 4 << 10
)

// Descriptors is what the connections of a pool take up.
type Descriptors interface {
	Acquire(ctx context.Context) (release func(), err error)
	Scarce() bool // idle connections should not be kept
}

// ConnPool holds the connections to upstreams. They carry one request at a time.
type ConnPool struct {
	descriptors Descriptors
	dialTimeout time.Duration
	idleTimeout time.Duration // how long a connection is kept idle
	dial        func(ctx context.Context, addr string) (net.Conn, error)

	dialCount atomic.Int64 // connections opened or tried

	mu            sync.Mutex
	peersWithIdle map[*Peer]struct{} // those with idle connections
}

// NewPeer returns the process of a server that listens at addr and started then.
func NewPeer(addr string, started policy.Time) *Peer { return &Peer{addr: addr, started: started} }

// Addr is where the process listens.
func (p *Peer) Addr() string { return p.addr }

// Started is when the process started, in the module's time.
func (p *Peer) Started() policy.Time { return p.started }

// Peer is one process of an upstream, at one address.
type Peer struct {
	addr    string
	started policy.Time

	retired bool    // under Conns.mu: it is listed no more, and keeps no connection
	idle    []*Conn // under Conns.mu: longest idle first
}

// Conn is a connection to an upstream.
type Conn struct {
	net.Conn
	peer          *Peer
	release       func() // of its descriptor
	reader        *bufio.Reader
	writer        *bufio.Writer
	readBudget    int       // bytes that may still be read of the present answer
	deadline      time.Time // of the present exchange
	responseBegun bool      // the answer's first byte has come
	idleSince     time.Time
}

// Read guards against answers without end, be it in bytes or in time.
func (c *Conn) Read(p []byte) (int, error) {
	if c.readBudget <= 0 {
		return 0, errors.New("the answer is too long")
	}
	n, err := c.Conn.Read(p[:min(len(p), c.readBudget)])
	c.readBudget -= n
	if n > 0 && !c.responseBegun {
		c.responseBegun = true
		c.SetReadDeadline(earlier(c.deadline, time.Now().Add(responseHeadTimeout)))
	}
	return n, err
}

func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.release()
	return err
}

// New returns the connections of a pool that has the settings cfg.
func New(cfg policy.Config, s Descriptors) *ConnPool {
	return &ConnPool{
		descriptors: s, dialTimeout: cfg.DialTimeout, idleTimeout: idleTimeoutFor(cfg),
		peersWithIdle: map[*Peer]struct{}{}, dial: dialTCP,
	}
}

// idleTimeoutFor is how long a connection is kept idle. Where held ones have a price, one costs ConnectionTariff/100 of a server's share and
// a handshake HandshakeTariff of a request's: they balance after 100 x HandshakeTariff/ConnectionTariff requests of a server, each
// taken to hold it for no longer than the shortest aim.
func idleTimeoutFor(cfg policy.Config) time.Duration {
	most := time.Duration(float64(cfg.ConnIdle) * idleLimitFraction)
	for _, c := range cfg.Classes {
		if cfg.ConnectionCost > 0 {
			most = min(most, time.Duration(100*cfg.HandshakeCost/cfg.ConnectionCost*float64(c.LatencyObjective)))
		}
	}
	return most
}

func dialTCP(ctx context.Context, addr string) (net.Conn, error) {
	d := net.Dialer{KeepAlive: -1} // idle connections do not live long enough for it
	return d.DialContext(ctx, "tcp", addr)
}

// DialCount is how many connections have been opened, or tried.
func (u *ConnPool) DialCount() int64 { return u.dialCount.Load() }

// SetDialer makes dial what opens connections, before any is.
func (u *ConnPool) SetDialer(dial func(ctx context.Context, addr string) (net.Conn, error)) {
	u.dial = dial
}

// takeIdle returns an idle connection to p, or nil. One on which the upstream has closed, or has said something unasked,
// is of no use: what is written to it would end as a reset, or be answered with what was meant for another.
func (u *ConnPool) takeIdle(p *Peer) *Conn {
	for {
		u.mu.Lock()
		n := len(p.idle)
		if n == 0 {
			u.mu.Unlock()
			return nil
		}
		i := n - 1
		for i > 0 && time.Since(p.idle[i].idleSince) < minIdleBeforeReuse {
			i--
		}
		if time.Since(p.idle[i].idleSince) < minIdleBeforeReuse {
			i = 0
		}
		c := p.idle[i]
		u.setIdle(p, slices.Delete(p.idle, i, i+1))
		u.mu.Unlock()
		if time.Since(c.idleSince) < u.idleTimeout && c.nothingToRead() {
			return c
		}
		c.Close()
	}
}

// setIdle replaces the idle connections of p.
func (u *ConnPool) setIdle(p *Peer, idle []*Conn) {
	p.idle = idle
	if len(idle) > 0 {
		u.peersWithIdle[p] = struct{}{}
	} else {
		delete(u.peersWithIdle, p)
	}
}

// nothingToRead reports whether nothing is there to be read from the upstream, neither bytes nor the end.
func (c *Conn) nothingToRead() bool { return c.reader.Buffered() == 0 && process.NothingToRead(c.Conn) }

// PutIdle makes c idle, unless something came with the answer that is not part of it. What comes later shows when it is used
// again.
func (u *ConnPool) PutIdle(c *Conn) {
	if u.idleTimeout <= 0 || u.descriptors.Scarce() || c.reader.Buffered() > 0 {
		c.Close()
		return
	}
	c.idleSince = time.Now()
	u.mu.Lock()
	kept := !c.peer.retired
	if kept {
		u.setIdle(c.peer, append(c.peer.idle, c))
	}
	u.mu.Unlock()
	if !kept {
		c.Close()
	}
}

// CloseIdle closes the idle connections to p.
func (u *ConnPool) CloseIdle(p *Peer) {
	u.mu.Lock()
	idle := p.idle
	u.setIdle(p, nil)
	u.mu.Unlock()
	for _, c := range idle {
		c.Close()
	}
}

// Retire makes p keep no connection any more.
func (u *ConnPool) Retire(p *Peer) {
	u.mu.Lock()
	p.retired = true
	u.mu.Unlock()
	u.CloseIdle(p)
}

// EvictIdle closes an idle connection, and reports whether there was one.
func (u *ConnPool) EvictIdle() bool {
	var c *Conn
	u.mu.Lock()
	for p := range u.peersWithIdle {
		c = p.idle[0]
		u.setIdle(p, p.idle[1:])
		break
	}
	u.mu.Unlock()
	if c == nil {
		return false
	}
	c.Close()
	return true
}

// closeExpired closes the connections that have been idle for idleFor.
func (u *ConnPool) closeExpired() {
	var old []*Conn
	u.mu.Lock()
	for p := range u.peersWithIdle {
		n := 0
		for n < len(p.idle) && time.Since(p.idle[n].idleSince) >= u.idleTimeout {
			n++
		}
		old = append(old, p.idle[:n]...)
		u.setIdle(p, slices.Delete(p.idle, 0, n))
	}
	u.mu.Unlock()
	for _, c := range old {
		c.Close()
	}
}

// SweepIdle closes idle connections in time until ctx ends.
func (u *ConnPool) SweepIdle(ctx context.Context) {
	if u.idleTimeout <= 0 {
		return
	}
	tick := time.NewTicker(max(u.idleTimeout/4, 10*time.Millisecond))
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			u.closeExpired()
		}
	}
}

// NoDescriptorError wraps what kept this sidecar from opening a connection at all. It says nothing of the upstream.
type NoDescriptorError struct{ Err error }

func (e NoDescriptorError) Error() string { return e.Err.Error() }

// Unwrap returns what it wraps.
func (e NoDescriptorError) Unwrap() error { return e.Err }

// Connect returns an idle connection to p, or dials one.
func (u *ConnPool) Connect(ctx context.Context, p *Peer, deadline time.Time) (*Conn, error) {
	c := u.takeIdle(p)
	if c == nil {
		ctx, cancel := context.WithDeadline(ctx, earlier(deadline, time.Now().Add(u.dialTimeout)))
		defer cancel()
		release, err := u.descriptors.Acquire(ctx)
		if err != nil {
			return nil, NoDescriptorError{Err: err}
		}
		u.dialCount.Add(1)
		nc, err := u.dial(ctx, p.addr)
		if err != nil {
			release()
			if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.EADDRNOTAVAIL) {
				err = NoDescriptorError{Err: err}
			}
			return nil, err
		}
		c = &Conn{Conn: nc, peer: p, release: release}
		c.reader, c.writer = bufio.NewReaderSize(c, connBufferBytes), bufio.NewWriterSize(nc, connBufferBytes)
	}
	c.deadline, c.responseBegun = deadline, false
	c.SetDeadline(deadline)
	return c, nil
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// NotWrittenError wraps what broke an exchange before its last byte was written: it has never run.
type NotWrittenError struct{ Err error }

func (e NotWrittenError) Error() string { return e.Err.Error() }

// Unwrap returns what it wraps.
func (e NotWrittenError) Unwrap() error { return e.Err }

// Request is what a server is sent.
type Request struct {
	Method, Target, Host string
	Header               http.Header // as it was read of a client, so that no name or value holds a line's end
	TimeoutMs            int64       // in place of the header's; 0: none
	ExtraFields          []Field     // beside Header, and in place of fields of the same names there
	Body                 []byte
	StreamedBody         httpmsg.BodyStream // what follows Body, which SendRest sends; nil: nothing
}

// Field is a field of a head.
type Field struct{ Name, Value string }

// write writes q. It is not left to http.Request.Write, which needs a copy of the header and a sorted one.
func (q *Request) write(w *bufio.Writer) error {
	w.WriteString(q.Method)
	w.WriteByte(' ')
	w.WriteString(q.Target)
	w.WriteString(" HTTP/1.1\r\nHost: ")
	w.WriteString(q.Host)
	w.WriteString("\r\n")
	for name, values := range q.Header {
		if name == "Host" || name == "Content-Length" || name == "X-Timeout-Ms" ||
			slices.ContainsFunc(q.ExtraFields, func(f Field) bool { return f.Name == name }) {
			continue
		}
		for _, v := range values {
			w.WriteString(name)
			w.WriteString(": ")
			w.WriteString(v)
			w.WriteString("\r\n")
		}
	}
	var digits [20]byte
	if q.TimeoutMs > 0 {
		w.WriteString("X-Timeout-Ms: ")
		w.Write(strconv.AppendInt(digits[:0], q.TimeoutMs, 10))
		w.WriteString("\r\n")
	}
	for _, f := range q.ExtraFields {
		w.WriteString(f.Name)
		w.WriteString(": ")
		w.WriteString(f.Value)
		w.WriteString("\r\n")
	}
	length := int64(len(q.Body))
	if q.StreamedBody != nil {
		length = q.StreamedBody.Length()
	}
	switch {
	case length < 0:
		w.WriteString("Transfer-Encoding: chunked\r\n\r\n")
		w.Write(strconv.AppendInt(digits[:0], int64(len(q.Body)), 16))
		w.WriteString("\r\n")
		w.Write(q.Body)
		w.WriteString("\r\n")
		return w.Flush()
	case length > 0 || q.Method == http.MethodPost || q.Method == http.MethodPut || q.Method == http.MethodPatch:
		w.WriteString("Content-Length: ")
		w.Write(strconv.AppendInt(digits[:0], length, 10))
		w.WriteString("\r\n")
	}
	w.WriteString("\r\n")
	w.Write(q.Body)
	return w.Flush() // it tells of any error before
}

// Exchange writes a request and reads the head of the answer.
func (c *Conn) Exchange(q *Request) (*http.Response, error) {
	if err := c.Send(q); err != nil {
		return nil, err
	}
	return c.Receive(q)
}

// Send writes a request whole. The error is a NotWritten.
func (c *Conn) Send(q *Request) error {
	if err := q.write(c.writer); err != nil {
		return NotWrittenError{Err: err}
	}
	return nil
}

// RequestBodyError wraps what broke off the body of a request on the side that it comes from. The request has never run.
type RequestBodyError struct{ Err error }

func (e RequestBodyError) Error() string { return e.Err.Error() }

// Unwrap returns what it wraps.
func (e RequestBodyError) Unwrap() error { return e.Err }

// ErrEarlyResponse is that a server has said something before the last byte of a request was written.
var ErrEarlyResponse = errors.New("the server answers before the request is whole")

// streamBuffers are of pieceSize bytes.
var streamBuffers = sync.Pool{New: func() any { return new([streamBufferBytes]byte) }}

// SendStreamedBody writes the rest of the request that was sent last, as it comes and however long that takes, and gives its answer
// until deadline from then on. The error is a NotWritten or a RestBroken.
func (c *Conn) SendStreamedBody(rest httpmsg.BodyStream, deadline func() time.Time) error {
	buffer := streamBuffers.Get().(*[streamBufferBytes]byte)
	defer streamBuffers.Put(buffer)
	c.SetDeadline(time.Time{})
	chunked := rest.Length() < 0
	for {
		n, err := rest.Read(buffer[:])
		if err != nil && err != io.EOF {
			return RequestBodyError{Err: err}
		}
		if n > 0 && chunked {
			c.writer.Write(strconv.AppendInt(nil, int64(n), 16))
			c.writer.WriteString("\r\n")
		}
		c.writer.Write(buffer[:n])
		if n > 0 && chunked {
			c.writer.WriteString("\r\n")
		}
		if err == io.EOF && chunked {
			c.writer.WriteString("0\r\n\r\n")
		}
		if c.writer.Buffered() > 0 || n > 0 {
			if !c.nothingToRead() {
				return NotWrittenError{Err: ErrEarlyResponse}
			}
			c.SetWriteDeadline(time.Now().Add(bodySendTimeout))
			if err := c.writer.Flush(); err != nil {
				return NotWrittenError{Err: err}
			}
		}
		if err == io.EOF {
			c.deadline = deadline()
			c.SetDeadline(c.deadline)
			return nil
		}
	}
}

// Body reads the body of an answer as it comes.
type Body struct {
	conn     *Conn
	response *http.Response
	chunked  bool
}

// Body returns that of resp, the head of which was received last.
func (c *Conn) Body(resp *http.Response) *Body {
	c.readBudget = 2 * httpmsg.MaxBodyBytes // chunks have some bytes beside the body's
	return &Body{c, resp, len(resp.TransferEncoding) > 0}
}

// Read waits for one byte at most, and for no longer than pause or until deadline, where there is one: the reader of chunks
// would wait for the whole of p.
func (b *Body) Read(p []byte, pause time.Duration, deadline time.Time) (int, error) {
	c := b.conn
	if c.reader.Buffered() == 0 {
		until := time.Now().Add(pause)
		if !deadline.IsZero() {
			until = earlier(deadline, until)
		}
		c.SetReadDeadline(until)
		if b.chunked {
			if _, err := c.reader.Peek(1); err == io.EOF {
				return 0, io.ErrUnexpectedEOF // the last chunk is still to come
			} else if err != nil {
				return 0, err
			}
		}
	}
	if b.chunked {
		p = p[:min(len(p), c.reader.Buffered())]
	}
	return b.response.Body.Read(p)
}

// Receive reads the head of the answer to q, which was sent last.
func (c *Conn) Receive(q *Request) (*http.Response, error) {
	c.readBudget = maxHeadBytes
	var asked *http.Request
	if q.Method == http.MethodHead { // its answer has no body, whatever it says
		asked = &http.Request{Method: q.Method}
	}
	for range maxInterimResponses {
		resp, err := http.ReadResponse(c.reader, asked)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
		if c.responseBegun = c.reader.Buffered() > 0; !c.responseBegun { // the final answer is still to begin, and may take its time
			c.SetReadDeadline(c.deadline)
		}
	}
	return nil, errors.New("too many interim answers")
}

// Discard closes the connection. The error of a close has no consequence.
func (c *Conn) Discard() { _ = c.Close() }
