package sidecar

import (
	"bufio"
	"bytes"
	"context"
	"errors"
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
	// wholeAnswer is the longest answer that is read whole before it counts as OK.
	wholeAnswer = 64 << 10
	// streamChunk is the buffer through which longer ones pass.
	streamChunk = 16 << 10
	// streamStall is how long an upstream may be silent in the middle of an answer before it counts as broken.
	streamStall = 5 * time.Second
	// mostHead bounds the head of an upstream's answer: one that never ends must not fill the memory.
	mostHead = 64 << 10
	// mostInterim bounds the 1xx answers before the final one.
	mostInterim = 5
	// idleShare is the part of the idle limit after which an idle connection is closed: the upstream closes it
	// at the limit, and a request that crosses that close is lost to a reset.
	idleShare = 0.6
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

	mu   sync.Mutex
	idle map[string][]*conn // by address; the last one used comes last
}

// conn is a connection to an upstream.
type conn struct {
	net.Conn
	addr    string
	release func() // of its descriptor
	r       *bufio.Reader
	w       *bufio.Writer
	budget  int // bytes that may still be read
	since   time.Time
	reused  bool
}

// Read guards against a head without end.
func (c *conn) Read(p []byte) (int, error) {
	if c.budget <= 0 {
		return 0, errors.New("the answer's head is too long")
	}
	n, err := c.Conn.Read(p[:min(len(p), c.budget)])
	c.budget -= n
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
		idle: map[string][]*conn{},
	}
}

// reuse returns an idle connection to addr, or nil. One on which the upstream has closed, or has said
// something unasked, is of no use: what is written to it would end as a reset.
func (u *upstreams) reuse(addr string, deadline time.Time) *conn {
	for {
		u.mu.Lock()
		list := u.idle[addr]
		if len(list) == 0 {
			u.mu.Unlock()
			return nil
		}
		c := list[len(list)-1]
		u.setIdle(addr, list[:len(list)-1])
		u.mu.Unlock()
		c.SetDeadline(deadline)
		if time.Since(c.since) < u.idleFor && c.quiet() {
			c.reused = true
			return c
		}
		c.Close()
	}
}

// setIdle replaces an address's list, and drops an empty one: addresses come and go for ever.
func (u *upstreams) setIdle(addr string, list []*conn) {
	if len(list) == 0 {
		delete(u.idle, addr)
		return
	}
	u.idle[addr] = list
}

// quiet reports whether nothing is there to be read, neither bytes nor the end.
func (c *conn) quiet() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && quiet && c.r.Buffered() == 0
}

// keep makes c idle.
func (u *upstreams) keep(c *conn) {
	if u.idleFor <= 0 || c.r.Buffered() > 0 || u.sockets.scarce() {
		c.Close()
		return
	}
	c.since = time.Now()
	u.mu.Lock()
	u.idle[c.addr] = append(u.idle[c.addr], c)
	u.mu.Unlock()
}

// hangUp closes the idle connections to addr.
func (u *upstreams) hangUp(addr string) {
	u.mu.Lock()
	list := u.idle[addr]
	delete(u.idle, addr)
	u.mu.Unlock()
	for _, c := range list {
		c.Close()
	}
}

// closeIdle closes the connections that have been idle for d, and returns how many it closed.
func (u *upstreams) closeIdle(d time.Duration, most int) int {
	var old []*conn
	u.mu.Lock()
	for addr, list := range u.idle {
		n := 0
		for n < len(list) && len(old) < most && time.Since(list[n].since) >= d {
			old = append(old, list[n])
			n++
		}
		if n > 0 {
			u.setIdle(addr, slices.Clone(list[n:]))
		}
	}
	u.mu.Unlock()
	for _, c := range old {
		c.Close()
	}
	return len(old)
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
			u.closeIdle(u.idleFor, 1<<30)
		}
	}
}

// connect returns an idle connection to addr, or dials one.
func (u *upstreams) connect(ctx context.Context, addr string, deadline time.Time) (*conn, error) {
	if c := u.reuse(addr, deadline); c != nil {
		return c, nil
	}
	ctx, cancel := context.WithDeadline(ctx, earlier(deadline, time.Now().Add(u.dialTimeout)))
	defer cancel()
	release, err := u.sockets.acquire(ctx)
	if err != nil {
		return nil, err
	}
	var d net.Dialer
	d.KeepAlive = -1 // idle connections do not live long enough for it
	nc, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		release()
		return nil, err
	}
	c := &conn{Conn: nc, addr: addr, release: release}
	c.r, c.w = bufio.NewReaderSize(c, connBuffer), bufio.NewWriterSize(nc, connBuffer)
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
			c.budget = 1 << 62 // the body is bounded by its readers
			return resp, nil
		}
	}
	return nil, errors.New("too many interim answers")
}

// attempt carries out one attempt, and tells its one outcome.
func (h *host) attempt(a *attempt, addr string) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if !a.onCancel(cancel) {
		h.settle(a, policy.Canceled, nil, answer{})
		return
	}
	c, err := h.up.connect(ctx, addr, a.deadline)
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
		_, err := io.CopyN(io.Discard, resp.Body, connBuffer)
		h.done(a, c, resp, err == io.EOF)
		h.settle(a, status, load, answer{})
		return
	}
	h.pass(a, c, resp, load)
}

// pass takes a 200 answer: whole if it is short, else as it comes.
func (h *host) pass(a *attempt, c *conn, resp *http.Response, load *policy.Load) {
	ans := answer{status: http.StatusOK, header: forwarded(resp.Header)}
	var err error
	long := resp.ContentLength > wholeAnswer
	switch {
	case long:
		ans.body = make([]byte, streamChunk)
		var n int
		n, err = io.ReadAtLeast(resp.Body, ans.body, 1)
		ans.body = ans.body[:n]
	case resp.ContentLength >= 0:
		ans.body = make([]byte, resp.ContentLength)
		_, err = io.ReadFull(resp.Body, ans.body)
	default:
		var b bytes.Buffer
		_, err = b.ReadFrom(io.LimitReader(resp.Body, wholeAnswer+1))
		ans.body = b.Bytes()
		long = len(ans.body) > wholeAnswer
	}
	if err != nil {
		c.Close()
		h.broken(a, err)
		return
	}
	if !long {
		h.done(a, c, resp, true)
		h.settle(a, policy.OK, load, ans)
		return
	}
	ans.stream = &stream{conn: c, body: resp.Body, length: resp.ContentLength}
	ans.stream.end = func(status policy.Status) {
		h.done(a, c, resp, status == policy.OK)
		h.settle(a, status, load, answer{})
	}
	if !h.begin(a, ans) {
		c.Close()
		h.settle(a, policy.Canceled, nil, answer{})
	}
}

// done keeps a connection for the next request, if the exchange on it ended in order.
func (h *host) done(a *attempt, c *conn, resp *http.Response, orderly bool) {
	if !a.onCancel(nil) || !orderly || resp.Close {
		c.Close()
		return
	}
	h.up.keep(c)
}

// broken tells the outcome of an attempt that ended without an answer.
func (h *host) broken(a *attempt, err error) {
	status := policy.Reset
	var notWritten errNotWritten
	switch {
	case a.isCanceled():
		status = policy.Canceled
	case errors.As(err, &notWritten): // whatever ended it, the upstream never had the whole
		status = policy.ConnectFailed
	case errors.Is(err, os.ErrDeadlineExceeded):
		status = policy.Timeout
	}
	h.log.Debug("attempt", "request", a.req.header.Get("X-Request-Id"), "upstream", a.server, "status", status, "err", err)
	h.settle(a, status, nil, answer{})
}

// stream is the rest of an answer that is passed on as it comes. Its end is told once.
type stream struct {
	conn   *conn
	body   io.Reader
	length int64 // -1: not known
	end    func(policy.Status)
}

// read reads a further part.
func (s *stream) read(p []byte) (int, error) {
	s.conn.SetReadDeadline(time.Now().Add(streamStall))
	return s.body.Read(p)
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
