// Package h2 serves connections of clients that speak HTTP/2, by golang.org/x/net/http2, for the front that keeps them. What
// becomes of their requests it does not know. Only the product links it.
package h2

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"golang.org/x/net/http2"
)

const (
	// Preface is what a client sends first that speaks HTTP/2 without asking.
	Preface = http2.ClientPreface
	// maxHeaderBytes bounds the fields of a request, trailers included.
	maxHeaderBytes = 16 << 10
	// maxConcurrentStreams bounds the requests open at once on a connection.
	maxConcurrentStreams = 250
	// idleTimeout is how long a connection may stand idle while nobody wants its place, and pingTime after which silence the other
	// side is asked whether it is there.
	idleTimeout  = time.Minute
	pingInterval = 30 * time.Second
	// writeTimeout is how long the other side may take nothing at all.
	writeTimeout = 15 * time.Second
	// idlePollInterval is how long the other side has to see that no further requests are taken, and settleTime how long the last
	// of an answer may take to be written once it has been made.
	idlePollInterval = 20 * time.Millisecond
	settleTime       = 100 * time.Millisecond
	// connWindowBytes and windowStream bound what is read of bodies ahead of who takes them.
	connWindowBytes   = 256 << 10
	streamWindowBytes = 64 << 10
)

// Protocol is a downstream.MultiplexedProtocol.
type Protocol struct{ Log *slog.Logger }

// Name is the method of downstream.MultiplexedProtocol.
func (Protocol) Name() string { return http2.NextProtoTLS }

// Serve is the method of downstream.MultiplexedProtocol.
func (p Protocol) Serve(c net.Conn, first []byte, drain <-chan struct{}, active func(bool), h http.Handler) {
	count := &requestCounter{Handler: h, active: active}
	base := &http.Server{Handler: count, MaxHeaderBytes: maxHeaderBytes, ErrorLog: slog.NewLogLogger(p.Log.Handler(), slog.LevelDebug)}
	server := &http2.Server{
		MaxConcurrentStreams: maxConcurrentStreams, IdleTimeout: idleTimeout, ReadIdleTimeout: pingInterval, WriteByteTimeout: writeTimeout,
		MaxUploadBufferPerConnection: connWindowBytes, MaxUploadBufferPerStream: streamWindowBytes,
	}
	if err := http2.ConfigureServer(base, server); err != nil {
		p.Log.Error("HTTP/2", "err", err)
		return
	}
	if len(first) > 0 {
		c = &prefixedConn{Conn: c, first: first}
	}
	ended := make(chan struct{})
	var draining sync.WaitGroup
	draining.Go(func() {
		select {
		case <-drain:
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			_ = base.Shutdown(ctx) // sends GOAWAY; its error only says that connections remain
		case <-ended:
			return
		}
		// The library leaves an idle connection open for a second more, which whoever wants its place would wait for.
		tick := time.NewTicker(idlePollInterval)
		defer tick.Stop()
		for {
			select {
			case <-tick.C:
				if count.idle(settleTime) {
					c.Close()
					return
				}
			case <-ended:
				return
			}
		}
	})
	server.ServeConn(c, &http2.ServeConnOpts{BaseConfig: base, Handler: count, SawClientPreface: false})
	close(ended)
	draining.Wait()
	count.wait()
}

// requestCounter tells of the requests that are open.
type requestCounter struct {
	http.Handler
	active func(bool)

	mu        sync.Mutex
	open      int
	lastEnded time.Time // of the last that was open
	handlers  sync.WaitGroup
}

// ServeHTTP is the method of http.Handler.
func (c *requestCounter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c.handlers.Add(1)
	defer c.handlers.Done()
	c.add(1)
	defer c.add(-1)
	c.Handler.ServeHTTP(w, r)
}

func (c *requestCounter) add(by int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	was := c.open
	c.lastEnded = time.Now()
	if c.open += by; was == 0 || c.open == 0 {
		c.active(c.open > 0)
	}
}

// idle reports whether no request has been open for so long.
func (c *requestCounter) idle(since time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open == 0 && time.Since(c.lastEnded) >= since
}

// wait returns once no request is open any more: their contexts ended with the connection.
func (c *requestCounter) wait() { c.handlers.Wait() }

// prefixedConn is a connection of which something has been read.
type prefixedConn struct {
	net.Conn
	first []byte
}

// Read is the method of net.Conn.
func (b *prefixedConn) Read(p []byte) (int, error) {
	if len(b.first) > 0 {
		n := copy(p, b.first)
		b.first = b.first[n:]
		return n, nil
	}
	return b.Conn.Read(p)
}
