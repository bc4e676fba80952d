package downstream

import (
	"bytes"
	"context"
	"crypto/tls"
	"time"
)

// http2Preface is the connection preface of HTTP/2 clients. It is not a valid HTTP/1.1 request (RFC 9113, section 3.4).
const http2Preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"

// handshake performs the TLS handshake if the listener of c uses TLS. If the handshake negotiates the multiplexed protocol, handshake
// serves c until it ends. It returns true if the handshake failed or c has been served, and c is to be closed.
func (s *Server) handshake(c *clientConn) (done bool) {
	if c.listener.TLS == nil {
		return false
	}
	t := tls.Server(c.Conn, c.listener.TLS)
	ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
	defer cancel()
	c.SetDeadline(time.Now().Add(handshakeTimeout))
	if err := t.HandshakeContext(ctx); err != nil {
		s.log.Debug("TLS handshake failed", "from", c.RemoteAddr().String(), "err", err)
		return true
	}
	s.mu.Lock()
	c.Conn = t // other goroutines use c.Conn only with mu held
	s.mu.Unlock()
	if p := s.options.Multiplexed; p != nil && t.ConnectionState().NegotiatedProtocol == p.Name() {
		s.serveMultiplexed(c, p, nil)
		return true
	}
	return false
}

// serveH2C serves c until it ends if the client starts with the HTTP/2 preface, and reports whether it did.
func (s *Server) serveH2C(c *clientConn) (done bool) {
	if s.options.Multiplexed == nil {
		return false
	}
	r := c.reader.buffered
	for n := 1; n <= len(http2Preface); n++ {
		got, err := r.Peek(n)
		if err != nil || string(got) != http2Preface[:n] {
			return false // a read error recurs in awaitRequest
		}
	}
	first, _ := r.Peek(r.Buffered())
	s.serveMultiplexed(c, s.options.Multiplexed, bytes.Clone(first))
	return true
}
