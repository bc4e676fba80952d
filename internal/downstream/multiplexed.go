package downstream

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"sorrelrudder/internal/httpmsg"
)

// MultiplexedProtocol serves connections that carry several requests at once, such as HTTP/2 connections. The server owns the connections
// and responds to the requests.
type MultiplexedProtocol interface {
	// Name returns the protocol's ALPN name.
	Name() string
	// Serve serves c until it ends. first holds the bytes that have already been read from c. Serve calls h for each request in a goroutine
	// of its own. It calls active with true when the number of open requests rises from 0, and with false when it falls to 0. Once drain is
	// closed, Serve accepts no further requests.
	Serve(c net.Conn, first []byte, drain <-chan struct{}, active func(bool), h http.Handler)
}

// errClientGone is returned by reads of a body whose client has canceled the request or closed the connection.
var errClientGone = errors.New("client canceled the request or closed the connection")

// serveMultiplexed serves c by a multiplexed protocol until c ends. first holds the bytes that have already been read.
func (s *Server) serveMultiplexed(c *clientConn, p MultiplexedProtocol, first []byte) {
	drain := s.startMultiplexed(c)
	active := func(active bool) { s.setMultiplexedActive(c, active) }
	requests := newMultiplexedConn(s, c)
	p.Serve(requests.frames, first, drain, active, requests)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drainMultiplexed(c)
}

// startMultiplexed makes c a multiplexed connection without open requests. It returns the channel that is closed to drain c.
func (s *Server) startMultiplexed(c *clientConn) <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeFromList(c)
	s.endIdle(c, time.Since(c.listedSince), true)
	c.drainSignal = make(chan struct{})
	drain := c.drainSignal
	c.SetDeadline(time.Time{})
	if s.draining || c.listener.draining {
		s.drainMultiplexed(c)
	} else {
		s.addToList(c, &s.waiting[multiplexedConns])
	}
	return drain
}

// setMultiplexedActive records whether c has open requests. Connections without open requests may be evicted.
func (s *Server) setMultiplexedActive(c *clientConn, active bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeFromList(c)
	if !active && c.drainSignal != nil {
		s.addToList(c, &s.waiting[multiplexedConns])
	}
}

// drainMultiplexed makes a multiplexed connection accept no further requests. It has no effect on a connection that is already draining.
// The caller holds mu.
func (s *Server) drainMultiplexed(c *clientConn) {
	if c.drainSignal != nil {
		close(c.drainSignal)
		c.drainSignal = nil
	}
}

// multiplexedConn implements http.Handler for the requests of one multiplexed connection.
type multiplexedConn struct {
	server *Server
	conn   *clientConn
	frames *throttledConn
	local  atomic.Int64 // requests in a row that needed no endpoint

	mu        sync.Mutex // guards the fields below, and is held while the pool is set; acquired before Server.mu
	poolKnown bool
	pausedTo  time.Time // requests are not looked at before
}

func newMultiplexedConn(s *Server, c *clientConn) *multiplexedConn {
	return &multiplexedConn{server: s, conn: c, frames: &throttledConn{Conn: c.Conn, work: &s.frameWork}}
}

// ServeHTTP implements http.Handler.
func (m *multiplexedConn) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !m.awaitPause(r.Context()) {
		return
	}
	begin := time.Now()
	switch local := m.serve(w, r); {
	case local:
		pause := m.server.recordLocalWork(m.conn, begin)
		if m.local.Add(1) > maxUnpausedRefusals {
			m.pause(pause)
		}
	case r.Context().Err() == nil:
		m.local.Store(0)
		m.frames.earn()
	}
}

// awaitPause waits until the connection is not paused, and reports whether the request is still open.
func (m *multiplexedConn) awaitPause(request context.Context) bool {
	m.mu.Lock()
	pause := time.Until(m.pausedTo)
	m.mu.Unlock()
	if pause <= 0 {
		return true
	}
	select {
	case <-request.Done():
		return false
	case <-time.After(pause):
		return true
	}
}

// pause makes further requests of the connection wait.
func (m *multiplexedConn) pause(pause time.Duration) {
	if pause <= 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.pausedTo = time.Now().Add(pause)
}

// serve serves a request, and reports whether the response needed no endpoint.
func (m *multiplexedConn) serve(w http.ResponseWriter, r *http.Request) (local bool) {
	request, err := newStreamRequest(r, m.conn.RemoteAddr())
	if err != nil {
		writeStreamRejection(w, r, err)
		return true
	}
	request.Secure = m.conn.listener.TLS != nil
	request.ClientGone = func() bool { return r.Context().Err() != nil }
	admitted, id, err := m.server.handler.Admit(request)
	m.setPool(id)
	if err != nil {
		writeStreamRejection(w, r, err)
		return true
	}
	x, remainder, err := m.dispatch(w, r, request, admitted)
	if remainder != nil {
		defer remainder.discard()
		defer remainder.stop() // a Read after ServeHTTP has returned would use w, which must not be used any more
	}
	if err != nil {
		writeStreamRejection(w, r, err)
		return true
	}
	resp, rejected := immediateResponse(x)
	if !rejected {
		select {
		case resp = <-x.Response():
		case <-r.Context().Done():
			if !x.Cancel() {
				discard(<-x.Response())
			}
			return false
		}
	}
	writeStreamResponse(w, r, &resp, m)
	return rejected
}

// dispatch reads the body of a request, or the first part of a long one, and dispatches the request. remainder is the rest of a long
// body, which the caller must stop, and nil for others.
func (m *multiplexedConn) dispatch(
	w http.ResponseWriter, r *http.Request, request *httpmsg.Request, admitted AdmittedRequest,
) (x Exchange, remainder *upload, err error) {
	body := newStreamBody(w, r, request.Length, m.frames)
	first, more, err := body.readFirst()
	if err != nil {
		admitted.Release()
		return nil, nil, err
	}
	if !more {
		x, err = admitted.Dispatch(first, nil)
		return x, nil, err
	}
	remainder = newUpload(body, m.server.options.BufferMemory, m.server.transfers)
	x, err = admitted.Dispatch(first, remainder)
	return x, remainder, err
}

// setPool records the pool of the connection's first request as the pool of the connection.
func (m *multiplexedConn) setPool(id PoolID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.poolKnown {
		m.poolKnown = true
		m.server.setPool(m.conn, id)
	}
}

// newStreamRequest checks a request of a multiplexed connection and converts it for a Handler. The error is an httpmsg.RejectionError.
func newStreamRequest(r *http.Request, from net.Addr) (*httpmsg.Request, error) {
	for _, name := range []string{"X-Request-Id", "X-Timeout-Ms", "Idempotency-Key"} {
		if len(r.Header[name]) > 1 {
			return nil, repeatedField(name)
		}
	}
	q := &httpmsg.Request{
		Method: r.Method, URI: r.RequestURI, Path: r.URL.Path, Host: r.Host, Header: r.Header, Length: r.ContentLength, RemoteAddr: from,
	}
	switch {
	case len(r.Header) > maxHeaderFields:
		return nil, errHeaderTooLong
	case !strings.HasPrefix(q.URI, "/"):
		return nil, errInvalidTarget
	case q.Host == "":
		return nil, errMissingHost
	case q.Length > httpmsg.MaxBodyBytes:
		return nil, errBodyTooLong
	case r.Body == nil || r.Body == http.NoBody:
		q.Length = 0
	}
	return q, nil
}
