package downstream

import (
	"bytes"
	"context"
	"crypto/tls"
	"time"
)

// http2Preface is what HTTP/2 connections begin with. It is no request of HTTP/1.1 (RFC 9113, section 3.4).
const http2Preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"

// handshake makes c speak TLS where its listener does. If that negotiates the multiplexed protocol, it serves c to its end.
// It reports whether c is done with.
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
	c.Conn = t // other goroutines use c under mu only
	s.mu.Unlock()
	if p := s.options.Multiplexed; p != nil && t.ConnectionState().NegotiatedProtocol == p.Name() {
		s.serveMultiplexed(c, p, nil)
		return true
	}
	return false
}

// serveH2C serves c to its end if its client begins with HTTP/2, and reports whether it did.
func (s *Server) serveH2C(c *clientConn) (done bool) {
	if s.options.Multiplexed == nil {
		return false
	}
	r := c.reader.buffered
	for n := 1; n <= len(http2Preface); n++ {
		got, err := r.Peek(n)
		if err != nil || string(got) != http2Preface[:n] {
			return false // an error shows again in awaitRequest
		}
	}
	first, _ := r.Peek(r.Buffered())
	s.serveMultiplexed(c, s.options.Multiplexed, bytes.Clone(first))
	return true
}
