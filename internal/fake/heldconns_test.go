package fake

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
)

// TestMaintainedConnections guards against connections that are not replaced after the other side has closed them.
func TestMaintainedConnections(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	var accepted atomic.Int64
	var goroutines sync.WaitGroup
	goroutines.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			accepted.Add(1)
			c.Close()
		}
	})
	ctx, cancel := context.WithCancel(context.Background())
	for _, open := range []func() int64{
		func() int64 { return OpenSlowRequests(ctx, ln.Addr().String(), "h", 2) },
		func() int64 { return OpenIdleConnections(ctx, ln.Addr().String(), 2) },
	} {
		goroutines.Go(func() {
			if n := open(); n < 2 {
				t.Errorf("opened %d connections, want at least 2", n)
			}
		})
	}
	waitFor(t, "closed connections to be replaced", func() bool { return accepted.Load() > 12 })
	cancel()
	ln.Close()
	goroutines.Wait()
}
