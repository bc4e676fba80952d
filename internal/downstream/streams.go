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

// Protocol serves connections that carry several requests at once. The front keeps the connections and answers the requests.
type Protocol interface {
	// Name is that of the protocol in a TLS handshake.
	Name() string
	// Serve serves c until it ends. What has been read of it is in first. Its requests go to h, each in a goroutine of its own;
	// active is told when the first of them begins and the last has ended. Once drain is closed c takes no further ones.
	Serve(c net.Conn, first []byte, drain <-chan struct{}, active func(bool), h http.Handler)
}

// handshakeTime is how long a TLS handshake may take.
const handshakeTime = 5 * time.Second

// streamed is a connection on which requests run side by side.
type streamed struct {
	s *Server
	c *clientConn

	mu    sync.Mutex
	owned bool
}

// serveStreams hands c over to a protocol until it ends.
func (s *Server) serveStreams(c *clientConn, p Protocol, first []byte) {
	s.mu.Lock()
	s.leave(c)
	s.rested(c, time.Since(c.since), true)
	c.drain = make(chan struct{})
	drain := c.drain
	c.SetDeadline(time.Time{})
	if s.draining || c.port.draining {
		s.endStreams(c)
	} else {
		s.setPlace(c, &s.quiet[streams])
	}
	s.mu.Unlock()
	p.Serve(c.Conn, first, drain, func(active bool) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.leave(c)
		if !active && c.drain != nil {
			s.setPlace(c, &s.quiet[streams])
		}
	}, &streamed{s: s, c: c})
	s.mu.Lock()
	s.endStreams(c)
	s.mu.Unlock()
}

// endStreams makes a connection take no further requests. The caller holds mu.
func (s *Server) endStreams(c *clientConn) {
	if c.drain != nil {
		close(c.drain)
		c.drain = nil
	}
}

// ServeHTTP answers one request of a connection.
func (v *streamed) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q, err := request(r, v.c.RemoteAddr())
	if err != nil {
		v.write(w, r, err.(httpmsg.Bad).Answer())
		return
	}
	q.Secure, q.Left = v.c.port.TLS != nil, func() bool { return r.Context().Err() != nil }
	adm, owner, err := v.s.handler.Admit(q)
	v.own(owner)
	if err != nil {
		v.refuse(w, r, err)
		return
	}
	body := &streamBody{r: r, control: http.NewResponseController(w), length: q.Length, from: time.Now()}
	first, rest, err := body.first()
	if err != nil {
		adm.Release()
		v.refuse(w, r, err)
		return
	}
	var x Exchange
	if rest {
		x, err = adm.Take(first, body)
	} else {
		x, err = adm.Take(first, nil)
	}
	if err != nil {
		v.refuse(w, r, err)
		return
	}
	select {
	case ans := <-x.Answer():
		v.write(w, r, ans)
	case <-r.Context().Done():
		if !x.Withdraw() {
			drop(<-x.Answer())
		}
	}
}

// own notes whose connection it is, by its first request.
func (v *streamed) own(o Owner) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.owned {
		v.owned = true
		v.s.setOwner(v.c, o)
	}
}

// request is r as a pool has it. The error is a httpmsg.Bad.
func request(r *http.Request, from net.Addr) (*httpmsg.Request, error) {
	for _, once := range []string{"X-Request-Id", "X-Timeout-Ms", "Idempotency-Key"} {
		if len(r.Header[once]) > 1 {
			return nil, httpmsg.Bad{Status: http.StatusBadRequest, Text: "more than one " + once}
		}
	}
	q := &httpmsg.Request{
		Method: r.Method, URI: r.RequestURI, Path: r.URL.Path, Host: r.Host, Header: r.Header, Length: r.ContentLength, Remote: from,
	}
	switch {
	case !strings.HasPrefix(q.URI, "/"):
		return nil, errTarget
	case q.Host == "":
		return nil, errHost
	case q.Length > httpmsg.MostLong:
		return nil, errBodyLong
	case r.Body == nil || r.Body == http.NoBody:
		q.Length = 0
	}
	return q, nil
}

// refuse answers a request that is not taken. A client that has left is told nothing.
func (v *streamed) refuse(w http.ResponseWriter, r *http.Request, err error) {
	var bad httpmsg.Bad
	if !errors.As(err, &bad) {
		panic(http.ErrAbortHandler)
	}
	v.write(w, r, bad.Answer())
}

// write writes an answer. One that breaks off resets its stream, so that its client can tell.
func (v *streamed) write(w http.ResponseWriter, r *http.Request, ans httpmsg.Answer) {
	control := http.NewResponseController(w)
	for name, values := range ans.Header {
		w.Header()[name] = values
	}
	if ans.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(ans.RetryAfter.Seconds(), 'f', -1, 64))
	}
	length := int64(len(ans.Body))
	switch {
	case ans.Rest != nil:
		length = ans.Rest.Length()
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
	control.SetWriteDeadline(time.Now().Add(writeTime))
	w.WriteHeader(ans.Status)
	if r.Method == http.MethodHead || bare {
		drop(ans)
		return
	}
	_, err := w.Write(ans.Body)
	if ans.Rest != nil {
		if err == nil {
			err = copyStream(w, control, ans.Rest)
		}
		ans.Rest.Close(err == nil)
	}
	if err != nil {
		panic(http.ErrAbortHandler)
	}
}

// copyStream passes on the rest of a long answer as it comes.
func copyStream(w http.ResponseWriter, control *http.ResponseController, rest httpmsg.Stream) error {
	buffer := copyBuffers.Get().(*[copyBuffer]byte)
	defer copyBuffers.Put(buffer)
	for {
		n, err := rest.Read(buffer[:])
		if n > 0 {
			control.SetWriteDeadline(time.Now().Add(longWriteTime))
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
	r       *http.Request
	control *http.ResponseController
	length  int64 // -1: not told
	from    time.Time
	total   int64
}

// Length is the method of httpmsg.Rest.
func (b *streamBody) Length() int64 { return b.length }

// first reads the body, or the first of a long one, and reports whether more follows.
func (b *streamBody) first() (body []byte, rest bool, err error) {
	if b.length == 0 {
		return nil, false, nil
	}
	body, err = io.ReadAll(io.LimitReader(b, httpmsg.MostBody))
	if err != nil {
		return nil, false, err
	}
	return body, len(body) == httpmsg.MostBody && b.total != b.length, nil
}

// Read is the method of httpmsg.Rest.
func (b *streamBody) Read(p []byte) (int, error) {
	now := time.Now()
	if now.Sub(b.from) > bodyGrace+time.Duration(b.total)*time.Second/leastRate {
		return 0, errSlow
	}
	b.control.SetReadDeadline(now.Add(bodyPause))
	n, err := b.r.Body.Read(p)
	b.total += int64(n)
	switch {
	case b.total > httpmsg.MostLong:
		return 0, errBodyLong
	case err == nil || err == io.EOF:
		return n, err
	case b.r.Context().Err() != nil:
		return n, errGone
	case time.Since(now) >= bodyPause:
		return n, errSlow
	}
	return n, errBody
}

// errGone is that a client has reset its stream or left.
var errGone = errors.New("the client has left")
