package main

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"os/signal"
	"runtime"
	"sync/atomic"
	"syscall"
	"time"
)

// proxyCmd runs the standard library's reverse proxy with round robin, the baseline that 'lab cost' compares the gateway with.
type proxyCmd struct {
	Servers []string `arg:"" help:"Forward to the servers that listen at these addresses (HOST:PORT), by round robin."`
}

// Run implements the command. The proxy uses one core and listens on a free port of loopback, which it logs.
func (c *proxyCmd) Run(s *streams) error {
	runtime.GOMAXPROCS(1)
	log := slog.New(slog.NewTextHandler(s.err, nil))
	var next atomic.Uint64
	transport := &http.Transport{
		MaxIdleConnsPerHost: 1000, IdleConnTimeout: 5 * time.Second, DisableCompression: true,
		DialContext: (&net.Dialer{Timeout: 250 * time.Millisecond}).DialContext,
	}
	proxy := &httputil.ReverseProxy{
		Rewrite: func(r *httputil.ProxyRequest) {
			server := c.Servers[int(next.Add(1)-1)%len(c.Servers)]
			r.SetURL(&url.URL{Scheme: "http", Host: server})
		},
		Transport: transport,
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	server := &http.Server{Handler: proxy, ReadHeaderTimeout: 2 * time.Second}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	defer context.AfterFunc(ctx, func() { server.Close() })()
	log.Info("ready", "listen", ln.Addr().String(), "listener", "proxy")
	if err := server.Serve(ln); err != http.ErrServerClosed {
		return err
	}
	return nil
}
