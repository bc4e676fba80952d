package downstream

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"sorrelrudder/internal/httpmsg"
)

// MultiplexedProtocol serves connections that carry several requests at once. The front keeps the connections and answers the requests.
type MultiplexedProtocol interface {
	// Name is that of the protocol in a TLS handshake.
	Name() string
	// Serve serves c until it ends. What has been read of it is in first. Its requests go to h, each in a goroutine of its own;
	// active is told when the first of them begins and the last has ended. Once drain is closed c takes no further ones.
	Serve(c net.Conn, first []byte, drain <-chan struct{}, active func(bool), h http.Handler)
}

// handshakeTimeout is how long a TLS handshake may take.
const handshakeTimeout = 5 * time.Second

// multiplexedConn is a connection on which requests run side by side.
type multiplexedConn struct {
	server *Server
	conn   *clientConn

	mu        sync.Mutex
	poolKnown bool
}

// serveMultiplexed hands c over to a protocol until it ends.
func (s *Server) serveMultiplexed(c *clientConn, p MultiplexedProtocol, first []byte) {
	s.mu.Lock()
	s.removeFromList(c)
	s.recordIdleOutcome(c, time.Since(c.listedSince), true)
	c.drainSignal = make(chan struct{})
	drain := c.drainSignal
	c.SetDeadline(time.Time{})
	if s.draining || c.listener.draining {
		s.drainMultiplexed(c)
	} else {
		s.addToList(c, &s.waiting[multiplexedConns])
	}
	s.mu.Unlock()
	p.Serve(c.Conn, first, drain, func(active bool) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.removeFromList(c)
		if !active && c.drainSignal != nil {
			s.addToList(c, &s.waiting[multiplexedConns])
		}
	}, &multiplexedConn{server: s, conn: c})
	s.mu.Lock()
	s.drainMultiplexed(c)
	s.mu.Unlock()
}

// drainMultiplexed makes a connection take no further requests. The caller holds mu.
func (s *Server) drainMultiplexed(c *clientConn) {
	if c.drainSignal != nil {
		close(c.drainSignal)
		c.drainSignal = nil
	}
}

// ServeHTTP answers one request of a connection.
func (v *multiplexedConn) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q, err := newStreamRequest(r, v.conn.RemoteAddr())
	if err != nil {
		v.writeResponse(w, r, err.(httpmsg.RejectionError).Response())
		return
	}
	q.Secure, q.ClientGone = v.conn.listener.TLS != nil, func() bool { return r.Context().Err() != nil }
	adm, owner, err := v.server.handler.Admit(q)
	v.setPool(owner)
	if err != nil {
		v.writeRejection(w, r, err)
		return
	}
	body := &streamBody{request: r, control: http.NewResponseController(w), length: q.Length, started: time.Now()}
	first, rest, err := body.readFirst()
	if err != nil {
		adm.Release()
		v.writeRejection(w, r, err)
		return
	}
	var x Exchange
	if rest {
		x, err = adm.Dispatch(first, body)
	} else {
		x, err = adm.Dispatch(first, nil)
	}
	if err != nil {
		v.writeRejection(w, r, err)
		return
	}
	select {
	case ans := <-x.Response():
		v.writeResponse(w, r, ans)
	case <-r.Context().Done():
		if !x.Cancel() {
			discard(<-x.Response())
		}
	}
}

// setPool notes whose connection it is, by its first request.
func (v *multiplexedConn) setPool(o PoolID) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.poolKnown {
		v.poolKnown = true
		v.server.setPool(v.conn, o)
	}
}

// newStreamRequest is r as a pool has it. The error is a httpmsg.RejectionError.
func newStreamRequest(r *http.Request, from net.Addr) (*httpmsg.Request, error) {
	for _, once := range []string{"X-Request-Id", "X-Timeout-Ms", "Idempotency-Key"} {
		if len(r.Header[once]) > 1 {
			return nil, httpmsg.RejectionError{Status: http.StatusBadRequest, Text: "more than one " + once}
		}
	}
	q := &httpmsg.Request{
		Method: r.Method, URI: r.RequestURI, Path: r.URL.Path, Host: r.Host, Header: r.Header, Length: r.ContentLength, RemoteAddr: from,
	}
	switch {
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

// writeRejection answers a request that is not taken. A client that has left is told nothing.
func (v *multiplexedConn) writeRejection(w http.ResponseWriter, r *http.Request, err error) {
	var bad httpmsg.RejectionError
	if !errors.As(err, &bad) {
		panic(http.ErrAbortHandler)
	}
	v.writeResponse(w, r, bad.Response())
}

// writeResponse writes an answer. One that breaks off resets its stream, so that its client can tell.
func (v *multiplexedConn) writeResponse(w http.ResponseWriter, r *http.Request, ans httpmsg.Response) {
	control := http.NewResponseController(w)
	for name, values := range ans.Header {
		w.Header()[name] = values
	}
	if ans.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(ans.RetryAfter.Seconds(), 'f', -1, 64))
	}
	length := int64(len(ans.Body))
	switch {
	case ans.Remainder != nil:
		length = ans.Remainder.Length()
	case r.Method == http.MethodHead && length == 0:
		length = ans.Length
	}
	bare := ans.Status == http.StatusNoContent || ans.Status == http.StatusNotModified
	if length >= 0 && !bare {
		w.Header().Set("Content-Length", strconv.FormatInt(length, 10))
	}
	if _, typed := w.Header()["Content-Type"]; !typed {
		w.Header()["Content-Type"] = nil // it is not guessed
	}
	if _, dated := w.Header()["Date"]; !dated {
		w.Header()["Date"] = nil
	}
	control.SetWriteDeadline(time.Now().Add(writeTimeout))
	w.WriteHeader(ans.Status)
	if r.Method == http.MethodHead || bare {
		discard(ans)
		return
	}
	_, err := w.Write(ans.Body)
	if ans.Remainder != nil {
		if err == nil {
			err = copyRemainder(w, control, ans.Remainder)
		}
		ans.Remainder.Close(err == nil)
	}
	if err != nil {
		panic(http.ErrAbortHandler)
	}
}

// copyRemainder passes on the rest of a long answer as it comes.
func copyRemainder(w http.ResponseWriter, control *http.ResponseController, rest httpmsg.ResponseStream) error {
	buffer := copyBuffers.Get().(*[copyBufferBytes]byte)
	defer copyBuffers.Put(buffer)
	for {
		n, err := rest.Read(buffer[:])
		if n > 0 {
			control.SetWriteDeadline(time.Now().Add(streamWriteTimeout))
			if _, err := w.Write(buffer[:n]); err != nil {
				return err
			}
			if err := control.Flush(); err != nil {
				return err
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// streamBody is the body of one of several requests on a connection, under the same limits as on a connection of its own.
type streamBody struct {
	request   *http.Request
	control   *http.ResponseController
	length    int64 // -1: not told
	started   time.Time
	bytesRead int64
}

// Length is the method of httpmsg.BodyStream.
func (b *streamBody) Length() int64 { return b.length }

// readFirst reads the body, or the first of a long one, and reports whether more follows.
func (b *streamBody) readFirst() (body []byte, rest bool, err error) {
	if b.length == 0 {
		return nil, false, nil
	}
	body, err = io.ReadAll(io.LimitReader(b, httpmsg.MaxBufferedBodyBytes))
	if err != nil {
		return nil, false, err
	}
	return body, len(body) == httpmsg.MaxBufferedBodyBytes && b.bytesRead != b.length, nil
}

// Read is the method of httpmsg.BodyStream.
func (b *streamBody) Read(p []byte) (int, error) {
	now := time.Now()
	if now.Sub(b.started) > bodyRateGrace+time.Duration(b.bytesRead)*time.Second/minBodyBytesPerSecond {
		return 0, errRequestTimeout
	}
	b.control.SetReadDeadline(now.Add(bodyReadTimeout))
	n, err := b.request.Body.Read(p)
	b.bytesRead += int64(n)
	switch {
	case b.bytesRead > httpmsg.MaxBodyBytes:
		return 0, errBodyTooLong
	case err == nil || err == io.EOF:
		return n, err
	case b.request.Context().Err() != nil:
		return n, errClientGone
	case time.Since(now) >= bodyReadTimeout:
		return n, errRequestTimeout
	}
	return n, errMalformedBody
}

// errClientGone is that a client has reset its stream or left.
var errClientGone = errors.New("the client has left")
