package sidecar

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"heathstack/policy"
)

const (
	// answerTime is how long an answer may take from its first byte to its last. It guards against answers that stop
	// half way or never end, while the connection stays open: without it each would cost all the time that the request
	// has. An upstream that computes while it writes, or a link on which 64 KiB take longer, would be cut off.
	answerTime = 250 * time.Millisecond
	// mostHead bounds the head of an upstream's answer: one that never ends must not fill the memory.
	mostHead = 16 << 10
	// mostInterim bounds the 1xx answers before the final one.
	mostInterim = 5
	// mostErrorBody bounds what is read of the body of an answer that is no 200, to use the connection again.
	mostErrorBody = 4 << 10
	// idleShare is the part of the idle limit after which an idle connection is closed: the upstream closes it
	// at the limit, and a request that crosses that close is lost to a reset.
	idleShare = 0.6
	// settleTime is how long a connection should have been idle before it is used again: what an upstream sends
	// behind its answer shows by then. A younger one is used only if the alternative is to dial.
	settleTime = 5 * time.Millisecond
	// connBuffer is the size of a connection's two buffers: most heads and answers fit.
	connBuffer = 4 << 10
)

// attempt is one send of a request.
type attempt struct {
	req      *request
	number   int
	server   policy.ServerID
	sent     policy.Time
	deadline time.Time
	done     bool // its outcome is told; under the host's lock

	mu       sync.Mutex
	canceled bool
	stop     func() // ends what the attempt waits for
}

// cancel calls the attempt off. Its goroutine tells the outcome.
func (a *attempt) cancel() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.canceled = true
	if a.stop != nil {
		a.stop()
	}
}

// onCancel makes stop what ends the present wait, and reports whether the attempt is still wanted.
func (a *attempt) onCancel(stop func()) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stop = stop
	return !a.canceled
}

func (a *attempt) isCanceled() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.canceled
}

// upstreams holds the connections to upstreams. They carry one request at a time.
type upstreams struct {
	sockets     *sockets
	dialTimeout time.Duration
	idleFor     time.Duration // how long a connection is kept idle

	mu    sync.Mutex
	inUse map[*peer]struct{} // those with idle connections
}

// peer is one process of an upstream, at one address.
type peer struct {
	addr    string
	started policy.Time

	retired bool    // under upstreams.mu: it is listed no more, and keeps no connection
	idle    []*conn // under upstreams.mu: longest idle first
}

// conn is a connection to an upstream.
type conn struct {
	net.Conn
	peer     *peer
	release  func() // of its descriptor
	r        *bufio.Reader
	w        *bufio.Writer
	budget   int       // bytes that may still be read of the present answer
	deadline time.Time // of the present exchange
	begun    bool      // the answer's first byte has come
	since    time.Time
}

// Read guards against answers without end, be it in bytes or in time.
func (c *conn) Read(p []byte) (int, error) {
	if c.budget <= 0 {
		return 0, errors.New("the answer is too long")
	}
	n, err := c.Conn.Read(p[:min(len(p), c.budget)])
	c.budget -= n
	if n > 0 && !c.begun {
		c.begun = true
		c.SetReadDeadline(earlier(c.deadline, time.Now().Add(answerTime)))
	}
	return n, err
}

func (c *conn) Close() error {
	err := c.Conn.Close()
	c.release()
	return err
}

func newUpstreams(cfg policy.Config, s *sockets) *upstreams {
	return &upstreams{
		sockets: s, dialTimeout: cfg.DialTimeout, idleFor: time.Duration(float64(cfg.ConnIdle) * idleShare),
		inUse: map[*peer]struct{}{},
	}
}

// reuse returns an idle connection to p, or nil. One on which the upstream has closed, or has said something unasked,
// is of no use: what is written to it would end as a reset, or be answered with what was meant for another.
func (u *upstreams) reuse(p *peer) *conn {
	for {
		u.mu.Lock()
		n := len(p.idle)
		if n == 0 {
			u.mu.Unlock()
			return nil
		}
		i := n - 1
		for i > 0 && time.Since(p.idle[i].since) < settleTime {
			i--
		}
		if time.Since(p.idle[i].since) < settleTime {
			i = 0
		}
		c := p.idle[i]
		u.setIdle(p, slices.Delete(p.idle, i, i+1))
		u.mu.Unlock()
		if time.Since(c.since) < u.idleFor && c.quiet() {
			return c
		}
		c.Close()
	}
}

// setIdle replaces the idle connections of p.
func (u *upstreams) setIdle(p *peer, idle []*conn) {
	p.idle = idle
	if len(idle) > 0 {
		u.inUse[p] = struct{}{}
	} else {
		delete(u.inUse, p)
	}
}

// quiet reports whether nothing is there to be read from the upstream, neither bytes nor the end.
func (c *conn) quiet() bool { return c.r.Buffered() == 0 && quiet(c.Conn) }

// quiet reports whether nothing is there to be read from c, neither bytes nor the end.
func quiet(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
	})
	return err == nil && quiet
}

// keep makes c idle, unless something came behind the answer.
func (u *upstreams) keep(c *conn) {
	if u.idleFor <= 0 || u.sockets.scarce() || !c.quiet() {
		c.Close()
		return
	}
	c.since = time.Now()
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

// hangUp closes the idle connections to p.
func (u *upstreams) hangUp(p *peer) {
	u.mu.Lock()
	idle := p.idle
	u.setIdle(p, nil)
	u.mu.Unlock()
	for _, c := range idle {
		c.Close()
	}
}

// retire makes p keep no connection any more.
func (u *upstreams) retire(p *peer) {
	u.mu.Lock()
	p.retired = true
	u.mu.Unlock()
	u.hangUp(p)
}

// evict closes an idle connection, and reports whether there was one.
func (u *upstreams) evict() bool {
	var c *conn
	u.mu.Lock()
	for p := range u.inUse {
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

// closeIdle closes the connections that have been idle for idleFor.
func (u *upstreams) closeIdle() {
	var old []*conn
	u.mu.Lock()
	for p := range u.inUse {
		n := 0
		for n < len(p.idle) && time.Since(p.idle[n].since) >= u.idleFor {
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

// sweep closes idle connections in time until ctx ends.
func (u *upstreams) sweep(ctx context.Context) {
	if u.idleFor <= 0 {
		return
	}
	tick := time.NewTicker(max(u.idleFor/4, 10*time.Millisecond))
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			u.closeIdle()
		}
	}
}

// errNoSocket wraps what kept this sidecar from opening a connection at all. It says nothing of the upstream.
type errNoSocket struct{ error }

func (e errNoSocket) Unwrap() error { return e.error }

// connect returns an idle connection to p, or dials one.
func (u *upstreams) connect(ctx context.Context, p *peer, deadline time.Time) (*conn, error) {
	c := u.reuse(p)
	if c == nil {
		ctx, cancel := context.WithDeadline(ctx, earlier(deadline, time.Now().Add(u.dialTimeout)))
		defer cancel()
		release, err := u.sockets.acquire(ctx)
		if err != nil {
			return nil, errNoSocket{err}
		}
		var d net.Dialer
		d.KeepAlive = -1 // idle connections do not live long enough for it
		nc, err := d.DialContext(ctx, "tcp", p.addr)
		if err != nil {
			release()
			if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.EADDRNOTAVAIL) {
				err = errNoSocket{err}
			}
			return nil, err
		}
		c = &conn{Conn: nc, peer: p, release: release}
		c.r, c.w = bufio.NewReaderSize(c, connBuffer), bufio.NewWriterSize(nc, connBuffer)
	}
	c.deadline, c.begun = deadline, false
	c.SetDeadline(deadline)
	return c, nil
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// errNotWritten wraps what broke an exchange before its last byte was written: it has never run.
type errNotWritten struct{ error }

func (e errNotWritten) Unwrap() error { return e.error }

// exchange writes a request and reads the head of the answer.
func (c *conn) exchange(q *http.Request) (*http.Response, error) {
	c.budget = mostHead
	err := q.Write(c.w)
	if err == nil {
		err = c.w.Flush()
	}
	if err != nil {
		return nil, errNotWritten{err}
	}
	for range mostInterim {
		resp, err := http.ReadResponse(c.r, q)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			c.budget = 2 * mostBody // chunks have some bytes beside the body's
			return resp, nil
		}
		if c.begun = c.r.Buffered() > 0; !c.begun { // the final answer is still to begin, and may take its time
			c.SetReadDeadline(c.deadline)
		}
	}
	return nil, errors.New("too many interim answers")
}

// attempt carries out one attempt, and tells its one outcome.
func (h *host) attempt(a *attempt, p *peer) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if !a.onCancel(cancel) {
		h.settle(a, policy.Canceled, nil, answer{})
		return
	}
	c, err := h.up.connect(ctx, p, a.deadline)
	if err != nil {
		h.broken(a, errNotWritten{err})
		return
	}
	if !a.onCancel(func() { c.Close() }) {
		c.Close()
		h.settle(a, policy.Canceled, nil, answer{})
		return
	}
	resp, err := c.exchange(a.request())
	if err != nil {
		c.Close()
		h.broken(a, err)
		return
	}
	var load *policy.Load
	if text := resp.Header.Get("X-Server-Load"); text != "" && h.settings.Config.InlineReports {
		load = parseLoad(text, h.settings.Fields)
	}
	if resp.StatusCode != http.StatusOK {
		status := policy.AppError
		if s := resp.StatusCode; (s == http.StatusServiceUnavailable || s == http.StatusGatewayTimeout) &&
			resp.Header.Get("X-Not-Processed") == "1" {
			status = policy.Full
		}
		_, err := io.CopyN(io.Discard, resp.Body, mostErrorBody)
		h.done(a, c, resp, err == io.EOF)
		h.settle(a, status, load, answer{})
		return
	}
	h.pass(a, c, resp, load)
}

// pass takes a 200 answer. It counts only once it is whole, so that what is spoilt reaches no client.
func (h *host) pass(a *attempt, c *conn, resp *http.Response, load *policy.Load) {
	body, err := readBody(resp)
	if err != nil {
		c.Close()
		h.broken(a, err)
		return
	}
	h.done(a, c, resp, true)
	h.settle(a, policy.OK, load, answer{status: http.StatusOK, header: forwarded(resp.Header), body: body})
}

// readBody reads the body of an answer whole. It takes memory for what has come, not for what the head promises.
func readBody(resp *http.Response) ([]byte, error) {
	switch {
	case resp.ContentLength > mostBody:
		return nil, fmt.Errorf("an answer of %d bytes", resp.ContentLength)
	case 0 <= resp.ContentLength && resp.ContentLength <= connBuffer:
		body := make([]byte, resp.ContentLength)
		_, err := io.ReadFull(resp.Body, body)
		return body, err
	}
	var b bytes.Buffer
	_, err := b.ReadFrom(io.LimitReader(resp.Body, mostBody+1))
	if err == nil && b.Len() > mostBody {
		err = errors.New("an answer of over 64 KiB")
	}
	return b.Bytes(), err
}

// done keeps a connection for the next request, if the exchange on it ended in order.
func (h *host) done(a *attempt, c *conn, resp *http.Response, orderly bool) {
	if !a.onCancel(nil) || !orderly || resp.Close {
		c.Close()
		return
	}
	h.up.keep(c)
}

// broken tells the outcome of an attempt that ended without a whole answer.
func (h *host) broken(a *attempt, err error) {
	status := policy.Reset
	var notWritten errNotWritten
	var noSocket errNoSocket
	switch {
	case a.isCanceled():
		status = policy.Canceled
	case errors.As(err, &noSocket): // no evidence against the upstream
		status = policy.Moot
	case errors.As(err, &notWritten): // whatever ended it, the upstream never had the whole
		status = policy.ConnectFailed
	case errors.Is(err, os.ErrDeadlineExceeded) && !time.Now().Before(a.deadline):
		status = policy.Timeout
	}
	h.log.Debug("attempt", "request", a.req.name, "upstream", a.server, "status", status, "err", err)
	h.settle(a, status, nil, answer{})
}

// request is what the upstream is sent.
func (a *attempt) request() *http.Request {
	r := a.req
	header := maps.Clone(r.header)
	header["X-Timeout-Ms"] = []string{strconv.FormatInt(max(1, time.Until(a.deadline).Milliseconds()), 10)}
	q := &http.Request{Method: r.method, URL: &url.URL{Opaque: r.uri}, Host: r.host, Header: header}
	if len(r.body) > 0 {
		q.Body, q.ContentLength = io.NopCloser(bytes.NewReader(r.body)), int64(len(r.body))
	} else if r.method != http.MethodGet {
		q.Body = http.NoBody
	}
	return q
}

// hopHeaders concern one connection only.
var hopHeaders = []string{
	"Connection", "Content-Length", "Expect", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// forwarded takes from h what concerns one connection only.
func forwarded(h http.Header) http.Header {
	for _, v := range h["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		delete(h, name)
	}
	return h
}
