// Package h2 serves the connections of clients that speak HTTP/2, by golang.org/x/net/http2, for package downstream, which owns the
// connections. It does not know what becomes of the requests. Only the product links it.
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

// Preface is what a client sends first that speaks HTTP/2 without negotiation.
const Preface = http2.ClientPreface

const (
	maxHeaderBytes       = 16 << 10 // of a request, trailers included
	maxConcurrentStreams = 250      // of a connection
	// idleTimeout is how long a connection may be idle while nobody else needs its place.
	idleTimeout = time.Minute
	// pingInterval is after how much silence the client is pinged.
	pingInterval = 30 * time.Second
	// writeTimeout is how long the client may accept no byte at all.
	writeTimeout = 15 * time.Second
	// drainPollInterval is how often a draining connection is checked for requests; it is also the time that the client has to
	// see the GOAWAY.
	drainPollInterval = 20 * time.Millisecond
	// responseFlushTime is how long the end of a response may take to be written after its handler has returned.
	responseFlushTime = 100 * time.Millisecond
	// connWindowBytes and streamWindowBytes bound what is read of bodies before the handler takes it.
	connWindowBytes   = 256 << 10
	streamWindowBytes = 64 << 10
)

// Protocol implements downstream.MultiplexedProtocol.
type Protocol struct{ Log *slog.Logger }

// Name implements downstream.MultiplexedProtocol.
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

// shutDown sends a GOAWAY, and closes the connection once no request is open. It returns early when the connection has ended.
func shutDown(base *http.Server, c net.Conn, requests *requestCounter, ended <-chan struct{}) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = base.Shutdown(ctx) // sends GOAWAY; its error only says that connections remain
	// The library leaves an idle connection open for another second, for which whoever needs its place would wait.
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
