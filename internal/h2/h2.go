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
	// mostHead bounds the fields of a request, trailers included.
	mostHead = 16 << 10
	// mostStreams bounds the requests open at once on a connection.
	mostStreams = 250
	// idleTime is how long a connection may stand idle while nobody wants its place, and pingTime after which silence the other
	// side is asked whether it is there.
	idleTime = time.Minute
	pingTime = 30 * time.Second
	// writeTime is how long the other side may take nothing at all.
	writeTime = 15 * time.Second
	// goAwayTime is how long the other side has to see that no further requests are taken, and settleTime how long the last
	// of an answer may take to be written once it has been made.
	goAwayTime = 20 * time.Millisecond
	settleTime = 100 * time.Millisecond
	// windowConn and windowStream bound what is read of bodies ahead of who takes them.
	windowConn   = 256 << 10
	windowStream = 64 << 10
)

// Protocol is a downstream.MultiplexedProtocol.
type Protocol struct{ Log *slog.Logger }

// Name is the method of downstream.MultiplexedProtocol.
func (Protocol) Name() string { return http2.NextProtoTLS }

// Serve is the method of downstream.MultiplexedProtocol.
func (p Protocol) Serve(c net.Conn, first []byte, drain <-chan struct{}, active func(bool), h http.Handler) {
	count := &counted{Handler: h, active: active}
	base := &http.Server{Handler: count, MaxHeaderBytes: mostHead, ErrorLog: slog.NewLogLogger(p.Log.Handler(), slog.LevelDebug)}
	server := &http2.Server{
		MaxConcurrentStreams: mostStreams, IdleTimeout: idleTime, ReadIdleTimeout: pingTime, WriteByteTimeout: writeTime,
		MaxUploadBufferPerConnection: windowConn, MaxUploadBufferPerStream: windowStream,
	}
	if err := http2.ConfigureServer(base, server); err != nil {
		p.Log.Error("HTTP/2", "err", err)
		return
	}
	if len(first) > 0 {
		c = &begun{Conn: c, first: first}
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
		tick := time.NewTicker(goAwayTime)
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

// counted tells of the requests that are open.
type counted struct {
	http.Handler
	active func(bool)

	mu    sync.Mutex
	open  int
	ended time.Time // of the last that was open
	all   sync.WaitGroup
}

// ServeHTTP is the method of http.Handler.
func (c *counted) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c.all.Add(1)
	defer c.all.Done()
	c.change(1)
	defer c.change(-1)
	c.Handler.ServeHTTP(w, r)
}

func (c *counted) change(by int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	was := c.open
	c.ended = time.Now()
	if c.open += by; was == 0 || c.open == 0 {
		c.active(c.open > 0)
	}
}

// idle reports whether no request has been open for so long.
func (c *counted) idle(since time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open == 0 && time.Since(c.ended) >= since
}

// wait returns once no request is open any more: their contexts ended with the connection.
func (c *counted) wait() { c.all.Wait() }

// begun is a connection of which something has been read.
type begun struct {
	net.Conn
	first []byte
}

// Read is the method of net.Conn.
func (b *begun) Read(p []byte) (int, error) {
	if len(b.first) > 0 {
		n := copy(p, b.first)
		b.first = b.first[n:]
		return n, nil
	}
	return b.Conn.Read(p)
}
