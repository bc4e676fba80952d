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
	heldConnStartSpread  = 100 * time.Millisecond // period over which the first connections are opened
	heldConnRetryPause   = 20 * time.Millisecond  // before a closed connection is replaced
	heldConnDialTimeout  = 2 * time.Second
	slowRequestFirstLine = "POST /order/slow HTTP/1.1\r\nHost: "
)

// OpenSlowRequests keeps n connections open until ctx ends. It begins a request on each connection and never completes it. A
// connection that is closed is replaced. OpenSlowRequests returns how many connections it opened.
func OpenSlowRequests(ctx context.Context, addr, host string, n int) (opened int64) {
	return maintainConnections(ctx, addr, n, func(c net.Conn) { sendSlowRequest(ctx, c, host) })
}

// OpenIdleConnections keeps n connections open until ctx ends, without sending anything. A connection that is closed is
// replaced. OpenIdleConnections returns how many connections it opened.
func OpenIdleConnections(ctx context.Context, addr string, n int) (opened int64) {
	return maintainConnections(ctx, addr, n, func(c net.Conn) {
		defer context.AfterFunc(ctx, func() { c.Close() })()
		io.Copy(io.Discard, c)
	})
}

// sendSlowRequest sends a header field every slowHeaderInterval until a write fails or ctx ends.
func sendSlowRequest(ctx context.Context, c net.Conn, host string) {
	text := slowRequestFirstLine + host + "\r\n"
	for {
		if _, err := io.WriteString(c, text); err != nil {
			return
		}
		if !sleep(ctx, slowHeaderInterval) {
			return
		}
		text = "X-Pad: p\r\n"
	}
}

// maintainConnections keeps n connections open until ctx ends. It calls use for each connection. When use returns, it closes
// and replaces the connection.
func maintainConnections(ctx context.Context, addr string, n int, use func(net.Conn)) (opened int64) {
	var goroutines sync.WaitGroup
	var count atomic.Int64
	for i := range n {
		goroutines.Go(func() {
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
	goroutines.Wait()
	return count.Load()
}

// sleep waits for d. It returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
