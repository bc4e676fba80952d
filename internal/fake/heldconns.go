package fake

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	slowHeaderInterval   = 100 * time.Millisecond // between header fields of a slow request
	heldConnStartSpread  = 100 * time.Millisecond // over which the connections are opened at first
	heldConnRetryPause   = 20 * time.Millisecond  // before a connection is opened again
	heldConnDialTimeout  = 2 * time.Second
	slowRequestFirstLine = "POST /order/slow HTTP/1.1\r\nHost: "
)

// OpenSlowRequests keeps n connections open on which a request begins and never ends, until ctx ends. One that is closed is
// replaced. It returns how many were opened.
func OpenSlowRequests(ctx context.Context, addr, host string, n int) (opened int64) {
	return maintainConnections(ctx, addr, n, func(c net.Conn) { sendSlowRequest(ctx, c, host) })
}

// OpenIdleConnections keeps n connections open on which nothing is sent, likewise.
func OpenIdleConnections(ctx context.Context, addr string, n int) (opened int64) {
	return maintainConnections(ctx, addr, n, func(c net.Conn) {
		defer context.AfterFunc(ctx, func() { c.Close() })()
		io.Copy(io.Discard, c)
	})
}

// sendSlowRequest sends header fields until the connection or ctx ends.
func sendSlowRequest(ctx context.Context, c net.Conn, host string) {
	part := slowRequestFirstLine + host + "\r\n"
	for {
		if _, err := io.WriteString(c, part); err != nil {
			return
		}
		if !sleep(ctx, slowHeaderInterval) {
			return
		}
		part = "X-Pad: p\r\n"
	}
}

// maintainConnections keeps n connections open, each in the hands of use until that returns.
func maintainConnections(ctx context.Context, addr string, n int, use func(net.Conn)) (opened int64) {
	var all sync.WaitGroup
	var count atomic.Int64
	for i := range n {
		all.Go(func() {
			sleep(ctx, heldConnStartSpread*time.Duration(i)/time.Duration(n))
			for ctx.Err() == nil {
				dialer := net.Dialer{Timeout: heldConnDialTimeout}
				if c, err := dialer.DialContext(ctx, "tcp", addr); err == nil {
					count.Add(1)
					use(c)
					c.Close()
				}
				sleep(ctx, heldConnRetryPause)
			}
		})
	}
	all.Wait()
	return count.Load()
}

// sleep waits for d, and reports whether it passed before ctx ended.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
