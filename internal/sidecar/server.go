package sidecar

import (
	"bytes"
	lists "container/list"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"
)

const (
	// firstByteTime is how long a connection may stand without a request, be it new or between two requests. It
	// guards descriptors against clients that connect and say nothing, or ask once and keep the connection.
	firstByteTime = 2 * time.Second
	// requestTime is how long a request may take from its first byte to its last. With firstByteTime it bounds the
	// life of a connection that never brings a whole request. A client that needs longer for 64 KiB on its own
	// machine would be cut off.
	requestTime = 800 * time.Millisecond
	// writeTime is how long a client may take none of its answer.
	writeTime = 2 * time.Second
	// lingerTime and lingerBytes bound how much of a rejected request is still read, so that the client finds the
	// error rather than a reset.
	lingerTime  = 200 * time.Millisecond
	lingerBytes = 256 << 10
	// freshTime is the age under which a connection makes room for another only if no older one can: its first
	// request is about to come.
	freshTime = 100 * time.Millisecond
	// firstPause and mostPause bound how long a connection on which a request was turned away as malformed is not
	// read. The pause doubles with each such request in a row: clients that send the same again at full speed must
	// not take the processor from others.
	firstPause = 5 * time.Millisecond
	mostPause  = 320 * time.Millisecond
	// acceptPause is the wait after a failed accept that may pass, such as a want of descriptors.
	acceptPause = 10 * time.Millisecond
)

// server owns the connections of clients. Each has one goroutine, which reads a request, waits for its final answer
// and writes it. It alone closes the connection: no one else can tell whether it has just read a request, which would
// be lost. Who wants a connection closed makes its read end instead (see dismiss). The server reads from sockets itself, rather than through net/http's, because that hides what the
// rules need: whether a head had both a length and a transfer encoding, and whether a connection has sent nothing.
type server struct {
	host    *host
	room    *room
	sockets *sockets
	log     *slog.Logger

	mu       sync.Mutex
	draining bool
	conns    map[*clientConn]struct{} // all; the sockets bound it
	quiet    [quietKinds]lists.List   // *clientConn without a request, longest first
	done     sync.WaitGroup           // of the connections' goroutines
}

// The kinds of quiet connections.
const (
	fresh = iota // no request has come yet
	idle         // between two requests
	quietKinds
)

// clientConn is a client's connection. What server.mu guards is touched only under it.
type clientConn struct {
	net.Conn
	release func() // of its descriptor
	reader  *requestReader

	kind  int            // server.mu: the list that place is in
	place *lists.Element // server.mu: nil while a request is open
	since time.Time      // server.mu: quiet since then
}

func (c *clientConn) Close() error {
	err := c.Conn.Close()
	c.release()
	return err
}

func newServer(h *host, memoryMB int, s *sockets, log *slog.Logger) *server {
	return &server{host: h, room: newRoom(memoryMB), sockets: s, log: log, conns: map[*clientConn]struct{}{}}
}

// accept serves the connections that come until the listener is closed. While no descriptor is free they wait in the
// kernel's backlog.
func (s *server) accept(ctx context.Context, ln net.Listener) error {
	for {
		release, err := s.sockets.acquireClient(ctx)
		if err != nil {
			return err
		}
		nc, err := ln.Accept()
		if err != nil {
			release()
			if errors.Is(err, net.ErrClosed) {
				return err
			}
			s.log.Warn("accept", "err", err)
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-time.After(acceptPause):
			}
			continue
		}
		c := &clientConn{Conn: nc, release: release, reader: newRequestReader(nc)}
		s.mu.Lock()
		s.conns[c] = struct{}{}
		s.setQuiet(c, fresh)
		s.done.Add(1)
		s.mu.Unlock()
		go s.serve(c)
	}
}

// serve answers the requests of one connection in turn.
func (s *server) serve(c *clientConn) {
	defer s.drop(c)
	pause := firstPause
	for s.await(c) {
		q, err := c.reader.read(c, s.room)
		if err != nil {
			s.reject(c, err)
			return
		}
		status, open := s.answer(c, q)
		if !open {
			return
		}
		if status < http.StatusBadRequest || status >= http.StatusInternalServerError {
			pause = firstPause
		} else {
			time.Sleep(pause)
			pause = min(2*pause, mostPause)
		}
		if !s.setIdle(c) {
			return
		}
	}
}

// setQuiet puts c, which has no open request, in its list. The caller holds mu.
func (s *server) setQuiet(c *clientConn, kind int) {
	c.kind, c.since = kind, time.Now()
	c.place = s.quiet[kind].PushBack(c)
	wait := firstByteTime
	if s.draining {
		wait = drainQuiet
	}
	c.SetDeadline(c.since.Add(wait))
}

// setIdle notes that c waits for its next request, and reports whether there may be one. One that has been read already
// is still answered while the server drains.
func (s *server) setIdle(c *clientConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining && c.reader.r.Buffered() == 0 {
		return false
	}
	s.setQuiet(c, idle)
	return true
}

// await waits for a request to begin to come on c, and reports whether one has: even one that came at the very end of
// the wait, or after c was dismissed.
func (s *server) await(c *clientConn) bool {
	err := c.reader.await()
	come := err == nil || errors.Is(err, os.ErrDeadlineExceeded) && !quiet(c.Conn)
	s.setBusy(c)
	c.SetDeadline(time.Now().Add(requestTime))
	return come
}

// setBusy notes that c is quiet no more: from here on it cannot be dismissed.
func (s *server) setBusy(c *clientConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.place != nil {
		s.quiet[c.kind].Remove(c.place)
		c.place = nil
	}
}

// dismiss makes the goroutine of c, which is quiet, close it unless a request has come. It guards against closing a
// connection of which that goroutine has just read a request, so that nothing of it shows in the kernel any more.
// Until the goroutine runs the descriptor stays taken. The caller holds mu.
func (s *server) dismiss(c *clientConn) {
	s.quiet[c.kind].Remove(c.place)
	c.place = nil
	c.SetReadDeadline(time.Unix(1, 0))
}

// drop closes c and forgets it.
func (s *server) drop(c *clientConn) {
	c.Close()
	s.setBusy(c)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	s.done.Done()
}

// evict dismisses a connection without a request to make room for another, and reports whether there was one: the oldest
// that never sent anything, else the one idle longest. It guards against clients that hold descriptors for nothing,
// whatever their reason; where all are in use it takes from those that would have asked again, who then connect anew.
func (s *server) evict() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, of := range []struct {
		kind  int
		least time.Duration
	}{{fresh, freshTime}, {idle, 0}, {fresh, 0}} {
		for e := s.quiet[of.kind].Front(); e != nil; e = e.Next() {
			c := e.Value.(*clientConn)
			if time.Since(c.since) < of.least {
				break
			}
			if !quiet(c.Conn) { // a request has come, or the end, and its goroutine is about to see it
				continue
			}
			s.dismiss(c)
			return true
		}
	}
	return false
}

// drain makes connections close with their next answer, and dismisses those that are idle: a request that crosses that
// comes again on a new connection.
func (s *server) drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	for e := s.quiet[idle].Front(); e != nil; {
		next := e.Next()
		s.dismiss(e.Value.(*clientConn))
		e = next
	}
	for e := s.quiet[fresh].Front(); e != nil; e = e.Next() {
		e.Value.(*clientConn).SetDeadline(time.Now().Add(drainQuiet))
	}
}

// wait returns once all connections have ended, or with ctx, when it closes those that are left.
func (s *server) wait(ctx context.Context) error {
	ended := make(chan struct{})
	go func() {
		s.done.Wait()
		close(ended)
	}()
	select {
	case <-ended:
		return nil
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.Conn.Close()
	}
	return ctx.Err()
}

// answer carries out q, whose last byte has come, and writes its one answer. It reports its status, and whether
// another request may follow on c.
func (s *server) answer(c *clientConn, q *clientRequest) (status int, open bool) {
	c.SetDeadline(time.Time{})
	if q.path == "/healthz" && q.method == http.MethodGet {
		q.free()
		return http.StatusOK, s.write(c, answer{status: http.StatusOK}, q.last)
	}
	r, event, timeout, err := s.host.legal(q)
	if err == nil {
		err = s.host.take(r, event, timeout)
	}
	if err != nil {
		q.free()
		var bad badRequest
		errors.As(err, &bad)
		return bad.status, s.write(c, answer{status: bad.status, body: []byte(bad.text + "\n")}, q.last)
	}
	gone := c.reader.watch()
	var ans answer
	select {
	case ans = <-r.answer:
	case <-gone:
		if c.reader.left && s.host.withdraw(r) {
			return 0, false
		}
		ans = <-r.answer
	}
	if !c.reader.unwatch(c, gone) {
		return 0, false
	}
	return ans.status, s.write(c, ans, q.last)
}

// write writes an answer, and reports whether another request may follow.
func (s *server) write(c *clientConn, ans answer, last bool) (open bool) {
	s.mu.Lock()
	last = last || s.draining
	s.mu.Unlock()
	var b bytes.Buffer
	b.Grow(256 + len(ans.body))
	b.WriteString("HTTP/1.1 ")
	b.WriteString(strconv.Itoa(ans.status))
	b.WriteByte(' ')
	b.WriteString(http.StatusText(ans.status))
	b.WriteString("\r\n")
	if ans.header != nil {
		ans.header.Write(&b)
	}
	if ans.retryAfter > 0 {
		b.WriteString("Retry-After: ")
		b.WriteString(strconv.FormatFloat(ans.retryAfter.Seconds(), 'f', -1, 64))
		b.WriteString("\r\n")
	}
	if last {
		b.WriteString("Connection: close\r\n")
	}
	b.WriteString("Content-Length: ")
	b.WriteString(strconv.Itoa(len(ans.body)))
	b.WriteString("\r\n\r\n")
	b.Write(ans.body)
	c.SetDeadline(time.Now().Add(writeTime))
	_, err := c.Write(b.Bytes())
	return err == nil && !last
}

// reject answers a request that could not be read, and reads on for a moment.
func (s *server) reject(c *clientConn, err error) {
	var bad badRequest
	if !errors.As(err, &bad) {
		return // the client has gone
	}
	s.write(c, answer{status: bad.status, body: []byte(bad.text + "\n")}, true)
	if tcp, ok := c.Conn.(*net.TCPConn); ok && tcp.CloseWrite() == nil {
		c.SetDeadline(time.Now().Add(lingerTime))
		io.CopyN(io.Discard, c.Conn, lingerBytes)
	}
}
