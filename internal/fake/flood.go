package fake

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
)

// floodBufferBytes is how much of a flood is written at once.
const floodBufferBytes = 64 << 10

// Flood sends requests on one connection at full speed until ctx ends, and reads what comes back. It connects again if the connection ends.
// request returns the text of the request with a serial number.
func Flood(ctx context.Context, addr string, request func(n int) string) {
	for n := 0; ctx.Err() == nil; {
		c, stop := dialUntil(ctx, addr)
		if c == nil {
			return
		}
		go func() { _, _ = io.Copy(io.Discard, c) }()
		for w := bufio.NewWriterSize(c, floodBufferBytes); ; n++ {
			if _, err := w.WriteString(request(n)); err != nil {
				break
			}
		}
		stop()
	}
}

// FloodBursts sends count requests at once on a connection and closes it, on one connection after the other until ctx ends.
func FloodBursts(ctx context.Context, addr string, request func(n int) string, count int) {
	for n := 0; ctx.Err() == nil; {
		c, stop := dialUntil(ctx, addr)
		if c == nil {
			return
		}
		var burst strings.Builder
		for range count {
			burst.WriteString(request(n))
			n++
		}
		_, _ = io.WriteString(c, burst.String())
		stop()
	}
}

// dialUntil connects to addr. The connection closes when ctx ends or stop is called. It returns nil if the dial fails.
func dialUntil(ctx context.Context, addr string) (c net.Conn, stop func()) {
	var dialer net.Dialer
	c, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, nil
	}
	cancel := context.AfterFunc(ctx, func() { c.Close() })
	return c, func() {
		cancel()
		c.Close()
	}
}
