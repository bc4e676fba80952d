// Package h2 implements downstream.MultiplexedProtocol for HTTP/2 with golang.org/x/net/http2. Package downstream owns the connections; the
// http.Handler that it passes serves the requests. Only the sorrelrudder program links this package, not the sidecar.
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

// Preface is the first bytes that a client sends on an HTTP/2 connection. It identifies clients that use HTTP/2 without negotiation.
const Preface = http2.ClientPreface

const (
	maxHeaderBytes       = 16 << 10 // bytes of a request's header, including trailers
	maxConcurrentStreams = 250      // streams of a connection
	// idleTimeout is how long a connection may be idle. The connection may be evicted earlier if its file descriptor is needed.
	idleTimeout = time.Minute
	// pingInterval is the time without any frame from the client after which the server sends a PING.
	pingInterval = 30 * time.Second
	// writeTimeout is how long a write may make no progress before the connection is closed.
	writeTimeout = 15 * time.Second
	// drainPollInterval is the interval at which a draining connection is checked for open requests. It is also the minimum time that the
	// client has to process the GOAWAY.
	drainPollInterval = 20 * time.Millisecond
	// responseFlushTime is how long the end of a response may take to be written after its handler has returned.
	responseFlushTime = 100 * time.Millisecond
	// connWindowBytes and streamWindowBytes are the flow control windows. They bound the body bytes that are received before the handler
	// reads them.
	connWindowBytes   = 256 << 10
	streamWindowBytes = 64 << 10
)

// Protocol implements downstream.MultiplexedProtocol for HTTP/2. Log receives the errors of connections at debug level.
type Protocol struct{ Log *slog.Logger }

// Name implements downstream.MultiplexedProtocol. It returns the ALPN name "h2".
func (Protocol) Name() string { return http2.NextProtoTLS }

// Serve implements downstream.MultiplexedProtocol.
func (p Protocol) Serve(c net.Conn, first []byte, drain <-chan struct{}, active func(bool), h http.Handler) {
	requests := &requestCounter{Handler: h, active: active}
	base := &http.Server{Handler: requests, MaxHeaderBytes: maxHeaderBytes, ErrorLog: slog.NewLogLogger(p.Log.Handler(), slog.LevelDebug)}
	server := &http2.Server{
		MaxConcurrentStreams:         maxConcurrentStreams,
		IdleTimeout:                  idleTimeout,
		ReadIdleTimeout:              pingInterval,
		WriteByteTimeout:             writeTimeout,
		MaxUploadBufferPerConnection: connWindowBytes,
		MaxUploadBufferPerStream:     streamWindowBytes,
	}
	if err := http2.ConfigureServer(base, server); err != nil {
		p.Log.Error("configuring HTTP/2 failed", "err", err)
		return
	}
	if len(first) > 0 {
		c = &prefixedConn{Conn: c, prefix: first}
	}
	ended := make(chan struct{})
	var draining sync.WaitGroup
	draining.Go(func() {
		select {
		case <-drain:
			shutDown(base, c, requests, ended)
		case <-ended:
		}
	})
	server.ServeConn(c, &http2.ServeConnOpts{BaseConfig: base, Handler: requests, SawClientPreface: false})
	close(ended)
	draining.Wait()
	requests.wait()
}

// shutDown sends a GOAWAY, and closes the connection once no request has been open for responseFlushTime. It returns early if the
// connection ends.
func shutDown(base *http.Server, c net.Conn, requests *requestCounter, ended <-chan struct{}) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = base.Shutdown(ctx) // sends the GOAWAY; the error only says that connections remain
	// The library would keep an idle connection open for another second. A caller that waits for the
	// file descriptor of this connection would wait as long.
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			if requests.idleFor(responseFlushTime) {
				c.Close()
				return
			}
		case <-ended:
			return
		}
	}
}
